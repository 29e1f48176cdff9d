/** Metrics of callers' calls at an entry: ends by outcome, time to the first token and between tokens. */
import type {LatencyRecorder, Metrics} from './metrics.ts';

/** How a call ended for its caller; `broken` is a connection that ended without the answer's last line. */
export type CallMetricOutcome = 'answered' | 'broken' | 'not_run' | 'unknown' | 'failed';

/** Records calls. */
export class CallMetrics {
	private readonly countEnd: (end: string) => void;
	private readonly firstToken: LatencyRecorder;
	private readonly betweenTokens: LatencyRecorder;

	/** @param metrics - the process's metrics */
	constructor(metrics: Metrics) {
		this.countEnd = metrics.counter('cactusreach_calls_total', 'Calls by their end for the caller.', 'outcome');
		this.firstToken = metrics.latencyQuantiles('cactusreach_first_token_ms', 'Time from a generation\'s admission to its first token.');
		this.betweenTokens = metrics.latencyQuantiles('cactusreach_between_tokens_ms', 'Time between two parts of a stream.');
	}

	/**
	 * Counts a call.
	 *
	 * @param end - how it ended
	 */
	recordOutcome(end: CallMetricOutcome): void {
		this.countEnd(end);
	}

	/** Starts to measure a generation now. */
	startTokenTiming(): TokenTiming {
		return new TokenTiming(this.firstToken, this.betweenTokens);
	}
}

/** Measures one generation. */
export class TokenTiming {
	private lastMs = performance.now();
	private hasTokens = false;

	/**
	 * @param firstToken - receives the time to the first token
	 * @param betweenTokens - receives the times after it
	 */
	constructor(private readonly firstToken: LatencyRecorder, private readonly betweenTokens: LatencyRecorder) {}

	/** Records that tokens go to the caller now. */
	recordTokens(): void {
		const nowMs = performance.now();
		(this.hasTokens ? this.betweenTokens : this.firstToken).record(nowMs - this.lastMs);
		this.hasTokens = true;
		this.lastMs = nowMs;
	}
}
