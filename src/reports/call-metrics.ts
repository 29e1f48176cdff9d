/** Metrics of the calls at an entry: count by outcome, time to the first token, and time between tokens. */
import type {LatencyRecorder, Metrics} from './metrics.ts';

/** The outcome of a call for its caller; `broken` means that the connection ended before the last line of the response. */
export type CallMetricOutcome = 'answered' | 'broken' | 'not_run' | 'unknown' | 'failed';

/** Counts the outcomes of calls and records the token latencies of generations. */
export class CallMetrics {
	private readonly incrementOutcome: (outcome: string) => void;
	private readonly firstToken: LatencyRecorder;
	private readonly betweenTokens: LatencyRecorder;

	/** @param metrics - the registry that the metrics are added to */
	constructor(metrics: Metrics) {
		this.incrementOutcome = metrics.counter('cactusreach_calls_total', 'Calls by their end for the caller.', 'outcome');
		this.firstToken = metrics.latencyQuantiles('cactusreach_first_token_ms', 'Time from a generation\'s admission to its first token.');
		this.betweenTokens = metrics.latencyQuantiles('cactusreach_between_tokens_ms', 'Time between two parts of a stream.');
	}

	/** Counts a call that ended. */
	recordOutcome(outcome: CallMetricOutcome): void {
		this.incrementOutcome(outcome);
	}

	/** Starts to measure the token latencies of a generation whose call was admitted just now. */
	startTokenTiming(): TokenTiming {
		return new TokenTiming(this.firstToken, this.betweenTokens);
	}
}

/** Measures the time to the first token and between the parts of the stream for one generation. */
export class TokenTiming {
	private lastTokensAtMs = performance.now();
	private hasTokens = false;

	/**
	 * @param firstToken - records the time to the first token
	 * @param betweenTokens - records the time between each two parts of the stream after it
	 */
	constructor(private readonly firstToken: LatencyRecorder, private readonly betweenTokens: LatencyRecorder) {}

	/** Records that a part of the stream with one or more tokens is sent to the caller now. */
	recordTokens(): void {
		const nowMs = performance.now();
		(this.hasTokens ? this.betweenTokens : this.firstToken).record(nowMs - this.lastTokensAtMs);
		this.hasTokens = true;
		this.lastTokensAtMs = nowMs;
	}
}
