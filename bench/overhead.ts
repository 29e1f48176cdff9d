/**
 * Measures the overhead that entry and agent add to a call: latency on an idle machine, and processor time per request and per token.
 *
 * Run with `node build/bundle.mjs && npx tsx bench/overhead.ts`. Entry, agent, engine and service are separate processes.
 * The processor time of a process is read from /proc before and after each load.
 */
import {type ChildProcess, execFileSync, fork} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {Agent, request} from 'undici';
import {EngineStandin} from '../standins/engine.ts';
import {PlainServiceStandin} from '../standins/plain-service.ts';
import {formatAddress} from '../src/links/http-listener.ts';
import {
	endProcess, Fleet, getJson, waitFor,
} from '../test/support/fleet.ts';

const latencyCalls = 3000;
const warmUpCalls = 1500;
const loadCalls = 6000;
const loadConcurrency = 16;
const streamCalls = 300;
const tokensPerStream = 400;
const ticksPerSecond = Number(execFileSync('getconf', ['CLK_TCK'], {encoding: 'utf8'}));

const dispatcher = new Agent({connections: loadConcurrency, pipelining: 1});

type SendCall = () => Promise<void>;

/** Starts a stand-in upstream in a separate process, so that its processor time is not attributed to the entry or the agent. */
async function forkStandin(kind: string): Promise<{child: ChildProcess; address: string}> {
	const child = fork(import.meta.filename, [kind], {execArgv: ['--import', 'tsx']});
	const [address] = await once(child, 'message') as [string];
	return {child, address};
}

async function serveStandin(kind: string): Promise<void> {
	const standin = kind === 'engine'
		? new EngineStandin({
			capacity: 256, tokenMs: 0, checksFence: true, stateLagMs: 0,
		})
		: new PlainServiceStandin({runMs: 0});
	process.send?.(formatAddress(await standin.start({host: '127.0.0.1', port: 0})));
}

function createSender(url: string, body: unknown): SendCall {
	const text = JSON.stringify(body);
	return async () => {
		const res = await request(url, {
			method: 'POST', headers: {'x-workspace': 'desk', 'content-type': 'application/json'}, body: text, dispatcher,
		});
		const answer = await res.body.text();
		if (res.statusCode !== 200) {
			throw new Error(`status ${res.statusCode}: ${answer}`);
		}
	};
}

async function measureLatencies(senders: Readonly<Record<string, SendCall>>): Promise<Record<string, number[]>> {
	const result: Record<string, number[]> = Object.fromEntries(Object.keys(senders).map(name => [name, []]));
	for (let call = 0; call < warmUpCalls + latencyCalls; call++) {
		// Alternate between the paths, so that noise on the machine affects them equally.
		for (const [name, send] of Object.entries(senders)) {
			const startMs = performance.now();
			await send();
			if (call >= warmUpCalls) {
				result[name]?.push(performance.now() - startMs);
			}
		}
	}

	return result;
}

function quantile(values: readonly number[], fraction: number): number {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length * fraction)] ?? 0;
}

function readProcessorSeconds(child: ChildProcess): number {
	const stat = readFileSync(`/proc/${child.pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

/** Sends calls and prints the processor time per call and the throughput per core of each role. */
async function measureLoad(name: string, send: SendCall, calls: number, unitsPerCall: number, roles: Readonly<Record<string, ChildProcess>>): Promise<void> {
	await Promise.all(Array.from({length: loadConcurrency}, async () => send()));
	const before = Object.values(roles).map(child => readProcessorSeconds(child));
	const startMs = performance.now();
	let remainingCalls = calls;
	await Promise.all(Array.from({length: loadConcurrency}, async () => {
		while (remainingCalls-- > 0) {
			await send();
		}
	}));
	const seconds = (performance.now() - startMs) / 1000;
	for (const [index, [role, child]] of Object.entries(roles).entries()) {
		const used = readProcessorSeconds(child) - (before[index] ?? 0);
		console.log(`${name}: ${role} ${(used / calls * 1e6).toFixed(0)} us/call, ${Math.round(calls * unitsPerCall / used)} per core second, used ${used.toFixed(2)} s of ${seconds.toFixed(2)} s`);
	}
}

async function main(): Promise<void> {
	const fleet = new Fleet();
	const standins: ChildProcess[] = [];
	try {
		await fleet.start();
		const manifest = fleet.platform.addWeights('assistant', 'v1', new Uint8Array(1000), 65_536);
		fleet.platform.publish({
			'/models/assistant': {serve: 'v1', versions: {v1: {manifest}}},
			'/services/assistant': {kind: 'engine'},
			'/services/booking': {kind: 'plain', operations: {status: {repeatable: true}}},
			'/teams/desk/limits': {max_concurrent: 256},
			'/teams/desk/routes/ask': {service: 'assistant', model: 'assistant'},
			'/teams/desk/routes/booking': {service: 'booking'},
		});
		const [engine, plain] = [await forkStandin('engine'), await forkStandin('plain')];
		standins.push(engine.child, plain.child);
		const capacity = {upstream: {capacity: 256}, process: {log_level: 'warn'}};
		const engineAgent = await fleet.agent('vm-engine', {kind: 'engine', service: 'assistant', address: `http://${engine.address}`}, capacity);
		const plainAgent = await fleet.agent('vm-booking', {kind: 'plain', service: 'booking', address: `http://${plain.address}`}, capacity);
		const entry = await fleet.entry('vm-entry', {process: {log_level: 'warn'}});
		await waitFor('the version is served', async () => JSON.stringify(await getJson(entry.control, '/dump')).includes('"version":"v1"'));
		const through = createSender(`http://${entry.callers}/v1/operations/booking/status`, {booking: 'b'});
		const direct = createSender(`http://${plain.address}/v1/operations/status`, {booking: 'b'});
		const {through: entryLatencies, direct: directLatencies} = await measureLatencies({through, direct});
		for (const fraction of [0.5, 0.99]) {
			const [entryMs, directMs] = [quantile(entryLatencies ?? [], fraction), quantile(directLatencies ?? [], fraction)];
			console.log(`latency p${fraction * 100}: through ${entryMs.toFixed(3)} ms, direct ${directMs.toFixed(3)} ms, added ${(entryMs - directMs).toFixed(3)} ms (${latencyCalls} calls each)`);
		}

		await measureLoad('operations', through, loadCalls, 1, {entry: entry.child, agent: plainAgent.child});
		const stream = createSender(`http://${entry.callers}/v1/generate/ask`, {prompt: 'p', max_tokens: tokensPerStream});
		await measureLoad(`streams of ${tokensPerStream} tokens, in tokens`, stream, streamCalls, tokensPerStream, {entry: entry.child, agent: engineAgent.child});
	} finally {
		await fleet.stop();
		await Promise.all(standins.map(async child => endProcess(child)));
		await dispatcher.close();
	}
}

const standinKind = process.argv[2];
const run = standinKind === undefined ? main : async () => serveStandin(standinKind);
await run();
