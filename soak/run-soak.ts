/** One run of the soak: starts a fleet, injects faults in series that overlap, and checks what callers and workers saw. */
import {rmSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {RandomSource} from '../src/runtime/random-source.ts';
import {Callers} from './soak-callers.ts';
import {checks} from './soak-checks.ts';
import {type CallKind, Evidence, nowMs} from './soak-evidence.ts';
import {type Fault, FaultContext, faults} from './soak-faults.ts';
import {Fleet, type FleetSize} from './soak-fleet.ts';

/** Time from the last fault until calls are served again, in milliseconds. */
const recoveryBoundMs = 12_000;

const recoveryCheckIntervalMs = 100;

/** Answers in a row by which a gateway counts as serving again. */
const servedInRow = 5;

/** Time after the last call in which a refused call might still run, in milliseconds. */
const afterLastCallMs = 700;

/** What a run is made of; the seed decides everything else. */
export type SoakOptions = {
	readonly seed: number;
	/** How long faults are injected, in milliseconds. */
	readonly faultsMs: number;
	readonly size: FleetSize;
	readonly callersPerGateway: number;
	/** The groups of faults, which are equally likely; `group.fault` is one fault of a group. */
	readonly groups: readonly string[];
	readonly folder: string;
};

/** What came of a run. */
export type SoakResult = {
	readonly violations: Readonly<Record<string, readonly string[]>>;
	readonly calls: Readonly<Record<string, number>>;
	readonly arrivals: number;
	readonly faults: Readonly<Record<string, number>>;
};

/** Runs the soak once. Settings, logs and, if a check failed, everything that was seen are left in the folder. */
export async function runSoak({seed, faultsMs, size, callersPerGateway, groups, folder}: SoakOptions): Promise<SoakResult> {
	rmSync(folder, {recursive: true, force: true});
	const evidence = new Evidence();
	const fleet = new Fleet(seed, folder, evidence);
	const random = new RandomSource(seed);
	const injected: Array<{readonly fault: string; readonly atMs: number}> = [];
	try {
		await fleet.start(size, groups.some(group => group.startsWith('links')));
		const callers = new Callers(seed, evidence);
		for (const gateway of fleet.gateways) {
			callers.start(gateway, callersPerGateway);
		}

		await injectFaults(new FaultContext(fleet, evidence, random), {
			groups, faultsMs, onFault(fault) {
				injected.push({fault, atMs: nowMs()});
			},
		});
		const unserved = await waitUntilServed(fleet, evidence);
		await callers.stop();
		await sleep(afterLastCallMs);
		const violations = {...findViolations(evidence), ...(unserved.length > 0 ? {[`calls are served again within ${recoveryBoundMs} ms`]: unserved} : {})};
		if (Object.keys(violations).length > 0) {
			writeFileSync(path.join(folder, 'evidence.json'), JSON.stringify({
				violations, injected, ...evidence, published: [...evidence.published], leavingAtMs: [...evidence.leavingAtMs],
			}));
		}

		return {
			violations,
			calls: count(evidence.calls.map(({status, isComplete}) => (status === 0 ? 'no answer' : `${status}${isComplete ? '' : ' cut'}`))),
			arrivals: evidence.arrivals.length,
			faults: count(injected.map(({fault}) => fault)),
		};
	} finally {
		await fleet.stop();
	}
}

type Injection = {readonly groups: readonly string[]; readonly faultsMs: number; readonly onFault: (name: string) => void};

/** Injects series of one fault each, which overlap, and waits until the last one is over. */
async function injectFaults(context: FaultContext, {groups, faultsMs, onFault}: Injection): Promise<void> {
	const endMs = nowMs() + faultsMs;
	const running: Array<Promise<void>> = [];
	const {random} = context;
	while (nowMs() < endMs) {
		const [group, only] = groups[random.nextInt(groups.length)]!.split('.') as [string, string | undefined];
		const named = Object.entries(faults[group]!).filter(([name]) => only === undefined || name === only);
		const [name, fault] = named[random.nextInt(named.length)]!;
		const length = 1 + random.nextInt(3);
		for (let at = 0; at < length; at++) {
			onFault(`${group}.${name}`);
			running.push(runFault(context, `${group}.${name}`, fault));
			await sleep(context.between(50, 700));
		}

		await sleep(context.between(50, 700));
	}

	await Promise.all(running);
}

async function runFault(context: FaultContext, name: string, fault: Fault): Promise<void> {
	try {
		await fault(context);
	} catch (err) {
		context.evidence.processFaults.push(`${name}: ${(err as Error).message}`);
	}
}

/** Waits until each gateway has served calls of each kind in a row; returns the ones that did not in time. */
async function waitUntilServed({gateways}: Fleet, {calls}: Evidence): Promise<string[]> {
	const fromMs = nowMs();
	const kinds: readonly CallKind[] = ['stream', 'once', 'repeatable'];
	const wanted = gateways.flatMap(({name}) => kinds.map(kind => ({name, kind})));
	let unserved = wanted;
	while (unserved.length > 0 && nowMs() < fromMs + recoveryBoundMs) {
		await sleep(recoveryCheckIntervalMs);
		unserved = wanted.filter(({name, kind}) => {
			const last = calls.filter(call => call.gateway === name && call.kind === kind && call.sentAtMs > fromMs && call.endedAtMs < nowMs()).slice(-servedInRow);
			return last.length < servedInRow || last.some(({status, isComplete}) => status !== 200 || !isComplete);
		});
	}

	return unserved.map(({name, kind}) => `${name} does not serve ${kind} calls`);
}

function findViolations(evidence: Evidence): Record<string, string[]> {
	const found = Object.entries(checks).map(([name, check]): [string, string[]] => [name, check(evidence)]);
	return Object.fromEntries(found.filter(([, violations]) => violations.length > 0));
}

function count(names: readonly string[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const name of names) {
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
}
