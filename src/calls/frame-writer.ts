/** Writes the frames of one answer, and a progress frame whenever there was no other frame for a while. */
import type http from 'node:http';
import {writeWithBackpressure} from '../links/write-with-backpressure.ts';
import type {CallFrame, RefusalCode} from '../messages/call-frame.ts';

/** Longest time without a frame while the call is open, in milliseconds; a quarter of the entries' progress deadline. */
export const heartbeatIntervalMs = 500;

/** A frame without attempt and position. */
export type FrameBody = CallFrame extends infer Frame ? Frame extends CallFrame ? Omit<Frame, 'attempt' | 'seq'> : never : never;

/** Writes the frames of one answer. */
export class FrameWriter {
	private seq = 0;
	private tokenCount = 0;
	private ended = false;
	private blocked = false;
	private readonly heartbeatTimer: NodeJS.Timeout;

	/**
	 * @param res - the response, with nothing sent yet
	 * @param attempt - the attempt that the frames answer
	 */
	constructor(private readonly res: http.ServerResponse, private readonly attempt: string) {
		this.heartbeatTimer = setTimeout(() => {
			this.sendHeartbeat();
		}, heartbeatIntervalMs);
	}

	/**
	 * Calls a function when the entry closes the connection before the answer ended.
	 *
	 * @param listener - the function
	 */
	onClose(listener: () => void): void {
		this.res.once('close', () => {
			if (!this.res.writableFinished) {
				listener();
			}
		});
	}

	/**
	 * Writes one frame and waits while the entry reads slowly.
	 *
	 * @param body - the frame without attempt and position
	 */
	async write(body: FrameBody): Promise<void> {
		const text = this.serializeNext(body);
		this.blocked = true;
		await writeWithBackpressure(this.res, text);
		this.blocked = false;
	}

	/** Ends a whole answer. */
	end(): void {
		this.finish({kind: 'end', tokens: this.tokenCount});
	}

	/**
	 * Ends the answer of a call that did not reach the upstream.
	 *
	 * @param code - the reason
	 */
	refuse(code: RefusalCode): void {
		this.finish({kind: 'refused', code, message: `call was refused before it reached the upstream: ${code}`});
	}

	/**
	 * Ends the answer of a call that reached the upstream and did not finish.
	 *
	 * @param code - the reason
	 * @param message - one sentence
	 */
	fail(code: string, message: string): void {
		this.finish({kind: 'failed', code, message});
	}

	/** Stops the progress frames. */
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

		// A blocked entry has frames to read already.
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
