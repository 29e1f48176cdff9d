/** Emulates a model engine that batches continuously, from its published timing, on a virtual clock; without a network. */
import type {EngineTiming} from '../src/directory/directory-types.ts';

/** One call at the engine. */
export type BatchedCall = {
	readonly promptTokens: number;
	readonly answerTokens: number;
	/** Is called after each pass in which the call wrote, with the tokens written so far. */
	readonly onTokens: (written: number) => void;
};

/** How an engine is emulated. */
export type BatchingEngineOptions = {
	readonly timing: EngineTiming;
	/** Most prompt tokens that are read in one pass. */
	readonly prefillChunkTokens: number;
	/** Reading time of a million pairs of a token and an earlier one, in milliseconds. */
	readonly attentionMsPerMillionPairs: number;
	/** Calls that may wait for a slot. */
	readonly maxQueuedCalls: number;
	/** How much slower than published the engine is. */
	readonly slowness: number;
	/** Runs something later on the virtual clock. */
	readonly after: (ms: number, run: () => void) => void;
};

type ActiveCall = {readonly call: BatchedCall; unreadPromptTokens: number; writtenTokens: number; isCancelled: boolean};

const tokensPerKilotoken = 1000;
const pairsPerMillion = 1_000_000;

/** Runs calls in passes: each pass reads prompts up to a bound and lets every writing call write a few tokens. */
export class BatchingEngine {
	private queuedCalls: ActiveCall[] = [];
	private runningCalls: ActiveCall[] = [];
	private isPassScheduled = false;

	/** @param options - the engine */
	constructor(private readonly options: BatchingEngineOptions) {}

	/** Calls that run and wait. */
	get calls(): number {
		return this.runningCalls.length + this.queuedCalls.length;
	}

	/**
	 * Takes a call.
	 *
	 * @param call - the call
	 * @returns cancels it; undefined when the engine is full
	 */
	submit(call: BatchedCall): (() => void) | undefined {
		if (this.runningCalls.length >= this.options.timing.slots && this.queuedCalls.length >= this.options.maxQueuedCalls) {
			return undefined;
		}

		const work = {
			call, unreadPromptTokens: call.promptTokens, writtenTokens: 0, isCancelled: false,
		};
		this.queuedCalls.push(work);
		if (!this.isPassScheduled) {
			this.startPass();
		}

		return () => {
			work.isCancelled = true;
		};
	}

	private startPass(): void {
		this.runningCalls = this.runningCalls.filter(work => !work.isCancelled);
		this.queuedCalls = this.queuedCalls.filter(work => !work.isCancelled);
		this.runningCalls.push(...this.queuedCalls.splice(0, this.options.timing.slots - this.runningCalls.length));
		this.isPassScheduled = this.runningCalls.length > 0;
		if (!this.isPassScheduled) {
			return;
		}

		const writers = this.runningCalls.filter(({unreadPromptTokens: unread}) => unread === 0);
		const steps = writers.length > 0 ? this.options.timing.stepsPerPass : 1;
		const readMs = this.readPrompts();
		this.options.after(this.options.slowness * (readMs + (steps * this.computeStepMs(writers))), () => {
			this.writeTokens(writers, steps);
			this.startPass();
		});
	}

	/** Reads prompts in the order of arrival and returns the time that it takes, in milliseconds. */
	private readPrompts(): number {
		const {timing, prefillChunkTokens: chunkTokens, attentionMsPerMillionPairs: pairsMsPerMillion} = this.options;
		let remainingTokens = chunkTokens;
		let ms = 0;
		for (const work of this.runningCalls) {
			const tokens = Math.min(remainingTokens, work.unreadPromptTokens);
			const contextTokens = work.call.promptTokens - work.unreadPromptTokens;
			work.unreadPromptTokens -= tokens;
			remainingTokens -= tokens;
			ms += (tokens / timing.readTokensPerMs) + (pairsMsPerMillion * tokens * (contextTokens + (tokens / 2)) / pairsPerMillion);
		}

		return ms;
	}

	private computeStepMs(writers: readonly ActiveCall[]): number {
		const {stepMs, perCallMs, contextMsPerKilotoken} = this.options.timing;
		let ms = stepMs;
		for (const {call, writtenTokens: written} of writers) {
			ms += perCallMs + (contextMsPerKilotoken * (call.promptTokens + written) / tokensPerKilotoken);
		}

		return ms;
	}

	private writeTokens(writers: readonly ActiveCall[], steps: number): void {
		for (const work of writers) {
			work.writtenTokens = Math.min(work.call.answerTokens, work.writtenTokens + steps);
			if (!work.isCancelled) {
				work.call.onTokens(work.writtenTokens);
			}
		}

		this.runningCalls = this.runningCalls.filter(({call, writtenTokens: written}) => written < call.answerTokens);
	}
}
