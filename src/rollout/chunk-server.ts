/** Serves chunks to peers, paced and within slots and budget, and to the local engine without limits. */
import type http from 'node:http';
import {isDigest} from '../ids/digest.ts';
import {sendJson} from '../links/http-listener.ts';
import {
	decodeNotice, encodeNotice, noticeHeader, type TransferNotice,
} from '../messages/rollout-have.ts';
import type {ChunkStore} from './chunk-store.ts';
import type {TransferPacer} from './transfer-pacer.ts';
import {UploadSlots} from './upload-slots.ts';

/** Time that one piece takes on the link, in milliseconds; short enough that two uploads share the link evenly. */
const pieceMs = 10;

/** Smallest and largest piece, in bytes; live answers on a narrow link wait for a piece. */
const pieceBytes = {min: 4 * 1024, max: 256 * 1024};

/** What the server works with. */
export type ChunkServerOptions = {
	readonly chunks: ChunkStore;
	readonly pacer: TransferPacer;
	/** Returns how many bytes may be sent on for a manifest. */
	readonly budgetBytes: (manifest: string) => number;
	/** Takes a peer's notice and returns the own one; undefined when the manifest is not followed. */
	readonly exchangeNotice: (manifest: string, notice: TransferNotice) => TransferNotice | undefined;
	/** Longest time that a receiver may take no byte, in milliseconds. */
	readonly stallMs: () => number;
};

/** Serves `GET /chunks/DIGEST`. */
export class ChunkServer {
	readonly slots = new UploadSlots();

	/** @param options - what the server works with */
	constructor(private readonly options: ChunkServerOptions) {}

	/**
	 * Answers one request. Peers name themselves and the manifest in the query; the engine on the same VM does not.
	 *
	 * @param req - the request
	 * @param res - the response
	 * @param params - the digest
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
			// The engine's read stays inside the VM and does not use the link.
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

	/** Returns how many bytes were sent before the receiver went away. */
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
			// The receiver may have gone away meanwhile; nothing more is heard of its connection then.
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
