/** Reads an agent's answer frame by frame and checks that it belongs to the open attempt and has no gap. */
import {type Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import {type CallFrame, callFrameSchema} from '../messages/call-frame.ts';

/** Reports an answer that is not the whole answer to the open attempt. */
export class BrokenAnswerError extends Error {}

/**
 * Splits a stream into lines.
 *
 * @param body - UTF-8 bytes
 */
export async function * readLines(body: Readable): AsyncGenerator<string> {
	const decoder = new TextDecoder();
	let rest = '';
	for await (const part of body) {
		rest += decoder.decode(part as Buffer, {stream: true});
		const lines = rest.split('\n');
		rest = lines.pop() ?? '';
		yield * lines;
	}

	if (rest !== '') {
		throw new BrokenAnswerError('answer ends within a line');
	}
}

/**
 * Reads the frames of one attempt.
 *
 * @param body - the agent's answer
 * @param attempt - the open attempt
 * @throws BrokenAnswerError when the answer has a gap, changes its version, or ends without a last frame
 */
export async function * readFrames(body: Readable, attempt: string): AsyncGenerator<CallFrame> {
	const checker = new FrameChecker(attempt);
	for await (const line of readLines(body)) {
		const frame = parseFrame(line);
		if (checker.accept(frame)) {
			yield frame;
			if (checker.complete) {
				return;
			}
		}
	}

	throw new BrokenAnswerError('answer ends without a last frame');
}

/** Checks that frames follow each other. */
export class FrameChecker {
	private nextSeq = 0;
	private version: string | null | undefined;
	private tokens = 0;
	private done = false;

	/** @param attempt - the open attempt */
	constructor(private readonly attempt: string) {}

	/** Whether the last frame was seen. */
	get complete(): boolean {
		return this.done;
	}

	/**
	 * Takes in a frame.
	 *
	 * @param frame - the next frame of the stream
	 * @returns false when the frame belongs to another attempt and must be dropped
	 * @throws BrokenAnswerError when the frame does not follow the one before
	 */
	accept(frame: CallFrame): boolean {
		if (frame.attempt !== this.attempt) {
			return false;
		}

		if (frame.seq !== this.nextSeq) {
			throw new BrokenAnswerError(`frame ${frame.seq} came where frame ${this.nextSeq} was due`);
		}

		this.nextSeq++;
		this.checkKind(frame);
		return true;
	}

	private checkKind(frame: CallFrame): void {
		if (frame.kind === 'head') {
			this.version = frame.version;
		} else if (frame.kind === 'tokens') {
			if (frame.version !== this.version) {
				throw new BrokenAnswerError(`version changed from ${this.version} to ${frame.version} within the answer`);
			}

			this.tokens += frame.tokens.length;
		} else if (frame.kind === 'end' && frame.tokens !== this.tokens) {
			throw new BrokenAnswerError(`answer has ${this.tokens} tokens of ${frame.tokens}`);
		}

		this.done = frame.kind === 'end' || frame.kind === 'refused' || frame.kind === 'failed';
	}
}

function parseFrame(line: string): CallFrame {
	try {
		return callFrameSchema.parse(JSON.parse(line));
	} catch (err) {
		throw new BrokenAnswerError(`answer has a line that is no frame: ${(err as Error).message}`);
	}
}
