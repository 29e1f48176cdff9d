/** Simulates a model engine with continuous batching on a virtual clock, without a network. Durations follow the engine's published timing. */
import type {EngineTiming} from '../src/directory/directory-types.ts';

/** A call submitted to the engine. */
export type BatchedCall = {
	readonly promptTokens: number;
	readonly answerTokens: number;
	/** Called after each pass in which the call generated tokens, with the number of tokens generated so far. */
	readonly onTokens: (generatedTokens: number) => void;
};

/** Options of a {@link BatchingEngine}. */
export type BatchingEngineOptions = {
	readonly timing: EngineTiming;
	/** Maximum number of prompt tokens processed in one pass (chunked prefill). */
	readonly prefillChunkTokens: number;
	/** Attention time during prefill per million pairs of a token and an earlier token, in milliseconds. */
	readonly attentionMsPerMillionPairs: number;
	/** Maximum number of calls that may wait for a slot. */
	readonly maxQueuedCalls: number;
	/** Factor by which the engine is slower than its published timing. */
	readonly slowness: number;
	/** Schedules a callback on the virtual clock. */
	readonly after: (ms: number, callback: () => void) => void;
};

type ActiveCall = {readonly call: BatchedCall; pendingPromptTokens: number; generatedTokens: number; isCancelled: boolean};

const tokensPerKilotoken = 1000;
const pairsPerMillion = 1_000_000;

/** Runs calls in passes. Each pass processes a bounded number of prompt tokens, and generates a few tokens for each call whose prompt was complete before it. */
export class BatchingEngine {
	private queuedCalls: ActiveCall[] = [];
	private runningCalls: ActiveCall[] = [];
	private isPassScheduled = false;

	constructor(private readonly options: BatchingEngineOptions) {}

	/** Number of running and queued calls. */
	get calls(): number {
		return this.runningCalls.length + this.queuedCalls.length;
	}

	/**
	 * Queues a call, or rejects it if all slots and the queue are full.
	 *
	 * @returns a function that cancels the call; undefined if the call was rejected
	 */
	submit(call: BatchedCall): (() => void) | undefined {
		if (this.runningCalls.length >= this.options.timing.slots && this.queuedCalls.length >= this.options.maxQueuedCalls) {
			return undefined;
		}

		const activeCall = {
			call, pendingPromptTokens: call.promptTokens, generatedTokens: 0, isCancelled: false,
		};
		this.queuedCalls.push(activeCall);
		if (!this.isPassScheduled) {
			this.startPass();
		}

		return () => {
			activeCall.isCancelled = true;
		};
	}

	private startPass(): void {
		this.runningCalls = this.runningCalls.filter(activeCall => !activeCall.isCancelled);
		this.queuedCalls = this.queuedCalls.filter(activeCall => !activeCall.isCancelled);
		this.runningCalls.push(...this.queuedCalls.splice(0, this.options.timing.slots - this.runningCalls.length));
		this.isPassScheduled = this.runningCalls.length > 0;
		if (!this.isPassScheduled) {
			return;
		}

		const decodingCalls = this.runningCalls.filter(({pendingPromptTokens}) => pendingPromptTokens === 0);
		const steps = decodingCalls.length > 0 ? this.options.timing.stepsPerPass : 1;
		const prefillMs = this.prefill();
		this.options.after(this.options.slowness * (prefillMs + (steps * this.computeStepMs(decodingCalls))), () => {
			this.decode(decodingCalls, steps);
			this.startPass();
		});
	}

	/** Processes prompt tokens of the running calls in order of arrival, and returns the duration in milliseconds. */
	private prefill(): number {
		const {timing, prefillChunkTokens, attentionMsPerMillionPairs} = this.options;
		let remainingTokens = prefillChunkTokens;
		let ms = 0;
		for (const activeCall of this.runningCalls) {
			const tokens = Math.min(remainingTokens, activeCall.pendingPromptTokens);
			const contextTokens = activeCall.call.promptTokens - activeCall.pendingPromptTokens;
			activeCall.pendingPromptTokens -= tokens;
			remainingTokens -= tokens;
			ms += (tokens / timing.readTokensPerMs) + (attentionMsPerMillionPairs * tokens * (contextTokens + (tokens / 2)) / pairsPerMillion);
		}

		return ms;
	}

	private computeStepMs(decodingCalls: readonly ActiveCall[]): number {
		const {stepMs, perCallMs, contextMsPerKilotoken} = this.options.timing;
		let ms = stepMs;
		for (const {call, generatedTokens} of decodingCalls) {
			ms += perCallMs + (contextMsPerKilotoken * (call.promptTokens + generatedTokens) / tokensPerKilotoken);
		}

		return ms;
	}

	private decode(decodingCalls: readonly ActiveCall[], steps: number): void {
		for (const activeCall of decodingCalls) {
			activeCall.generatedTokens = Math.min(activeCall.call.answerTokens, activeCall.generatedTokens + steps);
			if (!activeCall.isCancelled) {
				activeCall.call.onTokens(activeCall.generatedTokens);
			}
		}

		this.runningCalls = this.runningCalls.filter(({call, generatedTokens}) => generatedTokens < call.answerTokens);
	}
}
