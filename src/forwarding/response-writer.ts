/** The caller's side of one call: at most one answer, and the news that the caller left. */
import {Buffer} from 'node:buffer';
import type http from 'node:http';

/** Writes one answer. */
export class ResponseWriter {
	/** Whether the first byte of an answer went out. */
	hasStarted = false;
	private isFinished = false;

	/**
	 * @param res - the response, with nothing sent yet
	 * @param onDisconnect - is called once when the caller closes before the answer is whole
	 */
	constructor(private readonly res: http.ServerResponse, onDisconnect: () => void) {
		res.once('close', () => {
			if (!this.isFinished) {
				this.isFinished = true;
				onDisconnect();
			}
		});
		res.on('error', () => {
			// A write after the caller left; `close` follows.
		});
	}

	/** Whether nothing more can be sent. */
	get isClosed(): boolean {
		return this.isFinished;
	}

	/**
	 * Sends a whole answer.
	 *
	 * @param status - the HTTP status
	 * @param headers - name and value in turn
	 * @param body - the whole body
	 * @param isFramed - whether the upstream said where the body ends
	 */
	send(status: number, headers: readonly string[], body: Buffer, isFramed = true): void {
		if (this.isFinished) {
			return;
		}

		if (!isFramed) {
			this.start(status, headers, false);
			this.write(body);
			this.end();
			return;
		}

		this.hasStarted = true;
		this.isFinished = true;
		this.res.writeHead(status, ['content-length', String(body.length), ...headers]);
		this.res.end(body);
	}

	/**
	 * Sends an answer of our own.
	 *
	 * @param status - the HTTP status
	 * @param message - for the caller
	 * @param headers - name and value in turn
	 */
	sendError(status: number, message: string, headers: readonly string[] = []): void {
		const body = Buffer.from(JSON.stringify({error: message}));
		this.send(status, ['content-type', 'application/json', ...headers], body);
	}

	/**
	 * Begins an answer whose length is not known.
	 *
	 * @param status - the HTTP status
	 * @param headers - name and value in turn
	 * @param isFramed - whether the upstream marks the end; otherwise the answer must not look more certain than the upstream's
	 */
	start(status: number, headers: readonly string[], isFramed = true): void {
		if (this.isFinished) {
			return;
		}

		this.hasStarted = true;
		if (isFramed) {
			this.res.writeHead(status, [...headers]);
		} else {
			this.res.useChunkedEncodingByDefault = false;
			this.res.writeHead(status, [...headers, 'connection', 'close']);
		}
	}

	/**
	 * Sends the next part.
	 *
	 * @param chunk - bytes
	 */
	write(chunk: Buffer): void {
		if (!this.isFinished) {
			this.res.write(chunk);
		}
	}

	/** Ends an answer that is whole. */
	end(): void {
		if (!this.isFinished) {
			this.isFinished = true;
			this.res.end();
		}
	}

	/** Cuts an answer that will not become whole, so that it does not look complete. */
	abort(): void {
		if (!this.isFinished) {
			this.isFinished = true;
			this.res.destroy();
		}
	}
}
