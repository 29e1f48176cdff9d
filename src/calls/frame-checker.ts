/** Checks that the frames of an answer belong to the open attempt, follow each other and make one whole answer of one version. */
import type {CallFrame} from '../messages/call-frame.ts';
import type {CallRequest} from '../messages/call-request.ts';

/** Reports an answer that is not the whole answer to the open attempt. */
export class BrokenAnswerError extends Error {}

/** Checks the frames of one attempt. */
export class FrameChecker {
	private nextSeq = 0;
	private head = false;
	private results = 0;
	private tokens = 0;
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
			this.require(this.call.work.kind === 'operation' && this.head && this.results === 0, 'result is out of place');
			this.results++;
		},
		end: frame => {
			this.checkEnd(frame.tokens);
		},
		refused: () => {
			this.require(!this.head, 'refusal follows the start of an answer');
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

		this.require(!this.done, 'frame follows the last frame');
		this.require(frame.seq === this.nextSeq, `frame ${frame.seq} came where frame ${this.nextSeq} was due`);
		this.nextSeq++;
		(this.checks[frame.kind] as (frame: CallFrame) => void)(frame);
		return true;
	}

	private checkHead(version: string | null): void {
		const {work} = this.call;
		this.require(!this.head, 'answer has two heads');
		this.require(version === (work.kind === 'generate' ? work.version : null), `answer is of version ${version}`);
		this.head = true;
	}

	private checkTokens(version: string, count: number): void {
		const {work} = this.call;
		this.require(work.kind === 'generate' && this.head, 'tokens are out of place');
		this.require(work.kind === 'generate' && version === work.version, `version changed to ${version} within the answer`);
		this.tokens += count;
		this.require(work.kind === 'generate' && work.resumeFrom + this.tokens <= work.maxTokens, 'answer has more tokens than were asked for');
	}

	private checkEnd(tokens: number): void {
		this.require(this.head, 'answer has no head');
		this.require(this.call.work.kind === 'generate' || this.results === 1, 'answer has no result');
		this.require(tokens === this.tokens, `answer has ${this.tokens} tokens of ${tokens}`);
		this.done = true;
	}

	private require(condition: boolean, problem: string): void {
		if (!condition) {
			throw new BrokenAnswerError(problem);
		}
	}
}
