/** Validates the frames of an answer: they belong to the open attempt, have no gap, and form one complete answer of one version. */
import type {CallFrame} from '../messages/call-frame.ts';
import type {CallRequest} from '../messages/call-request.ts';

/** Thrown when an answer is malformed, out of order, incomplete or of the wrong version. */
export class BrokenAnswerError extends Error {}

/** Validates the frames of one attempt, one at a time. */
export class FrameChecker {
	private nextSeq = 0;
	private hasHead = false;
	private resultCount = 0;
	private tokenCount = 0;
	private done = false;
	private readonly checks: {readonly [Kind in CallFrame['kind']]: (frame: Extract<CallFrame, {kind: Kind}>) => void} = {
		head: frame => {
			this.checkHead(frame.version);
		},
		progress: () => undefined,
		tokens: frame => {
			this.checkTokens(frame.version, frame.tokens.length);
		},
		result: () => {
			this.assertValid(this.call.work.kind === 'operation' && this.hasHead && this.resultCount === 0, 'unexpected result frame');
			this.resultCount++;
		},
		end: frame => {
			this.checkEnd(frame.tokens);
		},
		refused: () => {
			this.assertValid(!this.hasHead, 'refusal after the head frame');
			this.done = true;
		},
		failed: () => {
			this.done = true;
		},
	};

	constructor(private readonly call: Pick<CallRequest, 'attempt' | 'work'>) {}

	/** Whether the last frame was accepted. */
	get isComplete(): boolean {
		return this.done;
	}

	/**
	 * Validates the next frame of the stream.
	 *
	 * @returns false if the frame belongs to another attempt and must be dropped
	 * @throws BrokenAnswerError when the frame is not valid at this position
	 */
	accept(frame: CallFrame): boolean {
		if (frame.attempt !== this.call.attempt) {
			return false;
		}

		this.assertValid(!this.done, 'frame after the last frame');
		this.assertValid(frame.seq === this.nextSeq, `received frame ${frame.seq}, expected frame ${this.nextSeq}`);
		this.nextSeq++;
		(this.checks[frame.kind] as (frame: CallFrame) => void)(frame);
		return true;
	}

	private checkHead(version: string | null): void {
		const {work} = this.call;
		this.assertValid(!this.hasHead, 'answer has two head frames');
		this.assertValid(version === (work.kind === 'generate' ? work.version : null), `answer has unexpected version ${version}`);
		this.hasHead = true;
	}

	private checkTokens(version: string, count: number): void {
		const {work} = this.call;
		this.assertValid(work.kind === 'generate' && this.hasHead, 'unexpected tokens frame');
		this.assertValid(work.kind === 'generate' && version === work.version, `version changed to ${version} within the answer`);
		this.tokenCount += count;
		this.assertValid(work.kind === 'generate' && work.resumeFrom + this.tokenCount <= work.maxTokens, 'answer has more tokens than requested');
	}

	private checkEnd(tokens: number): void {
		this.assertValid(this.hasHead, 'answer has no head frame');
		this.assertValid(this.call.work.kind === 'generate' || this.resultCount === 1, 'answer has no result frame');
		this.assertValid(tokens === this.tokenCount, `answer has ${this.tokenCount} tokens, but its end frame counts ${tokens}`);
		this.done = true;
	}

	private assertValid(condition: boolean, problem: string): void {
		if (!condition) {
			throw new BrokenAnswerError(problem);
		}
	}
}
