/** What has to hold in a run, each as a function from what was seen to the violations. */
import type {Arrival} from '../standins/fault-worker.ts';
import {callTimeoutMs} from '../standins/store-entries.ts';
import {
	type CallRecord, configurationOf, type Disturbance, type Evidence, unendedError,
} from './soak-evidence.ts';

/** Time within which a leaving worker gets no further calls, in milliseconds. */
const leavingBoundMs = 3000;

/** Time within which a configuration is in force at each gateway, in milliseconds: the longest watch and its timeout, with one second of room. */
const configurationBoundMs = 7500;

/** The limit of repeats that the gateways are given, and its window. */
const retryRatio = 0.2;
const retrySlack = 50;
const retryWindowMs = 10_000;

/** Accuracy of times between processes, in milliseconds. */
const clockMs = 50;

/** Statuses that say that no worker ran the call. */
const notRunStatuses = new Set([503, 429, 408]);

type Check = (evidence: Evidence) => string[];

/** The checks by what they guard. */
export const checks: Readonly<Record<string, Check>> = {
	'answers are whole, of one version and of the call': ({calls}) => calls
		.filter(({wrong}) => wrong !== undefined)
		.map(call => `${describe(call)} got ${call.wrong}`),

	'no call is left without an end': ({calls}) => calls
		.filter(({error}) => error === unendedError)
		.map(call => `${describe(call)} got neither an answer nor a closed connection`),

	'a refused call never runs'(evidence) {
		return findRuns(evidence).flatMap(({id, instance}) => {
			const call = evidence.callOf(id);
			return call && notRunStatuses.has(call.status) ? [`${describe(call)} ran at ${instance}`] : [];
		});
	},

	'a call that may not be repeated runs once'(evidence) {
		const runs = groupById(findRuns(evidence));
		return evidence.calls.filter(({id, kind}) => kind === 'once' && (runs.get(id)?.length ?? 0) > 1).map(call => `${describe(call)} ran ${runs.get(call.id)!.length} times`);
	},

	'a call that a worker began is answered whole'(evidence) {
		const runs = groupById(findRuns(evidence));
		return evidence.calls
			.filter(call => runs.has(call.id) && (call.status !== 200 || !call.isComplete) && !isExcused(evidence, call, runs.get(call.id)!))
			.map(call => `${describe(call)} ran at ${runs.get(call.id)!.map(({instance}) => instance).join(', ')}`);
	},

	'a leaving worker gets no calls': evidence => evidence.arrivals.flatMap(({id, instance, atMs}) => {
		const call = evidence.callOf(id);
		const leftAtMs = evidence.leavingAtMs.get(instance);
		if (!call || leftAtMs === undefined) {
			return [];
		}

		const knownFromMs = Math.max(leftAtMs, undisturbedSince(evidence, ['store', call.gateway, instance], atMs));
		return atMs > knownFromMs + leavingBoundMs ? [`${describe(call)} came to ${instance} ${Math.round(atMs - leftAtMs)} ms after it said that it leaves`] : [];
	}),

	'a configuration is in force after its bound': evidence => evidence.arrivals.flatMap(arrival => {
		const call = evidence.callOf(arrival.id);
		if (!call || undisturbedSince(evidence, ['store', call.gateway], call.sentAtMs) > call.sentAtMs - configurationBoundMs) {
			return [];
		}

		const due = [...evidence.published].filter(([, atMs]) => atMs < call.sentAtMs - configurationBoundMs).map(([version]) => version);
		return configurationOf(arrival) < Math.max(...due) ? [`${describe(call)} used configuration ${arrival.holder}, ${Math.max(...due)} was due`] : [];
	}),

	'a configuration never goes back': evidence => evidence.arrivals.flatMap(arrival => {
		const call = evidence.callOf(arrival.id);
		return call && configurationOf(arrival) < call.floor ? [`${describe(call)} used configuration ${arrival.holder} after ${call.floor}`] : [];
	}),

	'repeats stay within the budget': findExcessRepeats,

	'processes end and run as they should': ({processFaults}) => [...processFaults],
};

function findRuns({arrivals}: Evidence): Arrival[] {
	return arrivals.filter(({ran}) => ran);
}

function describe({id, gateway, run, kind, status, error, sentAtMs, endedAtMs}: CallRecord): string {
	return `${kind} call ${id} of ${gateway} (run ${run}), sent at ${Math.round(sentAtMs)}, status ${status}${error ? `, ${error}` : ''}, after ${Math.round(endedAtMs - sentAtMs)} ms,`;
}

function groupById(arrivals: readonly Arrival[]): Map<string, Arrival[]> {
	const groups = new Map<string, Arrival[]>();
	for (const arrival of arrivals) {
		groups.set(arrival.id, [...(groups.get(arrival.id) ?? []), arrival]);
	}

	return groups;
}

/** Whether the time of a call was up, or its gateway or a worker that ran it was killed, or its connection was cut. */
function isExcused({disturbances}: Evidence, call: CallRecord, runs: readonly Arrival[]): boolean {
	const isTimeUp = call.endedAtMs - call.sentAtMs >= callTimeoutMs - clockMs;
	const subjects = new Set([call.gateway, ...runs.map(({instance}) => instance)]);
	const isCut = ({subject, what, fromMs, untilMs}: Disturbance) => subjects.has(subject) && cuts.has(what) && fromMs < call.endedAtMs + clockMs && untilMs > call.sentAtMs - clockMs;
	return isTimeUp || disturbances.some(disturbance => isCut(disturbance));
}

/** Disturbances that break calls off. A pause, a planned stop, a delay and a silence that ends do not. */
const cuts = new Set(['kill', 'reset']);

/** Returns since when none of the subjects has been disturbed, seen from a moment. */
function undisturbedSince({disturbances}: Evidence, subjects: readonly string[], atMs: number): number {
	const ends = disturbances.filter(({subject, fromMs}) => subjects.includes(subject) && fromMs <= atMs).map(({untilMs}) => untilMs);
	return Math.max(0, ...ends);
}

/** Compares the repeats in each window with the limit. A gateway that starts knows no others and may use all of the fixed part once more. */
function findExcessRepeats(evidence: Evidence): string[] {
	const {arrivals, disturbances} = evidence;
	const serviceOf = (id: string) => (evidence.callOf(id)?.kind === 'stream' ? 'models' : 'desk');
	const excess: string[] = [];
	for (const service of ['models', 'desk']) {
		const seen = new Set<string>();
		const times: {first: number[]; repeats: number[]} = {first: [], repeats: []};
		for (const {id, atMs} of arrivals) {
			if (serviceOf(id) === service) {
				(seen.has(id) ? times.repeats : times.first).push(atMs);
				seen.add(id);
			}
		}

		for (const endMs of times.repeats) {
			const count = (list: readonly number[]) => list.filter(atMs => atMs > endMs - retryWindowMs && atMs <= endMs).length;
			const starts = disturbances.filter(({what, untilMs}) => what === 'start' && untilMs > endMs - retryWindowMs && untilMs <= endMs).length;
			const allowed = (retryRatio * count(times.first)) + (retrySlack * (1 + starts));
			if (count(times.repeats) > allowed) {
				excess.push(`${count(times.repeats)} repeats to ${service} in ${retryWindowMs} ms, ${allowed} allowed`);
				break;
			}
		}
	}

	return excess;
}
