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
	readonly chunkTokens: number;
	/** Reading time of a million pairs of a token and an earlier one, in milliseconds. */
	readonly pairsMsPerMillion: number;
	/** Calls that may wait for a slot. */
	readonly maxWaiting: number;
	/** How much slower than published the engine is. */
	readonly slowness: number;
	/** Runs something later on the virtual clock. */
	readonly after: (ms: number, run: () => void) => void;
};

type Work = {readonly call: BatchedCall; unread: number; written: number; isGone: boolean};

const tokensPerKilotoken = 1000;
const pairsPerMillion = 1_000_000;

/** Runs calls in passes: each pass reads prompts up to a bound and lets every writing call write a few tokens. */
export class BatchingEngine {
	private waiting: Work[] = [];
	private running: Work[] = [];
	private isBusy = false;

	/** @param options - the engine */
	constructor(private readonly options: BatchingEngineOptions) {}

	/** Calls that run and wait. */
	get calls(): number {
		return this.running.length + this.waiting.length;
	}

	/**
	 * Takes a call.
	 *
	 * @param call - the call
	 * @returns cancels it; undefined when the engine is full
	 */
	submit(call: BatchedCall): (() => void) | undefined {
		if (this.running.length >= this.options.timing.slots && this.waiting.length >= this.options.maxWaiting) {
			return undefined;
		}

		const work = {
			call, unread: call.promptTokens, written: 0, isGone: false,
		};
		this.waiting.push(work);
		if (!this.isBusy) {
			this.pass();
		}

		return () => {
			work.isGone = true;
		};
	}

	private pass(): void {
		this.running = this.running.filter(work => !work.isGone);
		this.waiting = this.waiting.filter(work => !work.isGone);
		this.running.push(...this.waiting.splice(0, this.options.timing.slots - this.running.length));
		this.isBusy = this.running.length > 0;
		if (!this.isBusy) {
			return;
		}

		const writers = this.running.filter(({unread}) => unread === 0);
		const steps = writers.length > 0 ? this.options.timing.stepsPerPass : 1;
		const readMs = this.read();
		this.options.after(this.options.slowness * (readMs + (steps * this.stepMs(writers))), () => {
			this.write(writers, steps);
			this.pass();
		});
	}

	/** Reads prompts in the order of arrival and returns the time that it takes, in milliseconds. */
	private read(): number {
		const {timing, chunkTokens, pairsMsPerMillion} = this.options;
		let left = chunkTokens;
		let ms = 0;
		for (const work of this.running) {
			const tokens = Math.min(left, work.unread);
			const before = work.call.promptTokens - work.unread;
			work.unread -= tokens;
			left -= tokens;
			ms += (tokens / timing.readTokensPerMs) + (pairsMsPerMillion * tokens * (before + (tokens / 2)) / pairsPerMillion);
		}

		return ms;
	}

	private stepMs(writers: readonly Work[]): number {
		const {stepMs, perCallMs, contextMsPerKilotoken} = this.options.timing;
		let ms = stepMs;
		for (const {call, written} of writers) {
			ms += perCallMs + (contextMsPerKilotoken * (call.promptTokens + written) / tokensPerKilotoken);
		}

		return ms;
	}

	private write(writers: readonly Work[], steps: number): void {
		for (const work of writers) {
			work.written = Math.min(work.call.answerTokens, work.written + steps);
			if (!work.isGone) {
				work.call.onTokens(work.written);
			}
		}

		this.running = this.running.filter(({call, written}) => written < call.answerTokens);
	}
}
