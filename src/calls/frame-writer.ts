/** Writes the frames of one answer, and progress frames as heartbeats while there is nothing else to send. */
import type http from 'node:http';
import {writeWithBackpressure} from '../links/write-with-backpressure.ts';
import type {CallFrame, RefusalCode} from '../messages/call-frame.ts';

/** Longest time without a frame while the call is open, in milliseconds; a quarter of the entries' `progressTimeoutMs`. */
export const heartbeatIntervalMs = 500;

/** A frame without attempt and sequence number, which the writer adds. */
export type FrameBody = CallFrame extends infer Frame ? Frame extends CallFrame ? Omit<Frame, 'attempt' | 'seq'> : never : never;

/** Writes the frames of one answer and numbers them. */
export class FrameWriter {
	private seq = 0;
	private tokenCount = 0;
	private ended = false;
	private blocked = false;
	private readonly heartbeatTimer: NodeJS.Timeout;

	/** @param res - the response; its headers must not have been sent */
	constructor(private readonly res: http.ServerResponse, private readonly attempt: string) {
		this.heartbeatTimer = setTimeout(() => {
			this.sendHeartbeat();
		}, heartbeatIntervalMs);
	}

	/** Registers a listener for a connection that closes before the answer is complete. */
	onClose(listener: () => void): void {
		this.res.once('close', () => {
			if (!this.res.writableFinished) {
				listener();
			}
		});
	}

	/** Writes one frame and, under backpressure, waits until the entry has read enough. */
	async write(body: FrameBody): Promise<void> {
		const text = this.serializeNext(body);
		this.blocked = true;
		await writeWithBackpressure(this.res, text);
		this.blocked = false;
	}

	/** Ends a complete answer. */
	end(): void {
		this.finish({kind: 'end', tokens: this.tokenCount});
	}

	/** Ends the answer of a call that did not reach the upstream. */
	refuse(code: RefusalCode): void {
		this.finish({kind: 'refused', code, message: `call was refused before it reached the upstream: ${code}`});
	}

	/**
	 * Ends the answer of a call that reached the upstream and did not finish.
	 *
	 * @param message - a human-readable description
	 */
	fail(code: string, message: string): void {
		this.finish({kind: 'failed', code, message});
	}

	/** Stops sending progress frames. */
	stop(): void {
		this.ended = true;
		clearTimeout(this.heartbeatTimer);
	}

	private finish(body: FrameBody): void {
		this.stop();
		if (!this.res.destroyed) {
			this.res.end(this.serializeNext(body));
		}
	}

	private sendHeartbeat(): void {
		if (this.ended) {
			return;
		}

		// A slow entry still has frames to read, so it needs no heartbeat.
		if (!this.blocked && !this.res.destroyed) {
			this.res.write(this.serializeNext({kind: 'progress'}));
		}

		this.heartbeatTimer.refresh();
	}

	private serializeNext(body: FrameBody): string {
		if (this.seq === 0 && !this.res.headersSent && !this.res.destroyed) {
			this.res.writeHead(200, {'content-type': 'application/x-ndjson'});
		}

		if (body.kind === 'tokens') {
			this.tokenCount += body.tokens.length;
		}

		if (!this.ended) {
			this.heartbeatTimer.refresh();
		}

		const text = `${JSON.stringify({attempt: this.attempt, seq: this.seq, ...body})}\n`;
		this.seq++;
		return text;
	}
}
