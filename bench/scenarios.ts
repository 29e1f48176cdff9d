/** Scenarios of the routing benchmark and the summary of their results. */
import {
	type CallResult, type Policy, RoutingModel, type Scenario,
} from './routing-model.ts';

/** The policies compared in each scenario. */
export const policies: readonly Policy[] = ['ours', 'reports only', 'random', 'round robin'];

/** Duration of the warm-up, in milliseconds; calls that arrive earlier are not counted. */
const warmUpMs = 3000;

const seeds = [1, 2, 3];

const baseScenario: Scenario = {
	policy: 'ours', seed: 1, load: 0.9, entries: 4, agents: 24, capacity: 8, meanServiceMs: 200, deadlineMs: 2000, seconds: 20,
	reportIntervalMs: 3000, reportDelayMs: 0, slowFactor: 1, workspaces: [{name: 'desk', share: 1, weight: 1}],
};

/** Two workspaces send 80 % of all calls and eight workspaces send the rest; all weights are equal. */
const unequalWorkspaces = ['large-1', 'large-2', ...Array.from({length: 8}, (item, index) => `small-${index}`)]
	.map(name => ({name, share: name.startsWith('large') ? 0.4 : 0.025, weight: 1}));

/** The scenarios: titles and overrides of the base scenario. */
export const scenarios: ReadonlyArray<readonly [title: string, change: Partial<Scenario>]> = [
	...[0.5, 0.9, 1.2, 2].map((load): [string, Partial<Scenario>] => [`load ${load}`, {load}]),
	['one upstream 10 × slower, load 0.5', {load: 0.5, slowFactor: 10}],
	['one upstream 10 × slower, load 0.9', {slowFactor: 10}],
	['reports 2 s late, load 0.9', {reportDelayMs: 2000}],
	['reports 2 s late, load 2', {load: 2, reportDelayMs: 2000}],
	['1 entry, load 2', {load: 2, entries: 1}],
	['16 entries, load 0.9', {entries: 16}],
	['16 entries, load 2', {load: 2, entries: 16}],
];

/** Overrides for a scenario with few large and many small workspaces. */
export const workspaceScenario: Partial<Scenario> = {workspaces: unequalWorkspaces};

/** Offered loads on the x axis of the plots. */
export const plottedLoads = [0.3, 0.5, 0.7, 0.9, 1, 1.2, 1.5, 2];

/** The summarized results of one policy in one scenario. */
export type Summary = {
	readonly p50Ms: number; readonly p99Ms: number;
	/** Responses within the deadline as a multiple of the capacity. */
	readonly goodput: number;
	/** Responses within the deadline as a share of the calls. */
	readonly answered: number;
	readonly shed: number; readonly late: number;
	/** Number of retries per call. */
	readonly retried: number;
};

/**
 * Simulates a scenario with several seeds and summarizes the results.
 *
 * @param overrides - parameters that differ from the base scenario
 * @param isCounted - returns whether the summary includes a call
 */
export function runScenario(policy: Policy, overrides: Partial<Scenario>, isCounted: (call: CallResult) => boolean = () => true): Summary {
	const scenario = {...baseScenario, ...overrides, policy};
	const runs = seeds.map(seed => new RoutingModel({...scenario, seed}).run());
	const calls = runs.flatMap(({results}) => results.filter(call => call.arrivedAtMs >= warmUpMs && isCounted(call)));
	const good = calls.filter(({outcome}) => outcome === 'good').map(({latencyMs}) => latencyMs).sort((a, b) => a - b);
	const capacityCalls = scenario.agents * scenario.capacity / scenario.meanServiceMs * ((scenario.seconds * 1000) - warmUpMs) * seeds.length;
	const shareOf = (outcome: CallResult['outcome']): number => calls.filter(call => call.outcome === outcome).length / calls.length;
	return {
		p50Ms: good[Math.floor(good.length * 0.5)] ?? 0, p99Ms: good[Math.floor(good.length * 0.99)] ?? 0, goodput: good.length / capacityCalls,
		answered: shareOf('good'), shed: shareOf('shed'), late: shareOf('late'),
		retried: runs.reduce((sum, {retries}) => sum + retries, 0) / runs.reduce((sum, {results}) => sum + results.length, 0),
	};
}
