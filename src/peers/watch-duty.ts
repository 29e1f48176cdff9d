/**
 * Decides which processes of a zone read and watch the source of the directory; the others get the changes from them.
 *
 * The calls of all processes to the source then grow with the zones and the changes, not with the fleet.
 */
import {rankMembers} from '../runtime/rendezvous.ts';
import type {PeerInfo} from '../messages/peers-exchange.ts';

/** Number of processes that watch in a fleet of few zones; the others cover a failure of one until its zone has replaced it. */
const minWatchers = 4;

/** How long a process counts as a working watcher after its source last responded to it, in milliseconds; longer than a watch without changes waits. */
export const coverageTtlMs = 9000;

/**
 * How long there have to be too few watchers before others take over, in milliseconds, and how much later each next one by rank does: by then
 * it should have heard of the one before.
 */
const takeover = {afterMs: 1500, stepMs: 1000};

/**
 * Ranks the VMs of a zone for the duty to watch: gateways first, since stagers need a small part of the directory only.
 *
 * @param zone - the zone
 * @param processes - known processes of any zone
 */
export function rankForWatch(zone: string, processes: readonly PeerInfo[]): string[] {
	const vmsOf = (wanted: PeerInfo['role']) => rankMembers(`watch/${zone}`, processes.filter(peer => peer.zone === zone && peer.role === wanted).map(({vm}) => vm));
	return [...vmsOf('gateway'), ...vmsOf('stager')];
}

/**
 * Returns how many processes of a zone watch.
 *
 * @param zoneCount - number of zones that the processes are in
 */
export function watchersPerZone(zoneCount: number): number {
	return Math.ceil(minWatchers / zoneCount);
}

/** Whether a process watches the source and gets answers, gets none although it is its duty, or leaves the watch to others. */
export type OwnWatch = 'working' | 'failing' | 'none';

/** Input of {@link shouldWatch}. */
export type WatchInput = {
	/** Number of processes of the zone that should watch. */
	readonly wanted: number;
	/** Rank of this process in its zone, from 0. */
	readonly position: number;
	/** Number of processes of higher rank that are known to watch successfully. */
	readonly workingAbove: number;
	readonly isWatching: boolean;
	/** How long there have been too few of them, in milliseconds. */
	readonly shortForMs: number;
	/** Whether no other process has lately confirmed the directory of this one, so that nobody may watch for it. */
	readonly isCutOff: boolean;
};

/** Decides whether a process reads and watches the source. */
export function shouldWatch({
	wanted, position, workingAbove, isWatching, shortForMs, isCutOff,
}: WatchInput): boolean {
	if (isCutOff) {
		return true;
	}

	if (workingAbove >= wanted) {
		return false;
	}

	return isWatching || position < wanted || shortForMs >= takeover.afterMs + (takeover.stepMs * (position - wanted));
}

/** When the source last responded to each process that watches, as far as this process has heard. */
export class WatchCoverage {
	private readonly respondedAtMs = new Map<string, number>();

	/**
	 * Records that the source responded to a process; an older report than the last one has no effect.
	 *
	 * @param ageMs - how long ago, in milliseconds
	 */
	record(vm: string, ageMs: number): void {
		const atMs = performance.now() - ageMs;
		if (ageMs < coverageTtlMs && atMs > (this.respondedAtMs.get(vm) ?? Number.NEGATIVE_INFINITY)) {
			this.respondedAtMs.set(vm, atMs);
		}
	}

	/** Forgets a process that no longer watches or was lost. */
	remove(vm: string): void {
		this.respondedAtMs.delete(vm);
	}

	/** Returns the processes that are known to watch successfully, and how long ago the source last responded to each, in milliseconds. */
	get ages(): Map<string, number> {
		const nowMs = performance.now();
		for (const [vm, atMs] of this.respondedAtMs) {
			if (nowMs - atMs >= coverageTtlMs) {
				this.respondedAtMs.delete(vm);
			}
		}

		return new Map([...this.respondedAtMs].map(([vm, atMs]) => [vm, nowMs - atMs]));
	}
}
