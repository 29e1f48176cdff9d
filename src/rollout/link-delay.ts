/** Measures how long packets wait at the link of this VM, by the round trips of notices to other VMs. */

/** The age up to which a round trip counts, in milliseconds. */
const windowMs = 200;

/** The time after which an unanswered notice counts as lost, in milliseconds. */
const lostAfterMs = 2000;

/** The number of VMs from which the delay of the own link can be told from that of theirs. */
const minPeers = 3;

/** The share of the round trips that may be shorter than the result. The own link is part of all of them, and most other links are idle. */
const quantile = 0.25;

type RoundTrip = {
	/** When the notice was sent that is not answered yet, in milliseconds. */
	sentAtMs: number | undefined;
	answeredAtMs: number;
	ms: number;
};

/** The last round trip to each of the other VMs. */
export class LinkDelay {
	private readonly roundTrips = new Map<string, RoundTrip>();

	/**
	 * Records that a notice was sent. While an earlier one is not answered, its answer could not be told from that of the new one, which does not count.
	 *
	 * @param host - the VM that the notice was sent to
	 */
	recordSent(host: string): void {
		const nowMs = performance.now();
		const known = this.roundTrips.get(host);
		if (!known) {
			this.roundTrips.set(host, {sentAtMs: nowMs, answeredAtMs: Number.NEGATIVE_INFINITY, ms: 0});
		} else if (known.sentAtMs === undefined || nowMs - known.sentAtMs >= lostAfterMs) {
			known.sentAtMs = nowMs;
		}
	}

	/**
	 * Records the answer to a notice.
	 *
	 * @param host - the VM that it came from
	 */
	recordAnswer(host: string): void {
		const known = this.roundTrips.get(host);
		if (known?.sentAtMs !== undefined) {
			known.answeredAtMs = performance.now();
			known.ms = known.answeredAtMs - known.sentAtMs;
			known.sentAtMs = undefined;
		}
	}

	/** The round trip over the own link, in milliseconds; undefined if too few VMs were asked lately. */
	get currentMs(): number | undefined {
		const nowMs = performance.now();
		const known = [...this.roundTrips.values()];
		const answered = known.filter(({answeredAtMs}) => nowMs - answeredAtMs < windowMs).map(({ms}) => ms);
		// Answers that are late are counted before they arrive.
		const awaited = known.map(({sentAtMs}) => nowMs - (sentAtMs ?? nowMs)).filter(ms => ms >= windowMs && ms < lostAfterMs);
		const sorted = [...answered, ...awaited].toSorted((a, b) => a - b);
		return sorted.length < minPeers ? undefined : sorted[Math.floor(quantile * (sorted.length - 1))];
	}
}
