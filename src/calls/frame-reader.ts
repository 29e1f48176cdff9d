/** Parses an agent's answer, one JSON frame per line, and validates the frames. */
import {type Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import {type CallFrame, callFrameSchema} from '../messages/call-frame.ts';
import type {CallRequest} from '../messages/call-request.ts';
import {BrokenAnswerError, FrameChecker} from './frame-checker.ts';

/** Maximum length of a line, in characters: the body of a result has at most 8 MiB, and JSON writes a character of it as at most 6. */
const maxLineLength = 50_397_184;

/**
 * Splits a stream into lines and yields the lines of each chunk together.
 *
 * The stream stays open when the consumer stops early. The consumer must then destroy or drain it.
 *
 * @param body - a stream of UTF-8 bytes
 * @throws BrokenAnswerError when the stream ends within a line, or a line is too long
 */
export async function * readLineBatches(body: Readable): AsyncGenerator<readonly string[]> {
	const decoder = new TextDecoder();
	let remainder = '';
	for await (const chunk of body.iterator({destroyOnReturn: false})) {
		const parts = decoder.decode(chunk as Buffer, {stream: true}).split('\n');
		// Only the new bytes are looked through: a long line arrives in many chunks.
		remainder += parts[0]!;
		if (parts.length > 1) {
			const last = parts.pop()!;
			parts[0] = remainder;
			remainder = last;
			yield parts;
		}

		if (remainder.length > maxLineLength) {
			throw new BrokenAnswerError('answer has too long a line');
		}
	}

	if (remainder !== '') {
		throw new BrokenAnswerError('answer ends within a line');
	}
}

/**
 * Parses and validates the frames of one attempt; frames of other attempts are dropped.
 *
 * @throws BrokenAnswerError when the answer has a gap, changes its version, or ends without a last frame
 */
export async function * readFrames(body: Readable, call: Pick<CallRequest, 'attempt' | 'work'>): AsyncGenerator<CallFrame> {
	const checker = new FrameChecker(call);
	for await (const lines of readLineBatches(body)) {
		for (const line of lines) {
			const frame = parseFrame(line);
			if (checker.accept(frame)) {
				yield frame;
			}

			if (checker.isComplete) {
				return;
			}
		}
	}

	throw new BrokenAnswerError('answer ends without a last frame');
}

function parseFrame(line: string): CallFrame {
	try {
		return callFrameSchema.parse(JSON.parse(line));
	} catch (err) {
		throw new BrokenAnswerError(`answer has an invalid frame: ${(err as Error).message}`);
	}
}
