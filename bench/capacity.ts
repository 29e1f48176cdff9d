/**
 * Measures how memory and processor time of individual components grow with size; docs/CAPACITY.md extrapolates from the slopes.
 *
 * Run with `node --expose-gc --import tsx bench/capacity.ts`. It prints a Markdown table.
 */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import process from 'node:process';
import {CallLedger} from '../src/calls/call-ledger.ts';
import {FrameChecker} from '../src/calls/frame-checker.ts';
import {evaluateUpdate} from '../src/configuration/evaluate-update.ts';
import {ConfigurationStore} from '../src/configuration/configuration-store.ts';
import {emptyTree} from '../src/configuration/tree.ts';
import {digestOf} from '../src/ids/digest.ts';
import {createRevision} from '../src/ids/revision.ts';
import {chooseSubset} from '../src/membership/choose-subset.ts';
import {MemberView} from '../src/membership/member-view.ts';
import {mergeMembers} from '../src/membership/merge-members.ts';
import {SubsetCache} from '../src/membership/subset-cache.ts';
import type {ListedVm, VmObservation} from '../src/membership/member.ts';
import {type AgentReport, agentReportSchema} from '../src/messages/agent-report.ts';
import {callFrameSchema} from '../src/messages/call-frame.ts';
import {callRequestSchema} from '../src/messages/call-request.ts';
import {initRendezvousHash, rankMembers} from '../src/runtime/rendezvous.ts';
import {fitLine, type Point} from './support/slope.ts';

const microsPerMillisecond = 1000;
const repeats = 5;

type Measurement = {
	readonly name: string;
	/** The unit of the slope. */
	readonly unit: string;
	readonly sizes: readonly number[];
	/** Measures the cost at one size. */
	readonly run: (size: number) => number;
};

/** Returns the median processor time of a function, in microseconds. */
function medianCpuMicros(work: () => void): number {
	const samples = Array.from({length: repeats}, () => {
		const start = process.cpuUsage();
		work();
		const used = process.cpuUsage(start);
		return used.user + used.system;
	});
	return samples.toSorted((a, b) => a - b)[Math.floor(repeats / 2)] ?? 0;
}

/** Returns the memory that the return value of a function retains, in bytes. */
function measureHeapGrowth(create: () => unknown): number {
	globalThis.gc?.();
	const before = process.memoryUsage();
	const retained = create();
	globalThis.gc?.();
	const after = process.memoryUsage();
	return retained === undefined ? 0 : after.heapUsed - before.heapUsed + after.arrayBuffers - before.arrayBuffers;
}

function createCall(index: number): ReturnType<typeof callRequestSchema.parse> {
	return callRequestSchema.parse({
		attempt: `attempt-${index}`, requestId: `request-${index}`, workspace: 'desk', service: 'booking', priority: 'normal', remainingMs: 30_000, agentDeadline: null,
		ticket: {nonce: randomBytes(16).toString('hex'), incarnation: 'run-1', expiresAtMs: Date.now() + 600_000},
		work: {kind: 'operation', operation: 'book', body: {booking: `b${index}`, part: 'wheel', slot: '10:30'}},
	});
}

function createLedger(size: number): CallLedger {
	const ledger = new CallLedger({incarnation: 'run-1', maxRecords: size + 1});
	for (let index = 0; index < size; index++) {
		const decision = ledger.accept(createCall(index));
		if (decision.kind === 'run') {
			ledger.markForwarded(decision.record);
			ledger.markFinished(decision.record, {status: 200, body: {booking: `b${index}`, slot: '10:30', price_cents: 4500}});
		}
	}

	return ledger;
}

function createReport(index: number): AgentReport {
	const served = ['v1', 'v2'].map(version => ({
		model: 'assistant', version, manifest: digestOf(version), adapters: ['quotes', 'warranty'],
	}));
	return {
		vm: `vm-${index}`, incarnation: `1790000000000-${index}`, state: 'ready', service: 'assistant', configRevision: 2900, served, running: 12, queued: 3, capacity: 64, prefixes: [],
	};
}

function createVms(size: number): ListedVm[] {
	return Array.from({length: size}, (_, index) => ({
		vm: `vm-${index}`, role: 'upstream', state: 'live', zone: `zone-${index % 7}`, region: `region-${index % 3}`, address: `10.0.${index % 250}.7:9000`, services: ['assistant'],
	}));
}

function createEntries(size: number): Array<{path: string; revision: number; value: unknown}> {
	return Array.from({length: size}, (_, index) => ({
		path: `/teams/team-${index}/routes/ask`, revision: index + 1, value: {service: 'assistant', model: 'assistant', version: 'v1'},
	}));
}

function createStore(size: number): ConfigurationStore {
	const store = new ConfigurationStore();
	const decision = evaluateUpdate(emptyTree, {
		revision: createRevision(size), whole: true, base: emptyTree.revision, entries: createEntries(size),
	});
	if (decision.accepted) {
		store.replace(decision.tree, decision.findings);
	}

	return store;
}

function createTokenLine(tokens: number): string {
	const tokenTexts = Array.from({length: tokens}, (_, index) => `token${index % 10}`);
	return JSON.stringify({
		attempt: 'a1', seq: 1, kind: 'tokens', version: 'v1', tokens: tokenTexts,
	});
}

const generateCall = callRequestSchema.parse({
	attempt: 'a1', requestId: 'r1', workspace: 'desk', service: 'assistant', priority: 'normal', remainingMs: 30_000, agentDeadline: null, ticket: null,
	work: {
		kind: 'generate', model: 'assistant', version: 'v1', adapter: null, prompt: 'wheel is loose', maxTokens: 100, resumeFrom: 0,
	},
});

/** Parses, checks and re-serializes frames as an entry does. */
function processFrames(line: string, count: number): void {
	for (let index = 0; index < count; index++) {
		const checker = new FrameChecker(generateCall);
		checker.accept({
			attempt: 'a1', seq: 0, kind: 'head', version: 'v1',
		});
		const frame = callFrameSchema.parse(JSON.parse(line));
		checker.accept(frame);
		if (frame.kind === 'tokens') {
			Buffer.from(frame.tokens.map(token => `${JSON.stringify({token})}\n`).join(''));
		}
	}
}

const framesPerRun = 2000;

const reportsPerRun = 50;

const selfEntry = {vm: 'entry-1', zone: 'zone-0'};

function createSources(size: number): {vms: ListedVm[]; sources: {listed: ListedVm[]; unlisted: ListedVm[]; observations: Map<string, VmObservation>; nowMs: number}} {
	const vms = createVms(size);
	return {
		vms, sources: {
			listed: vms, unlisted: [], observations: new Map(), nowMs: 1,
		},
	};
}

const measurements: readonly Measurement[] = [
	{
		name: 'agent: memory per kept call record', unit: 'bytes/record', sizes: [10_000, 20_000, 40_000, 80_000],
		run: size => measureHeapGrowth(() => createLedger(size)),
	},
	{
		name: 'agent: processor time per recorded call, with reading the request', unit: 'µs/call', sizes: [5000, 10_000, 20_000],
		run: size => medianCpuMicros(() => {
			createLedger(size);
		}),
	},
	{
		name: 'entry: processor time per frame by tokens in it', unit: 'µs/token', sizes: [1, 8, 32],
		run: size => medianCpuMicros(() => {
			processFrames(createTokenLine(size), framesPerRun);
		}) / framesPerRun,
	},
	{
		name: 'agent: length of a report by served versions', unit: 'bytes/version', sizes: [1, 2, 4],
		run(size) {
			const {served, ...rest} = createReport(1);
			return JSON.stringify({...rest, served: Array.from({length: size}, () => served[0])}).length;
		},
	},
	{
		name: 'entry: processor time to read reports', unit: 'µs/report', sizes: [24, 48, 96, 384],
		run(size) {
			const lines = Array.from({length: size}, (_, index) => JSON.stringify(createReport(index)));
			return medianCpuMicros(() => {
				for (const line of lines) {
					agentReportSchema.parse(JSON.parse(line));
				}
			});
		},
	},
	{
		name: 'all: processor time to join the member view', unit: 'µs/member', sizes: [500, 1000, 2000, 3630],
		run(size) {
			const listed = createVms(size);
			const observations = new Map<string, VmObservation>(listed.slice(0, 24).map(({vm}, index) => [vm, {failedConnects: 0, report: createReport(index)}]));
			return medianCpuMicros(() => {
				mergeMembers({
					listed, unlisted: [], observations, nowMs: 0,
				});
			});
		},
	},
	{
		name: 'entry: a report and a choice of the subset, joining all members anew (baseline)', unit: 'µs/member', sizes: [500, 1000, 2000, 3630],
		run: size => medianCpuMicros(() => {
			const {sources, vms} = createSources(size);
			for (let index = 0; index < reportsPerRun; index++) {
				sources.observations.set(vms[index % 24]?.vm ?? '', {failedConnects: 0, report: createReport(index)});
				chooseSubset(selfEntry, 'assistant', mergeMembers(sources));
			}
		}) / reportsPerRun,
	},
	{
		name: 'entry: a report and a choice of the subset, one member at a time', unit: 'µs/member', sizes: [500, 1000, 2000, 3630],
		run(size) {
			const {sources, vms} = createSources(size);
			const view = new MemberView();
			const subsets = new SubsetCache(selfEntry);
			view.rebuild(sources);
			return medianCpuMicros(() => {
				for (let index = 0; index < reportsPerRun; index++) {
					const vm = vms[index % 24]?.vm ?? '';
					sources.observations.set(vm, {failedConnects: 0, report: createReport(index)});
					view.update(vm, sources);
					subsets.of('assistant', view.members, view.version);
				}
			}) / reportsPerRun;
		},
	},
	{
		name: 'all: memory of the member view', unit: 'bytes/member', sizes: [1000, 2000, 3630],
		run: size => measureHeapGrowth(() => mergeMembers({
			listed: createVms(size), unlisted: [], observations: new Map(), nowMs: 0,
		})),
	},
	{
		name: 'all: length of the VM list', unit: 'bytes/member', sizes: [1000, 2000, 3630],
		run: size => JSON.stringify({vms: createVms(size)}).length,
	},
	{
		name: 'all: memory of the configuration tree', unit: 'bytes/document', sizes: [1000, 5000, 10_000],
		run: size => measureHeapGrowth(() => createStore(size)),
	},
	{
		name: 'all: processor time to put a whole tree in force', unit: 'µs/document', sizes: [1000, 5000, 10_000],
		run: size => medianCpuMicros(() => {
			createStore(size);
		}),
	},
	{
		name: 'agent: processor time to rank the owners of a chunk', unit: 'µs/member', sizes: [100, 307, 920],
		run: size => medianCpuMicros(() => {
			const members = Array.from({length: size}, (_, index) => `vm-${index}`);
			for (let chunk = 0; chunk < 20; chunk++) {
				rankMembers(`chunk-${chunk}`, members);
			}
		}) / 20,
	},
	{
		name: 'agent: processor time to verify chunks', unit: 'µs/MB', sizes: [8, 32, 64],
		run(size) {
			const megabyte = randomBytes(1_000_000);
			return medianCpuMicros(() => {
				for (let index = 0; index < size; index++) {
					digestOf(megabyte);
				}
			});
		},
	},
];

await initRendezvousHash();
console.log('| part | sizes | measured | slope | fixed | spread |\n| --- | --- | --- | --- | --- | --- |');
for (const {name, unit, sizes, run} of measurements) {
	run(sizes[0] ?? 1);
	const points: Point[] = sizes.map(size => ({size, value: run(size)}));
	const {fixed, perUnit, maxRelativeError} = fitLine(points);
	const values = points.map(({value}) => value.toFixed(value < 100 ? 1 : 0)).join(', ');
	console.log(`| ${name} | ${sizes.join(', ')} | ${values} | ${perUnit.toFixed(2)} ${unit} | ${fixed.toFixed(1)} | ${(maxRelativeError * 100).toFixed(0)} % |`);
}

console.log(`\nProcessor times are medians of ${repeats} runs; the milliseconds of one core are ${microsPerMillisecond} µs.`);
