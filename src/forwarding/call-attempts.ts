/**
 * The attempts of one call that are under way: usually one, and more while an upstream is silent. The first one that has something to
 * pass on answers the call, and the others are aborted.
 */
import type {UpstreamAttempt} from './upstream-attempt.ts';

/** Holds the attempts of one call. */
export class CallAttempts {
	/** The attempt that ended last by itself. */
	lastEnded: UpstreamAttempt | undefined;
	/** In the order of their starts. */
	private readonly underWay = new Set<UpstreamAttempt>();

	/** @param onReplaced - called for each attempt that is aborted because another one answers */
	constructor(private readonly onReplaced: (attempt: UpstreamAttempt) => void) {}

	/** Whether an attempt is under way. */
	get areUnderWay(): boolean {
		return this.underWay.size > 0;
	}

	/** Whether no more than one attempt is under way. */
	get isAlone(): boolean {
		return this.underWay.size <= 1;
	}

	/** The attempts under way whose upstreams certainly did not get the call. */
	get unsentCount(): number {
		return [...this.underWay].filter(({isUnsent}) => isUnsent).length;
	}

	/** The first attempt that is under way, or the one that ended last; undefined before the first one. */
	get current(): UpstreamAttempt | undefined {
		const [first] = this.underWay;
		return first ?? this.lastEnded;
	}

	/** Whether an attempt is under way. */
	has(attempt: UpstreamAttempt): boolean {
		return this.underWay.has(attempt);
	}

	/** Adds an attempt that starts. */
	add(attempt: UpstreamAttempt): void {
		this.underWay.add(attempt);
	}

	/** Removes an attempt that has ended. */
	remove(attempt: UpstreamAttempt): void {
		this.underWay.delete(attempt);
		this.lastEnded = attempt;
	}

	/** Aborts all attempts but the one that answers the call. */
	keepOnly(answering: UpstreamAttempt): void {
		if (this.underWay.size === 1) {
			return;
		}

		for (const attempt of this.underWay) {
			if (attempt !== answering) {
				this.underWay.delete(attempt);
				attempt.abort();
				this.onReplaced(attempt);
			}
		}
	}

	/** Applies a change of the announced versions, the instances and the evacuated zones. */
	recheck(): void {
		for (const attempt of this.underWay) {
			attempt.startDeadline.check();
			const moveReason = attempt.isUnsent ? attempt.options.findMoveReason() : undefined;
			if (moveReason) {
				attempt.handleInstanceClosed(moveReason, true);
			}
		}
	}

	/** Aborts all attempts. */
	abortAll(): void {
		for (const attempt of this.underWay) {
			this.underWay.delete(attempt);
			attempt.abort();
		}
	}
}
