/**
 * Compares routing policies and writes tables to docs/ROUTING.md and plots to docs/routing.svg.
 *
 * Run with `node build/bench.mjs routing` at the root. With `--processes` it also measures with real processes.
 */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {initRendezvousHash} from '../src/runtime/rendezvous.ts';
import {measureAdmission, measureChoice} from './decision-cost.ts';
import {measureWithProcesses} from './routing-processes.ts';
import {
	plottedLoads, policies, runScenario, scenarios, type Summary, workspaceScenario,
} from './scenarios.ts';
import {writeDocPart} from './support/doc-part.ts';
import {drawPlots, type PlotLine} from './svg-plot.ts';

const docsFolder = path.resolve('docs');
const colors = ['#1b7837', '#762a83', '#d95f02', '#2c7fb8'];
/** Request rate for which the table shows the decision cost as a share of a core. */
const requestsPerSecond = 46;

const tableHeader = '| scenario | policy | p50 ms | p99 ms | goodput / capacity | answered in time | shed | late | retries per call |\n| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |';

function percent(share: number): string {
	return `${(share * 100).toFixed(1)} %`;
}

function formatRow(title: string, policy: string, summary: Summary): string {
	const cells = [
		title,
		policy,
		summary.p50Ms.toFixed(0),
		summary.p99Ms.toFixed(0),
		summary.goodput.toFixed(3),
		percent(summary.answered),
		percent(summary.shed),
		percent(summary.late),
		percent(summary.retried),
	];
	return `| ${cells.join(' | ')} |`;
}

function compareScenarios(): string {
	const rows = scenarios.flatMap(([title, overrides]) => policies.map(policy => formatRow(title, policy, runScenario(policy, overrides))));
	return [tableHeader, ...rows].join('\n');
}

function compareWorkspaces(): string {
	const groups = [['small', 'small-'], ['large', 'large-']] as const;
	const rows = [0.5, 0.9, 2].flatMap(load => groups.flatMap(([name, prefix]) => policies.map(policy => {
		const summary = runScenario(policy, {...workspaceScenario, load}, call => call.workspace.startsWith(prefix));
		return formatRow(`load ${load}, the ${name} workspaces`, policy, summary);
	})));
	return [tableHeader, ...rows].join('\n');
}

function measureCost(): string {
	const rows = [24, 100, 400].map(count => {
		const {chooseMicros, capacityMicros} = measureChoice(count);
		const admissionMicros = measureAdmission(count);
		const total = chooseMicros + capacityMicros + admissionMicros;
		return `| ${count} | ${chooseMicros.toFixed(1)} | ${capacityMicros.toFixed(1)} | ${admissionMicros.toFixed(1)} | ${(total * requestsPerSecond / 1e4).toFixed(3)} % |`;
	});
	return ['| candidates, waiting workspaces | choose + begin + end, µs | capacity, µs | admission + release, µs | of a core at 46 requests/s |', '| ---: | ---: | ---: | ---: | ---: |', ...rows].join('\n');
}

function drawLoadPlots(): void {
	const summaries = policies.map(policy => plottedLoads.map(load => runScenario(policy, {load})));
	const createLines = (getValue: (sum: Summary) => number): PlotLine[] => policies.map((name, index) => ({
		name, color: colors[index] ?? 'black', points: plottedLoads.map((load, loadIndex) => [load, getValue(summaries[index]![loadIndex]!)]),
	}));
	writeFileSync(path.join(docsFolder, 'routing.svg'), drawPlots([
		{
			title: 'Goodput as a multiple of the capacity', xLabel: 'offered load / capacity', maxX: 2, maxY: 1.1, ticksY: [0, 0.25, 0.5, 0.75, 1], lines: createLines(sum => sum.goodput),
		},
		{
			title: 'p99 of answers in time, ms', xLabel: 'offered load / capacity', maxX: 2, maxY: 2100, ticksY: [0, 500, 1000, 1500, 2000], lines: createLines(sum => sum.p99Ms),
		},
	]));
}

await initRendezvousHash();
writeDocPart('docs/ROUTING.md', 'policies', compareScenarios());
writeDocPart('docs/ROUTING.md', 'workspaces', compareWorkspaces());
writeDocPart('docs/ROUTING.md', 'cost', measureCost());
drawLoadPlots();
if (process.argv.includes('--processes')) {
	writeDocPart('docs/ROUTING.md', 'processes', await measureWithProcesses());
}
