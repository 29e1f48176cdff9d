/** Worker process of the rollout benchmark; hosts several agents and is controlled over IPC. */
import diagnostics from 'node:diagnostics_channel';
import type {Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createDigest} from '../src/ids/digest.ts';
import {downloadChunk} from '../src/rollout/chunk-download.ts';
import {parseManifest} from '../src/rollout/manifest.ts';
import type {TransferPeer} from '../src/rollout/transfer-options.ts';
import {initRendezvousHash} from '../src/runtime/rendezvous.ts';
import {TransferAgent, type TransferAgentOptions} from '../standins/transfer-agent.ts';

/** How weights are distributed in a run: between peers, by the origin only, or along a fixed tree. */
export type RunMode = 'peers' | 'origin' | 'tree';

/** Command that starts a run. */
export type RunCommand = {
	readonly kind: 'go';
	readonly mode: RunMode;
	readonly manifest: string;
	readonly objective: 'time' | 'origin-bytes';
	/** The peers by region of the requester, with the addresses at which that region reaches them. */
	readonly peers: Readonly<Record<string, readonly TransferPeer[]>>;
	/** Address of the parent in the fixed tree, by VM; the root has none. */
	readonly parents: Readonly<Record<string, string>>;
};

/** Commands from the benchmark. */
export type WorkerCommand =
	| {readonly kind: 'start'; readonly agents: readonly TransferAgentOptions[]}
	| RunCommand
	| {readonly kind: 'finish'};

/** The measurements of one agent: time until it held the version, and bytes uploaded, downloaded and read from the origin. */
export type AgentResult = {readonly vm: string; readonly heldMs: number; readonly up: number; readonly down: number; readonly origin: number};

/** Replies to the benchmark. */
export type WorkerReply =
	| {readonly kind: 'started'; readonly addresses: Readonly<Record<string, string>>}
	| {readonly kind: 'held'; readonly vm: string; readonly heldMs: number}
	| {readonly kind: 'finished'; readonly agents: readonly AgentResult[]; readonly cpuMs: number; readonly socketBytes: number};

/** Number of parallel downloads of a baseline agent. In the tree, two downloads by each child use all upload slots of the parent. */
const baselineDownloads: Readonly<Record<'origin' | 'tree', number>> = {origin: 4, tree: 2};

const pollMs = 5;

const noop = () => undefined;

const agents: TransferAgent[] = [];
const originBytesByVm = new Map<string, number>();
const heldMsByVm = new Map<string, number>();
const sockets = new Set<Socket>();
let startedAtMs = 0;
let cpuBefore = process.cpuUsage();
let manifestDigest = '';

diagnostics.subscribe('http.server.request.start', message => {
	sockets.add((message as {socket: Socket}).socket);
});

function reply(message: WorkerReply): void {
	process.send!(message);
}

function reportHeld(vm: string): void {
	heldMsByVm.set(vm, performance.now() - startedAtMs);
	reply({kind: 'held', vm, heldMs: heldMsByVm.get(vm)!});
}

async function start(options: readonly TransferAgentOptions[]): Promise<void> {
	await initRendezvousHash();
	const addresses: Record<string, string> = {};
	for (const item of options) {
		const agent = new TransferAgent(item);
		agents.push(agent);
		addresses[item.vm] = await agent.start();
	}

	reply({kind: 'started', addresses});
}

async function downloadWithRetries(agent: TransferAgent, baseUrl: string, digest: string): Promise<void> {
	for (;;) {
		try {
			const bytes = await downloadChunk({
				links: agent.links, url: `${baseUrl}/${digest}`, pacer: agent.downPacer, stallMs: 60_000, chunkBytes: Number.MAX_SAFE_INTEGER, freshConnection: false, controller: new AbortController(), onBytes: noop, onNotice: noop,
			});
			agent.chunks.put(createDigest(digest.split('?')[0]!), bytes);
			return;
		} catch {
			await sleep(pollMs);
		}
	}
}

async function downloadAll(agent: TransferAgent, baseUrl: string, query: string, parallel: number): Promise<void> {
	await downloadWithRetries(agent, baseUrl, `${manifestDigest}${query}`);
	const {chunks} = parseManifest(agent.chunks.get(createDigest(manifestDigest))!);
	const queue = [...chunks];
	await Promise.all(Array.from({length: parallel}, async () => {
		for (let digest = queue.shift(); digest; digest = queue.shift()) {
			await downloadWithRetries(agent, baseUrl, `${digest}${query}`);
		}
	}));
	reportHeld(agent.options.vm);
}

async function runBaseline(agent: TransferAgent, mode: 'origin' | 'tree', parent: string | undefined): Promise<void> {
	const baseUrl = parent === undefined ? `${agent.options.originUrl}/v1/chunks` : `http://${parent}/chunks`;
	const query = parent === undefined ? '' : `?manifest=${manifestDigest}&last_resort=1`;
	await downloadAll(agent, baseUrl, query, baselineDownloads[mode]);
	if (parent === undefined) {
		originBytesByVm.set(agent.options.vm, agent.chunks.bytes);
	}
}

function startRun(command: RunCommand): void {
	startedAtMs = performance.now();
	cpuBefore = process.cpuUsage();
	manifestDigest = command.manifest;
	for (const agent of agents) {
		const {vm} = agent.options;
		if (command.mode === 'peers') {
			agent.setPeers(command.peers[agent.options.region] ?? []);
			agent.setWantedVersion(command.manifest, command.objective);
			void reportWhenHeld(agent);
		} else {
			void runBaseline(agent, command.mode, command.parents[vm]);
		}
	}
}

async function reportWhenHeld(agent: TransferAgent): Promise<void> {
	while (!agent.holds(manifestDigest)) {
		await sleep(pollMs);
	}

	reportHeld(agent.options.vm);
}

function finish(): void {
	const cpu = process.cpuUsage(cpuBefore);
	let socketBytes = 0;
	for (const socket of sockets) {
		socketBytes += socket.bytesRead + socket.bytesWritten;
	}

	reply({
		kind: 'finished',
		cpuMs: (cpu.user + cpu.system) / 1000,
		socketBytes,
		agents: agents.map(agent => ({
			vm: agent.options.vm,
			heldMs: heldMsByVm.get(agent.options.vm) ?? Number.POSITIVE_INFINITY,
			up: agent.upPacer.bytes,
			down: agent.downPacer.bytes,
			origin: originBytesByVm.get(agent.options.vm) ?? agent.originBytes,
		})),
	});
}

process.on('message', (command: WorkerCommand) => {
	if (command.kind === 'start') {
		void start(command.agents);
	} else if (command.kind === 'go') {
		startRun(command);
	} else {
		finish();
	}
});
