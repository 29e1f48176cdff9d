/**
 * What a gateway knows of crashes and of prompt parts that upstreams processed without one.
 *
 * All parts of the broken calls are kept, wherever they stand in their prompts, since any of them may be the cause. The size is bounded by
 * the total number of parts: the oldest crashes are dropped first.
 */
import type {PromptPartId} from '../ids/prompt-part-id.ts';
import type {ListeningClock} from '../runtime/pause-detector.ts';
import {type BrokenCall, readBrokenCall} from './broken-call.ts';
import type {Crash} from './crash-detector.ts';
import {RecentTimes} from './recent-times.ts';

/** Number of crashes that are kept, over all gateways. */
const maxCrashes = 64;

/** Number of calls that are kept for one crash, over all gateways. */
const maxCallsPerCrash = 64;

/** Number of parts of all calls that are kept for one crash, and for all crashes. */
const maxParts = {perCrash: 65_536, total: 262_144};

/** How long a crash counts, in milliseconds. */
const crashTtlMs = 60_000;

/** Number of parts that were in no crash and whose last survival is kept. */
const maxSurvivals = 8192;

/** How long after its end a call proves that its upstream survived it, in milliseconds: the crash of an upstream may follow the last byte. */
export const survivalDelayMs = 200;

/** Number of ended calls, and of their parts, that wait for {@link survivalDelayMs}. */
const maxPending = {calls: 512, parts: 16_384};

/** A crash as all gateways together saw it. */
export type KnownCrash = {readonly atMs: number; readonly calls: Map<string, readonly PromptPartId[]>; readonly parts: Set<PromptPartId>};

/** A crash with the number of parts of all its calls. */
type CrashEntry = KnownCrash & {partCount: number};

type PendingSurvival = {readonly instance: string; readonly parts: readonly PromptPartId[]; readonly atMs: number; readonly atListeningMs: number};

/** A part of a broken call: the number of crashes it was in, and when it was last survived. */
type Suspect = {crashes: number; survivedAtMs: number | undefined};

/** Keeps crashes and survivals. Times are milliseconds of the monotonic clock of this process. */
export class CrashEvidence {
	private readonly crashesById = new Map<string, CrashEntry>();
	/** The parts of the broken calls. Their survivals are kept as long as their crashes, however many other parts are survived meanwhile. */
	private readonly suspects = new Map<PromptPartId, Suspect>();
	private readonly survivals = new RecentTimes<PromptPartId>(maxSurvivals);
	private pending: PendingSurvival[] = [];
	private pendingParts = 0;
	private partCount = 0;

	/** @param clock - tells for how long this process could hear that an upstream has crashed */
	constructor(private readonly clock: ListeningClock) {}

	/** The crashes that count now. */
	get crashes(): KnownCrash[] {
		return [...this.crashesById.values()];
	}

	/**
	 * Returns the crashes that count now, with only those parts that were in so many of them.
	 *
	 * @param kept - parts that are kept in any case
	 */
	crashesOfRepeatedParts(minCrashes: number, kept: ReadonlySet<PromptPartId>): KnownCrash[] {
		const isRepeated = (part: PromptPartId) => this.suspects.get(part)!.crashes >= minCrashes || kept.has(part);
		return this.crashes.map(({atMs, calls, parts}) => ({
			atMs,
			calls: new Map([...calls].map(([key, list]) => [key, list.filter(part => isRepeated(part))])),
			parts: new Set([...parts].filter(part => isRepeated(part))),
		}));
	}

	/** Returns the times of the crashes that broke off calls with a part, in milliseconds. */
	crashTimes(part: PromptPartId): number[] {
		return this.suspects.has(part) ? this.crashes.filter(({parts}) => parts.has(part)).map(({atMs}) => atMs) : [];
	}

	/**
	 * Adds a crash, or calls to a known one.
	 *
	 * @returns the calls, or the parts of calls, that were not known for this crash; undefined if the crash and all of them were known
	 */
	addCrash({id, atMs, calls}: Crash): BrokenCall[] | undefined {
		this.dropOldCrashes();
		const known = this.crashesById.get(id);
		const entry: CrashEntry = known ?? {
			atMs, calls: new Map(), parts: new Set(), partCount: 0,
		};
		this.crashesById.set(id, entry);
		const news = calls.map(list => this.addCall(entry, readBrokenCall(list))).filter(({parts}) => parts.length > 0);
		return known && news.length === 0 ? undefined : news;
	}

	/**
	 * Adds the end of a call that its upstream survived, unless the upstream crashes soon.
	 *
	 * @param instance - ID of the upstream
	 * @param parts - the shared prompt parts of the call
	 */
	addEndedCall(instance: string, parts: readonly PromptPartId[]): void {
		if (parts.length === 0) {
			return;
		}

		this.pending.push({
			instance, parts, atMs: performance.now(), atListeningMs: this.clock.listeningMs,
		});
		this.pendingParts += parts.length;
		if (this.pending.length >= maxPending.calls || this.pendingParts > maxPending.parts) {
			this.settle();
			this.dropPending();
		}
	}

	/** Discards the ended calls of an upstream that has crashed, since one of them may be the cause. */
	discardEndedCalls(instance: string): void {
		this.settle();
		this.pending = this.pending.filter(item => item.instance !== instance);
		this.pendingParts = countParts(this.pending);
	}

	/** Adds a survival of a part, which another gateway told of. */
	addSurvival(part: PromptPartId, atMs: number): void {
		const suspect = this.suspects.get(part);
		if (suspect) {
			suspect.survivedAtMs = Math.max(suspect.survivedAtMs ?? atMs, atMs);
		} else {
			this.survivals.record(part, atMs);
		}
	}

	/** Returns when a call with the part was last seen to leave its upstream alive, by the last {@link settle}; undefined if that is not known. */
	lastSurvivalMs(part: PromptPartId): number | undefined {
		const suspect = this.suspects.get(part);
		return suspect ? suspect.survivedAtMs : this.survivals.get(part);
	}

	/** Turns the ended calls whose upstreams have survived them into survivals of their parts. */
	settle(): void {
		const untilMs = this.clock.listeningMs - survivalDelayMs;
		let settled = 0;
		while (settled < this.pending.length && this.pending[settled]!.atListeningMs <= untilMs) {
			const {parts, atMs} = this.pending[settled]!;
			for (const part of parts) {
				this.addSurvival(part, atMs);
			}

			settled++;
		}

		this.pendingParts -= countParts(this.pending.splice(0, settled));
	}

	/** Adds a call to a crash and returns the parts that were not known. */
	private addCall(entry: CrashEntry, {key, parts}: BrokenCall): BrokenCall {
		const known = entry.calls.get(key);
		const knownParts = new Set(known);
		const newParts = parts.filter(part => !knownParts.has(part));
		const hasRoom = (known !== undefined || entry.calls.size < maxCallsPerCrash) && entry.partCount + newParts.length <= maxParts.perCrash;
		if (newParts.length === 0 || !hasRoom) {
			return {key, parts: []};
		}

		entry.calls.set(key, known ? [...known, ...newParts] : newParts);
		entry.partCount += newParts.length;
		this.partCount += newParts.length;
		for (const part of newParts) {
			if (!entry.parts.has(part)) {
				entry.parts.add(part);
				this.addSuspect(part);
			}
		}

		return {key, parts: newParts};
	}

	private addSuspect(part: PromptPartId): void {
		const suspect = this.suspects.get(part);
		if (suspect) {
			suspect.crashes++;
		} else {
			this.suspects.set(part, {crashes: 1, survivedAtMs: this.survivals.get(part)});
		}
	}

	private removeSuspect(part: PromptPartId): void {
		const suspect = this.suspects.get(part)!;
		suspect.crashes--;
		if (suspect.crashes === 0) {
			this.suspects.delete(part);
			if (suspect.survivedAtMs !== undefined) {
				this.survivals.record(part, suspect.survivedAtMs);
			}
		}
	}

	/** Drops the oldest half of the ended calls, or more if those that are left have too many parts. */
	private dropPending(): void {
		const dropped = this.pending.splice(0, Math.max(0, this.pending.length - (maxPending.calls / 2)));
		this.pendingParts -= countParts(dropped);
		while (this.pendingParts > maxPending.parts / 2) {
			this.pendingParts -= this.pending.shift()!.parts.length;
		}
	}

	private dropOldCrashes(): void {
		const fromMs = performance.now() - crashTtlMs;
		for (const [id, {atMs, parts, partCount}] of this.crashesById) {
			if (atMs < fromMs || this.crashesById.size > maxCrashes || this.partCount > maxParts.total) {
				this.crashesById.delete(id);
				this.partCount -= partCount;
				for (const part of parts) {
					this.removeSuspect(part);
				}
			}
		}
	}
}

function countParts(calls: readonly PendingSurvival[]): number {
	return calls.reduce((sum, {parts}) => sum + parts.length, 0);
}
