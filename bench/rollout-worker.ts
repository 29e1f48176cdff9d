/** One process of the rollout bench; hosts several agents and obeys the bench over IPC. */
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

/** How weights spread in a run. */
export type RunMode = 'peers' | 'origin' | 'tree';

/** Starts a run. */
export type RunOrder = {
	readonly kind: 'go';
	readonly mode: RunMode;
	readonly manifest: string;
	readonly objective: 'time' | 'origin-bytes';
	/** The group as each region reaches it. */
	readonly peers: Readonly<Record<string, readonly TransferPeer[]>>;
	/** Addresses of parents in the fixed tree, by VM. */
	readonly parents: Readonly<Record<string, string>>;
};

/** Orders from the bench. */
export type WorkerOrder =
	| {readonly kind: 'start'; readonly agents: readonly TransferAgentOptions[]}
	| RunOrder
	| {readonly kind: 'finish'};

/** What one agent did. */
export type AgentResult = {readonly vm: string; readonly heldMs: number; readonly up: number; readonly down: number; readonly origin: number};

/** Answers to the bench. */
export type WorkerAnswer =
	| {readonly kind: 'started'; readonly addresses: Readonly<Record<string, string>>}
	| {readonly kind: 'held'; readonly vm: string; readonly heldMs: number}
	| {readonly kind: 'finished'; readonly agents: readonly AgentResult[]; readonly cpuMs: number; readonly socketBytes: number};

/** Parallel reads of a baseline agent; two per child fill a tree parent's upload slots. */
const baselineReads: Readonly<Record<'origin' | 'tree', number>> = {origin: 4, tree: 2};

const pollMs = 5;

const ignore = () => undefined;

const agents: TransferAgent[] = [];
const originBytes = new Map<string, number>();
const heldMs = new Map<string, number>();
const sockets = new Set<Socket>();
let startedAtMs = 0;
let cpuBefore = process.cpuUsage();
let manifestDigest = '';

diagnostics.subscribe('http.server.request.start', message => {
	sockets.add((message as {socket: Socket}).socket);
});

function answer(message: WorkerAnswer): void {
	process.send!(message);
}

function reportHeld(vm: string): void {
	heldMs.set(vm, performance.now() - startedAtMs);
	answer({kind: 'held', vm, heldMs: heldMs.get(vm)!});
}

async function start(options: readonly TransferAgentOptions[]): Promise<void> {
	await initRendezvousHash();
	const addresses: Record<string, string> = {};
	for (const item of options) {
		const agent = new TransferAgent(item);
		agents.push(agent);
		addresses[item.vm] = await agent.start();
	}

	answer({kind: 'started', addresses});
}

async function readUntilThere(agent: TransferAgent, base: string, digest: string): Promise<void> {
	for (;;) {
		try {
			const bytes = await downloadChunk({
				links: agent.links, url: `${base}/${digest}`, pacer: agent.downPacer, stallMs: 60_000, freshConnection: false, controller: new AbortController(), onBytes: ignore, onNotice: ignore,
			});
			agent.chunks.put(createDigest(digest.split('?')[0]!), bytes);
			return;
		} catch {
			await sleep(pollMs);
		}
	}
}

async function readAll(agent: TransferAgent, base: string, suffix: string, parallel: number): Promise<void> {
	await readUntilThere(agent, base, `${manifestDigest}${suffix}`);
	const {chunks} = parseManifest(agent.chunks.get(createDigest(manifestDigest))!);
	const queue = [...chunks];
	await Promise.all(Array.from({length: parallel}, async () => {
		for (let digest = queue.shift(); digest; digest = queue.shift()) {
			await readUntilThere(agent, base, `${digest}${suffix}`);
		}
	}));
	reportHeld(agent.options.vm);
}

async function runBaseline(agent: TransferAgent, mode: 'origin' | 'tree', parent: string | undefined): Promise<void> {
	const base = parent === undefined ? `${agent.options.originUrl}/v1/chunks` : `http://${parent}/chunks`;
	const suffix = parent === undefined ? '' : `?manifest=${manifestDigest}&last_resort=1`;
	await readAll(agent, base, suffix, baselineReads[mode]);
	if (parent === undefined) {
		originBytes.set(agent.options.vm, agent.chunks.bytes);
	}
}

function go(order: RunOrder): void {
	startedAtMs = performance.now();
	cpuBefore = process.cpuUsage();
	manifestDigest = order.manifest;
	for (const agent of agents) {
		const {vm} = agent.options;
		if (order.mode === 'peers') {
			agent.setPeers(order.peers[agent.options.region] ?? []);
			agent.setWantedVersion(order.manifest, order.objective);
			void reportWhenHeld(agent);
		} else {
			void runBaseline(agent, order.mode, order.parents[vm]);
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

	answer({
		kind: 'finished',
		cpuMs: (cpu.user + cpu.system) / 1000,
		socketBytes,
		agents: agents.map(agent => ({
			vm: agent.options.vm,
			heldMs: heldMs.get(agent.options.vm) ?? Number.POSITIVE_INFINITY,
			up: agent.upPacer.bytes,
			down: agent.downPacer.bytes,
			origin: originBytes.get(agent.options.vm) ?? agent.originBytes,
		})),
	});
}

process.on('message', (order: WorkerOrder) => {
	if (order.kind === 'start') {
		void start(order.agents);
	} else if (order.kind === 'go') {
		go(order);
	} else {
		finish();
	}
});
