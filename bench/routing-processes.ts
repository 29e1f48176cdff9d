/** Measures behavior under overload with real processes on loopback: two entries, four agents and stand-in engines. */
import {randomBytes} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {Fleet, getJson, waitFor} from '../test/support/fleet.ts';

const agentCount = 4;
const capacity = 8;
const tokens = 20;
const tokenMs = 10;
const callMs = tokens * tokenMs;
const deadlineMs = 2000;
const loadSeconds = 8;

type Outcome = {kind: 'good' | 'shed' | 'other'; ms: number};

async function sendCall(callersAddress: string, callIndex: number): Promise<Outcome> {
	const startMs = performance.now();
	try {
		const res = await fetch(`http://${callersAddress}/v1/generate/ask`, {
			method: 'POST', headers: {'x-workspace': 'desk', 'x-deadline-ms': String(deadlineMs)}, body: JSON.stringify({prompt: `prompt ${callIndex}`, max_tokens: tokens}),
		});
		const text = await res.text();
		const ms = performance.now() - startMs;
		if (res.status === 200 && text.includes('"done":true') && ms <= deadlineMs) {
			return {kind: 'good', ms};
		}

		return {kind: text.includes('"not_run"') ? 'shed' : 'other', ms};
	} catch {
		return {kind: 'other', ms: performance.now() - startMs};
	}
}

async function runLoad(entries: readonly string[], load: number): Promise<Outcome[]> {
	const intervalMs = callMs / (load * agentCount * capacity);
	const calls: Array<Promise<Outcome>> = [];
	const startMs = performance.now();
	while (performance.now() - startMs < loadSeconds * 1000) {
		while (calls.length * intervalMs < performance.now() - startMs) {
			calls.push(sendCall(entries[calls.length % entries.length] ?? '', calls.length));
		}

		await sleep(2);
	}

	return Promise.all(calls);
}

function formatRow(load: number, outcomes: readonly Outcome[]): string {
	const good = outcomes.filter(({kind}) => kind === 'good').map(({ms}) => ms).sort((a, b) => a - b);
	const formatShare = (kind: Outcome['kind']): string => `${(outcomes.filter(outcome => outcome.kind === kind).length * 100 / outcomes.length).toFixed(1)} %`;
	const goodput = good.length * callMs / (agentCount * capacity * loadSeconds * 1000);
	const cells = [
		load,
		good[Math.floor(good.length * 0.5)]?.toFixed(0),
		good[Math.floor(good.length * 0.99)]?.toFixed(0),
		goodput.toFixed(3),
		formatShare('good'),
		formatShare('shed'),
		formatShare('other'),
	];
	return `| ${cells.join(' | ')} |`;
}

/** Measures several loads and returns the results as a Markdown table. */
export async function measureWithProcesses(): Promise<string> {
	const fleet = new Fleet();
	await fleet.start();
	try {
		const manifest = fleet.platform.addWeights('assistant', 'v1', randomBytes(100_000), 65_536);
		fleet.platform.publish({
			'/models/assistant': {serve: 'v1', versions: {v1: {manifest}}},
			'/services/assistant': {kind: 'engine'},
			'/teams/desk/routes/ask': {service: 'assistant', model: 'assistant'},
		});
		await Promise.all(Array.from({length: agentCount}, async (item, index) => fleet.engineAgent(`vm-engine-${index}`, 'assistant', {capacity, tokenMs})));
		const entries = await Promise.all(['vm-entry-0', 'vm-entry-1'].map(async vm => fleet.entry(vm, {process: {log_level: 'error'}})));
		for (const entry of entries) {
			await waitFor('all agents serve', async () => (JSON.stringify(await getJson(entry.control, '/dump')).match(/"version":"v1"/g) ?? []).length >= agentCount);
		}

		const rows: string[] = [];
		for (const load of [0.5, 0.9, 1.2, 2]) {
			rows.push(formatRow(load, await runLoad(entries.map(({callers}) => callers), load)));
			await sleep(deadlineMs);
		}

		return ['| load | p50 ms | p99 ms | goodput / capacity | answered in time | shed `not_run` | other |', '| ---: | ---: | ---: | ---: | ---: | ---: | ---: |', ...rows].join('\n');
	} finally {
		await fleet.stop();
	}
}
