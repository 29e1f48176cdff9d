/** What the routing benchmark runs, and how its results are summed up. */
import {
	type CallResult, type Policy, RoutingModel, type Scenario,
} from './routing-model.ts';

/** The policies that are compared in each scenario. */
export const policies: readonly Policy[] = ['ours', 'reports only', 'random', 'round robin'];

/** Results of calls that arrived before this time are left out, in milliseconds. */
const warmUpMs = 3000;

const seeds = [1, 2, 3];

const base: Scenario = {
	policy: 'ours', seed: 1, load: 0.9, entries: 4, agents: 24, capacity: 8, meanServiceMs: 200, deadlineMs: 2000, seconds: 20,
	reportEveryMs: 3000, reportLagMs: 0, slowFactor: 1, workspaces: [{name: 'desk', part: 1, weight: 1}],
};

/** Two workspaces offer four fifths of all calls, eight share the rest; all weights are equal. */
const fewLarge = ['large-1', 'large-2', ...Array.from({length: 8}, (item, index) => `small-${index}`)]
	.map(name => ({name, part: name.startsWith('large') ? 0.4 : 0.025, weight: 1}));

/** The scenarios by title. */
export const scenarios: ReadonlyArray<readonly [title: string, change: Partial<Scenario>]> = [
	...[0.5, 0.9, 1.2, 2].map((load): [string, Partial<Scenario>] => [`load ${load}`, {load}]),
	['one upstream 10 × slower, load 0.5', {load: 0.5, slowFactor: 10}],
	['one upstream 10 × slower, load 0.9', {slowFactor: 10}],
	['reports 2 s late, load 0.9', {reportLagMs: 2000}],
	['reports 2 s late, load 2', {load: 2, reportLagMs: 2000}],
	['1 entry, load 2', {load: 2, entries: 1}],
	['16 entries, load 0.9', {entries: 16}],
	['16 entries, load 2', {load: 2, entries: 16}],
];

/** The scenario with few large and many small workspaces. */
export const workspaceScenario: Partial<Scenario> = {workspaces: fewLarge};

/** Loads of the plot. */
export const plotLoads = [0.3, 0.5, 0.7, 0.9, 1, 1.2, 1.5, 2];

/** Figures of one policy in one scenario. */
export type Summary = {
	readonly p50Ms: number; readonly p99Ms: number;
	/** Answers within the deadline as a multiple of the capacity. */
	readonly goodput: number;
	/** Answers within the deadline as a share of the calls. */
	readonly answered: number;
	readonly shed: number; readonly late: number; readonly retried: number;
};

/**
 * Runs a scenario with several seeds and sums the results up.
 *
 * @param policy - the policy
 * @param change - what differs from the base scenario
 * @param isCounted - which calls count
 */
export function runScenario(policy: Policy, change: Partial<Scenario>, isCounted: (call: CallResult) => boolean = () => true): Summary {
	const scenario = {...base, ...change, policy};
	const runs = seeds.map(seed => new RoutingModel({...scenario, seed}).run());
	const calls = runs.flatMap(({results}) => results.filter(call => call.arrivedAtMs >= warmUpMs && isCounted(call)));
	const good = calls.filter(({outcome}) => outcome === 'good').map(({latencyMs}) => latencyMs).sort((a, b) => a - b);
	const capacityCalls = scenario.agents * scenario.capacity / scenario.meanServiceMs * ((scenario.seconds * 1000) - warmUpMs) * seeds.length;
	const part = (outcome: CallResult['outcome']): number => calls.filter(call => call.outcome === outcome).length / calls.length;
	return {
		p50Ms: good[Math.floor(good.length * 0.5)] ?? 0, p99Ms: good[Math.floor(good.length * 0.99)] ?? 0, goodput: good.length / capacityCalls,
		answered: part('good'), shed: part('shed'), late: part('late'),
		retried: runs.reduce((sum, {retries}) => sum + retries, 0) / runs.reduce((sum, {results}) => sum + results.length, 0),
	};
}
