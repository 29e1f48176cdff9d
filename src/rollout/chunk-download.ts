/** Reads one chunk from a peer or the origin, with a deadline on progress rather than on the whole. */
import {Buffer} from 'node:buffer';
import {VError} from 'verror';
import {type PeerClient, readText} from '../links/peer-client.ts';
import {noticeHeader} from '../messages/rollout-have.ts';
import type {TransferPacer} from './transfer-pacer.ts';

/** Reports that the source refused for now. */
export class SourceBusyError extends VError {
	/**
	 * @param code - the refusal's code
	 * @param retryAfterMs - when to ask again, in milliseconds
	 */
	constructor(readonly code: string, readonly retryAfterMs: number) {
		super('source refused: %s', code);
	}
}

/** Reports that no byte came for too long. */
export class StalledTransferError extends VError {}

/** Status codes with which a source refuses for now. */
const refusalStatuses = new Set([429, 503]);

/** How long to wait when a refusal names no time, in milliseconds. */
const defaultRetryMs = 1000;

/** One download. */
export type ChunkDownload = {
	readonly links: PeerClient;
	readonly url: string;
	readonly pacer: TransferPacer;
	/** Longest time without a byte, in milliseconds. */
	readonly stallMs: number;
	/** Whether to open a connection of its own, after one went silent. */
	readonly fresh: boolean;
	readonly controller: AbortController;
	/** Receives the size of each part, before it is verified. */
	readonly onBytes: (bytes: number) => void;
	/** Receives the notice that rides on the answer, also on a refusal. */
	readonly onNotice: (notice: string) => void;
};

/**
 * Reads one chunk; the bytes are not verified.
 *
 * @param download - what to read and how
 * @throws SourceBusyError when the source refuses for now
 * @throws StalledTransferError when no byte came for too long
 */
export async function downloadChunk(download: ChunkDownload): Promise<Uint8Array> {
	const {links, url, stallMs, fresh, controller, onNotice} = download;
	const watchdog = new Watchdog(stallMs, controller);
	try {
		const res = await links.send(url, {method: 'GET'}, {timeoutMs: stallMs, signal: controller.signal, fresh});
		const notice = res.headers[noticeHeader];
		if (typeof notice === 'string') {
			onNotice(notice);
		}

		if (refusalStatuses.has(res.status)) {
			throw parseRefusal(await readText(res.body), res.headers['retry-after']);
		}

		if (res.status !== 200) {
			await readText(res.body);
			throw new VError('status %d from %s', res.status, url);
		}

		return await readBody(res.body, download, watchdog);
	} catch (err) {
		throw watchdog.fired ? new StalledTransferError(err as Error, 'no byte for %d ms from %s', stallMs, url) : err;
	} finally {
		watchdog.clear();
	}
}

async function readBody(body: AsyncIterable<unknown>, {pacer, onBytes}: ChunkDownload, watchdog: Watchdog): Promise<Uint8Array> {
	const parts: Buffer[] = [];
	for await (const part of body) {
		// Time spent waiting for the own link's share is no stall of the source.
		watchdog.clear();
		const bytes = part as Buffer;
		parts.push(bytes);
		onBytes(bytes.length);
		await pacer.take(bytes.length);
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

/** Aborts a download when nobody restarts it in time. */
class Watchdog {
	fired = false;
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

	clear(): void {
		clearTimeout(this.timer);
	}
}
