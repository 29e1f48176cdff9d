/**
 * Finds the prompt parts that explain crashes of upstreams. No I/O, no clock.
 *
 * A crash breaks off all calls of its upstream, and one of them may be the cause. A part is blamed when it was in so many crashes in a row,
 * without one call that its upstream survived, that chance does not explain it. Crashes that a blamed part explains are not held against
 * the other parts of the same calls.
 */
import type {PromptPartId} from '../ids/prompt-part-id.ts';
import type {KnownCrash} from './crash-evidence.ts';

/** Crashes within this time have one cause outside of the upstreams, such as a failed rack, and count once, in milliseconds. */
const sameCauseMs = 50;

/** Crashes since the last survival after which a part is blamed: if no call with it is known to have been survived, and otherwise. */
const crashesToBlame = {unproven: 3, proven: 6};

/** Parts that were in fewer crashes are never blamed. */
export const minCrashesToBlame = crashesToBlame.unproven;

/** What {@link findCrashingParts} decides from. */
export type CrashFacts = {
	readonly crashes: readonly KnownCrash[];
	/** Returns when a call with the part last left its upstream alive; undefined if that is not known. */
	readonly lastSurvivalMs: (part: PromptPartId) => number | undefined;
	/** Parts that are blamed already. */
	readonly blamed: ReadonlySet<PromptPartId>;
};

/** A part that explains crashes. */
export type Blame = {
	readonly part: PromptPartId;
	/** Parts that explain them equally well, since each broken call with `part` had them too. Empty if there are none. */
	readonly rivals: readonly PromptPartId[];
};

type Incident = {readonly atMs: number; readonly crashes: KnownCrash[]};
type Suspect = {readonly part: PromptPartId; readonly calls: number; readonly excess: number};

/** Returns the parts to blame, in addition to those that are blamed already. */
export function findCrashingParts({crashes, lastSurvivalMs, blamed}: CrashFacts): Blame[] {
	const found: Blame[] = [];
	let unexplained = groupCrashes(crashes.filter(({parts}) => ![...blamed].some(part => parts.has(part))));
	for (;;) {
		const suspects = findSuspects(unexplained, lastSurvivalMs);
		const [suspect] = suspects;
		if (!suspect) {
			return found;
		}

		const {part, excess} = suspect;
		const explained = unexplained.filter(incident => includesPart(incident, part));
		const equals = new Set(suspects.filter(other => other.excess === excess && other.part !== part).map(other => other.part));
		found.push({part, rivals: findCompanions(part, explained.flatMap(({crashes}) => crashes.flatMap(({calls}) => [...calls.values()]))).filter(other => equals.has(other))});
		unexplained = unexplained.filter(incident => !includesPart(incident, part));
	}
}

/**
 * Returns the parts that all calls with a part have in common, without that part.
 *
 * @param part - the part that the calls must have
 */
export function findCompanions(part: PromptPartId, calls: ReadonlyArray<readonly PromptPartId[]>): PromptPartId[] {
	const [first = new Set<PromptPartId>(), ...others] = calls.filter(parts => parts.includes(part)).map(parts => new Set(parts));
	return [...first].filter(other => other !== part && others.every(parts => parts.has(other)));
}

/**
 * Returns the number of crashes later than a time; crashes at the same time count once.
 *
 * @param timesMs - the times of the crashes
 */
export function countCrashesAfter(timesMs: readonly number[], afterMs: number): number {
	const times = timesMs.filter(atMs => atMs > afterMs).toSorted((a, b) => a - b);
	let count = 0;
	let firstMs = Number.NEGATIVE_INFINITY;
	for (const atMs of times) {
		if (atMs - firstMs > sameCauseMs) {
			count++;
			firstMs = atMs;
		}
	}

	return count;
}

function groupCrashes(crashes: readonly KnownCrash[]): Incident[] {
	const incidents: Incident[] = [];
	for (const crash of crashes.toSorted((a, b) => a.atMs - b.atMs)) {
		const last = incidents.at(-1);
		if (last && crash.atMs - last.atMs <= sameCauseMs) {
			last.crashes.push(crash);
		} else {
			incidents.push({atMs: crash.atMs, crashes: [crash]});
		}
	}

	return incidents;
}

function includesPart({crashes}: Incident, part: PromptPartId): boolean {
	return crashes.some(({parts}) => parts.has(part));
}

/** Returns the parts with enough crashes since their last survival, the most likely cause first: of two equals the one that fewer calls have. */
function findSuspects(incidents: readonly Incident[], lastSurvivalMs: CrashFacts['lastSurvivalMs']): Suspect[] {
	const counts = new Map<PromptPartId, {incidents: number; calls: number}>();
	for (const {atMs, crashes} of incidents) {
		for (const [part, calls] of countCallsByPart(crashes)) {
			if (atMs > (lastSurvivalMs(part) ?? Number.NEGATIVE_INFINITY)) {
				const count = counts.get(part) ?? {incidents: 0, calls: 0};
				counts.set(part, {incidents: count.incidents + 1, calls: count.calls + calls});
			}
		}
	}

	return [...counts]
		.map(([part, count]) => ({
			part, calls: count.calls, excess: count.incidents - (lastSurvivalMs(part) === undefined ? crashesToBlame.unproven : crashesToBlame.proven),
		}))
		.filter(({excess}) => excess >= 0)
		.toSorted((a, b) => b.excess - a.excess || a.calls - b.calls || (a.part < b.part ? -1 : 1));
}

/** Returns for each part in how many different broken calls it was. */
function countCallsByPart(crashes: readonly KnownCrash[]): ReadonlyMap<PromptPartId, number> {
	const calls = new Map(crashes.flatMap(crash => [...crash.calls]));
	const counts = new Map<PromptPartId, number>();
	for (const parts of calls.values()) {
		for (const part of new Set(parts)) {
			counts.set(part, (counts.get(part) ?? 0) + 1);
		}
	}

	return counts;
}
