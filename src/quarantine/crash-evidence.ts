/** What a gateway knows of crashes and of prompt parts that upstreams processed without one. Its size does not depend on what callers send. */
import type {PromptPartId} from '../ids/prompt-part-id.ts';
import type {Crash} from './crash-detector.ts';
import {RecentTimes} from './recent-times.ts';

/** Number of crashes that are kept, over all gateways. */
const maxCrashes = 64;

/** Number of calls that are kept for one crash, over all gateways. */
const maxCallsPerCrash = 64;

/** How long a crash counts, in milliseconds. */
const crashTtlMs = 60_000;

/** Number of parts whose last survival is kept. */
const maxSurvivals = 2048;

/** How long after its end a call proves that its upstream survived it, in milliseconds: the crash of an upstream may follow the last byte. */
export const survivalDelayMs = 200;

/** Number of ended calls that wait for {@link survivalDelayMs}. */
const maxPendingSurvivals = 512;

/** A crash as all gateways together saw it. */
export type KnownCrash = {readonly atMs: number; readonly calls: Map<string, readonly PromptPartId[]>; readonly parts: Set<PromptPartId>};

type PendingSurvival = {readonly instance: string; readonly parts: readonly PromptPartId[]; readonly atMs: number};

/** Keeps crashes and survivals. Times are milliseconds of the monotonic clock of this process. */
export class CrashEvidence {
	private readonly crashesById = new Map<string, KnownCrash>();
	private readonly survivals = new RecentTimes<PromptPartId>(maxSurvivals);
	private pending: PendingSurvival[] = [];

	/** The crashes that count now. */
	get crashes(): KnownCrash[] {
		return [...this.crashesById.values()];
	}

	/** Returns the times of the crashes that broke off calls with a part, in milliseconds. */
	crashTimes(part: PromptPartId): number[] {
		return this.crashes.filter(({parts}) => parts.has(part)).map(({atMs}) => atMs);
	}

	/**
	 * Adds a crash, or calls to a known one.
	 *
	 * @returns the calls that were not known for this crash; undefined if the crash and all its calls were known
	 */
	addCrash({id, atMs, calls}: Crash): Crash['calls'] | undefined {
		this.dropOldCrashes();
		const known = this.crashesById.get(id);
		const entry: KnownCrash = known ?? {atMs, calls: new Map(), parts: new Set()};
		const newCalls = calls.filter(parts => !entry.calls.has(parts.join(' '))).slice(0, maxCallsPerCrash - entry.calls.size);
		if (known && newCalls.length === 0) {
			return undefined;
		}

		for (const parts of newCalls) {
			entry.calls.set(parts.join(' '), parts);
			for (const part of parts) {
				entry.parts.add(part);
			}
		}

		this.crashesById.set(id, entry);
		return newCalls;
	}

	/**
	 * Adds the end of a call that its upstream survived, unless the upstream crashes soon.
	 *
	 * @param instance - ID of the upstream
	 * @param parts - the shared prompt parts of the call
	 */
	addEndedCall(instance: string, parts: readonly PromptPartId[]): void {
		if (parts.length > 0) {
			this.pending.push({instance, parts, atMs: performance.now()});
			if (this.pending.length >= maxPendingSurvivals) {
				this.settle();
				this.pending.splice(0, this.pending.length - (maxPendingSurvivals / 2));
			}
		}
	}

	/** Discards the ended calls of an upstream that has crashed, since one of them may be the cause. */
	discardEndedCalls(instance: string): void {
		this.settle();
		this.pending = this.pending.filter(item => item.instance !== instance);
	}

	/** Adds a survival of a part, which another gateway told of. */
	addSurvival(part: PromptPartId, atMs: number): void {
		this.survivals.record(part, atMs);
	}

	/** Returns when a call with the part was last seen to leave its upstream alive; undefined if that is not known. */
	lastSurvivalMs(part: PromptPartId): number | undefined {
		this.settle();
		return this.survivals.get(part);
	}

	/** Turns the ended calls whose upstreams have survived them into survivals of their parts. */
	private settle(): void {
		const untilMs = performance.now() - survivalDelayMs;
		let settled = 0;
		while (settled < this.pending.length && this.pending[settled]!.atMs <= untilMs) {
			const {parts, atMs} = this.pending[settled]!;
			for (const part of parts) {
				this.survivals.record(part, atMs);
			}

			settled++;
		}

		this.pending.splice(0, settled);
	}

	private dropOldCrashes(): void {
		const fromMs = performance.now() - crashTtlMs;
		for (const [id, {atMs}] of this.crashesById) {
			if (atMs < fromMs || this.crashesById.size > maxCrashes) {
				this.crashesById.delete(id);
			}
		}
	}
}
