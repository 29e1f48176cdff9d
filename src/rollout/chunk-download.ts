/** Downloads one chunk from a peer or the origin. The timeout applies to the gap between bytes, not to the whole download. */
import {Buffer} from 'node:buffer';
import {VError} from 'verror';
import {type PeerClient, readText} from '../links/peer-client.ts';
import {noticeHeader} from '../messages/rollout-have.ts';
import {CorruptChunkError} from './chunk-store.ts';
import type {TransferPacer} from './transfer-pacer.ts';

/** Thrown when the source temporarily refuses the request. */
export class SourceBusyError extends VError {
	/**
	 * @param code - the error code of the response
	 * @param retryAfterMs - how long to wait before the next request, in milliseconds
	 */
	constructor(readonly code: string, readonly retryAfterMs: number) {
		super('source refused the download: %s', code);
	}
}

/** Thrown when the source sent no data within the timeout. */
export class StalledTransferError extends VError {}

/** Status codes of a temporary refusal. */
const refusalStatuses = new Set([429, 503]);

/** The delay before a retry when the refusal does not specify one, in milliseconds. */
const defaultRetryMs = 1000;

/** The minimum number of bytes that a source has to send within each stall timeout on average; a trickle would hold the download for hours. */
const minBytesPerStall = 4096;

/** The size limit of a refusal or error, in bytes. */
const maxRefusalBytes = 65_536;

/** The parameters of one download. */
export type ChunkDownload = {
	readonly links: PeerClient;
	readonly url: string;
	readonly pacer: TransferPacer;
	/** The maximum time without received data, in milliseconds. */
	readonly stallMs: number;
	/** The maximum size of the chunk, in bytes. */
	readonly chunkBytes: number;
	/** Whether to open a new connection, because an existing one may be dead. */
	readonly freshConnection: boolean;
	readonly controller: AbortController;
	/** Receives the size of each part of the body. The part is not verified yet. */
	readonly onBytes: (bytes: number) => void;
	/** Receives the transfer notice from the response header. Refusals carry it too. */
	readonly onNotice: (notice: string) => void;
};

/**
 * Downloads one chunk without verifying its content.
 *
 * @throws SourceBusyError when the source temporarily refuses
 * @throws StalledTransferError when no data arrives for `stallMs`, or too little over the whole download
 * @throws CorruptChunkError when the source sends more than `chunkBytes`
 */
export async function downloadChunk(download: ChunkDownload): Promise<Uint8Array> {
	const {links, url, stallMs, freshConnection, controller, onNotice} = download;
	const watchdog = new Watchdog(stallMs, controller);
	try {
		const res = await links.send(url, {method: 'GET'}, {timeoutMs: stallMs, signal: controller.signal, freshConnection});
		const notice = res.headers[noticeHeader];
		if (typeof notice === 'string') {
			onNotice(notice);
		}

		if (refusalStatuses.has(res.status)) {
			throw parseRefusal(await readText(res.body, maxRefusalBytes), res.headers['retry-after']);
		}

		if (res.status !== 200) {
			await readText(res.body, maxRefusalBytes);
			throw new VError('unexpected status %d from %s', res.status, url);
		}

		return await readBody(res.body, download, watchdog);
	} catch (err) {
		throw watchdog.fired ? new StalledTransferError(err as Error, 'no data for %d ms from %s', stallMs, url) : err;
	} finally {
		watchdog.clear();
	}
}

async function readBody(body: AsyncIterable<unknown>, {pacer, onBytes, chunkBytes, stallMs}: ChunkDownload, watchdog: Watchdog): Promise<Uint8Array> {
	const parts: Buffer[] = [];
	let received = 0;
	let waitedMs = 0;
	for await (const part of body) {
		// Time spent waiting for the local rate limit must not count as a stall of the source.
		const pausedAtMs = performance.now();
		watchdog.clear();
		const bytes = part as Buffer;
		received += bytes.length;
		if (received > chunkBytes) {
			throw new CorruptChunkError(`chunk is larger than ${chunkBytes} bytes`);
		}

		parts.push(bytes);
		onBytes(bytes.length);
		await pacer.take(bytes.length);
		waitedMs += performance.now() - pausedAtMs;
		if (watchdog.elapsedMs - waitedMs > stallMs * (1 + Math.ceil(chunkBytes / minBytesPerStall))) {
			throw new StalledTransferError('only %d bytes in %d ms', received, Math.round(watchdog.elapsedMs - waitedMs));
		}

		watchdog.restart();
	}

	return Buffer.concat(parts);
}

function parseRefusal(text: string, retryAfter: string | string[] | undefined): SourceBusyError {
	const seconds = Number(retryAfter);
	const retryMs = Number.isFinite(seconds) && seconds > 0 ? seconds * 1000 : defaultRetryMs;
	try {
		const {error} = JSON.parse(text) as {error: {code: string; retryMs?: number}};
		return new SourceBusyError(error.code, error.retryMs ?? retryMs);
	} catch {
		return new SourceBusyError('unknown', retryMs);
	}
}

/** Aborts a download unless it is restarted within the limit. */
class Watchdog {
	fired = false;
	private readonly startedAtMs = performance.now();
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly limitMs: number, private readonly controller: AbortController) {
		this.restart();
	}

	restart(): void {
		clearTimeout(this.timer);
		this.timer = setTimeout(() => {
			this.fired = true;
			this.controller.abort();
		}, this.limitMs);
		this.timer.unref();
	}

	/** Time since the start of the download, in milliseconds. */
	get elapsedMs(): number {
		return performance.now() - this.startedAtMs;
	}

	clear(): void {
		clearTimeout(this.timer);
	}
}
