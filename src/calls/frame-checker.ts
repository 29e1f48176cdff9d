/** Checks that the frames of an answer belong to the open attempt, follow each other and make one whole answer of one version. */
import type {CallFrame} from '../messages/call-frame.ts';
import type {CallRequest} from '../messages/call-request.ts';

/** Reports an answer that is not the whole answer to the open attempt. */
export class BrokenAnswerError extends Error {}

/** Checks the frames of one attempt. */
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
			this.assertValid(this.call.work.kind === 'operation' && this.hasHead && this.resultCount === 0, 'result is out of place');
			this.resultCount++;
		},
		end: frame => {
			this.checkEnd(frame.tokens);
		},
		refused: () => {
			this.assertValid(!this.hasHead, 'refusal follows the start of an answer');
			this.done = true;
		},
		failed: () => {
			this.done = true;
		},
	};

	/** @param call - the call of the open attempt */
	constructor(private readonly call: Pick<CallRequest, 'attempt' | 'work'>) {}

	/** Whether the last frame was seen. */
	get isComplete(): boolean {
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
		if (frame.attempt !== this.call.attempt) {
			return false;
		}

		this.assertValid(!this.done, 'frame follows the last frame');
		this.assertValid(frame.seq === this.nextSeq, `frame ${frame.seq} came where frame ${this.nextSeq} was due`);
		this.nextSeq++;
		(this.checks[frame.kind] as (frame: CallFrame) => void)(frame);
		return true;
	}

	private checkHead(version: string | null): void {
		const {work} = this.call;
		this.assertValid(!this.hasHead, 'answer has two heads');
		this.assertValid(version === (work.kind === 'generate' ? work.version : null), `answer is of version ${version}`);
		this.hasHead = true;
	}

	private checkTokens(version: string, count: number): void {
		const {work} = this.call;
		this.assertValid(work.kind === 'generate' && this.hasHead, 'tokens are out of place');
		this.assertValid(work.kind === 'generate' && version === work.version, `version changed to ${version} within the answer`);
		this.tokenCount += count;
		this.assertValid(work.kind === 'generate' && work.resumeFrom + this.tokenCount <= work.maxTokens, 'answer has more tokens than were asked for');
	}

	private checkEnd(tokens: number): void {
		this.assertValid(this.hasHead, 'answer has no head');
		this.assertValid(this.call.work.kind === 'generate' || this.resultCount === 1, 'answer has no result');
		this.assertValid(tokens === this.tokenCount, `answer has ${this.tokenCount} tokens of ${tokens}`);
		this.done = true;
	}

	private assertValid(condition: boolean, problem: string): void {
		if (!condition) {
			throw new BrokenAnswerError(problem);
		}
	}
}
