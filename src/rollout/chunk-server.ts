/** Serves chunks to peers, within the rate limit, upload slots and upload budget, and to the local engine without limits. */
import type http from 'node:http';
import {isDigest} from '../ids/digest.ts';
import {sendJson} from '../links/http-listener.ts';
import {
	decodeNotice, encodeNotice, noticeHeader, type TransferNotice,
} from '../messages/rollout-have.ts';
import type {ChunkStore} from './chunk-store.ts';
import type {TransferPacer} from './transfer-pacer.ts';
import {UploadSlots} from './upload-slots.ts';

/** The transmission time of one piece, in milliseconds. It is short enough that two uploads share the link evenly. */
const pieceMs = 10;

/** The bounds of the piece size, in bytes. On a slow link, responses to live calls queue behind a piece, so the minimum is small. */
const pieceBytes = {min: 4 * 1024, max: 256 * 1024};

/** Dependencies and limits of a chunk server. */
export type ChunkServerOptions = {
	readonly chunks: ChunkStore;
	readonly pacer: TransferPacer;
	/** Returns how many bytes of a version may be uploaded. */
	readonly budgetBytes: (manifest: string) => number;
	/** Handles a peer's notice and returns this agent's notice, or undefined when this agent does not transfer the manifest. */
	readonly exchangeNotice: (manifest: string, notice: TransferNotice) => TransferNotice | undefined;
	/** Returns how long a receiver may accept no data before its connection is closed, in milliseconds. */
	readonly stallMs: () => number;
};

/** Serves `GET /chunks/DIGEST`. */
export class ChunkServer {
	readonly slots = new UploadSlots();

	constructor(private readonly options: ChunkServerOptions) {}

	/**
	 * Handles one request. Peers send the manifest and their notice in the query; the engine on the same VM sends neither.
	 *
	 * @param params - the path parameters: the chunk's digest
	 */
	async handle(req: http.IncomingMessage, res: http.ServerResponse, params: readonly string[]): Promise<void> {
		const [text = ''] = params;
		const bytes = isDigest(text) ? this.options.chunks.get(text) : undefined;
		if (!bytes) {
			sendJson(res, 404, {error: {code: 'not_held', message: `chunk ${text} is not held here`}});
			return;
		}

		const query = new URL(req.url ?? '/', 'http://localhost').searchParams;
		const manifest = query.get('manifest');
		if (manifest === null && req.socket.remoteAddress === req.socket.localAddress) {
			// The local engine reads within the VM, so neither the rate limit nor the upload budget applies.
			res.writeHead(200, {'content-type': 'application/octet-stream', 'content-length': bytes.length});
			res.end(bytes);
			return;
		}

		const peerNotice = decodeNotice(query);
		const ownNotice = peerNotice && this.options.exchangeNotice(manifest ?? '', peerNotice);
		if (ownNotice) {
			res.setHeader(noticeHeader, encodeNotice(ownNotice));
		}

		await this.serveWithinLimits(res, bytes, manifest ?? '', query.has('last_resort'));
	}

	private async serveWithinLimits(res: http.ServerResponse, bytes: Uint8Array, manifest: string, lastResort: boolean): Promise<void> {
		const refusal = this.slots.refusal({manifest, bytes: bytes.length}, this.options.budgetBytes(manifest), lastResort);
		if (refusal) {
			const retryMs = Math.ceil(bytes.length / this.options.pacer.rate * 1000);
			sendJson(res, 503, {error: {code: refusal, retryMs}});
			return;
		}

		this.slots.addSent(manifest, bytes.length);
		await this.slots.acquire();
		let sent = 0;
		try {
			sent = await this.send(res, bytes);
		} finally {
			this.slots.addSent(manifest, sent - bytes.length);
			this.slots.release();
		}
	}

	/** Sends a chunk in pieces and returns how many bytes were sent before the receiver disconnected. */
	private async send(res: http.ServerResponse, bytes: Uint8Array): Promise<number> {
		if (res.destroyed) {
			return 0;
		}

		res.writeHead(200, {'content-type': 'application/octet-stream', 'content-length': bytes.length});
		const size = Math.round(Math.min(pieceBytes.max, Math.max(pieceBytes.min, this.options.pacer.rate * pieceMs / 1000)));
		let sent = 0;
		while (sent < bytes.length && !res.destroyed) {
			const piece = bytes.subarray(sent, sent + size);
			await this.options.pacer.take(piece.length);
			// If the receiver disconnected during the wait, the response emits neither `drain` nor `close` any more, and waiting for them would hold the upload slot.
			if (res.destroyed) {
				break;
			}

			sent += piece.length;
			if (!res.write(piece)) {
				await this.waitForDrain(res);
			}
		}

		res.end();
		return sent;
	}

	private async waitForDrain(res: http.ServerResponse): Promise<void> {
		await new Promise<void>(resolve => {
			const done = () => {
				clearTimeout(timer);
				res.off('drain', done);
				res.off('close', done);
				resolve();
			};

			const timer = setTimeout(() => {
				res.destroy();
				done();
			}, this.options.stallMs());
			timer.unref();
			res.once('drain', done);
			res.once('close', done);
		});
	}
}
