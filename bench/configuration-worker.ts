/** One process of the configuration bench; hosts several configuration managers with their own listeners. */
import type {Socket} from 'node:net';
import diagnostics from 'node:diagnostics_channel';
import process from 'node:process';
import type {ZodType} from 'zod';
import {ConfigurationManager} from '../src/configuration/configuration-manager.ts';
import {ConfigurationStore} from '../src/configuration/configuration-store.ts';
import type {Peer} from '../src/configuration/watcher-rank.ts';
import {formatAddress, HttpListener} from '../src/links/http-listener.ts';
import {type PeerRequestOptions, PeerClient} from '../src/links/peer-client.ts';
import {RpcDispatcher, rpcPath} from '../src/links/rpc-dispatcher.ts';
import {configOfferMethod} from '../src/messages/config-sync.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {initRendezvousHash} from '../src/runtime/rendezvous.ts';

/** Orders from the bench. */
export type WorkerOrder =
	| {readonly kind: 'listen'; readonly nodes: ReadonlyArray<Omit<Peer, 'address'>>}
	| {readonly kind: 'start'; readonly peers: readonly Peer[]; readonly serviceUrl: string}
	| {readonly kind: 'lose'; readonly percent: number}
	| {readonly kind: 'kill'; readonly vm: string}
	| {readonly kind: 'sample'};

/** Answers to the bench. */
export type WorkerAnswer =
	| {readonly kind: 'listening'; readonly peers: readonly Peer[]}
	| {readonly kind: 'applied'; readonly vm: string; readonly revision: number; readonly atMs: number; readonly isWatcher: boolean}
	| {readonly kind: 'sample'; readonly cpuMs: number; readonly socketBytes: number; readonly heapBytes: number};

/** Drops a share of the offers, as a lossy network or a slow peer does. */
class LossyClient extends PeerClient {
	override async rpc<Result>(address: string, call: {method: string; params: unknown}, schema: ZodType<Result>, options: PeerRequestOptions): Promise<Result> {
		return call.method === configOfferMethod && random.nextInt(100) < lossPercent ? schema.parse(true) : super.rpc(address, call, schema, options);
	}
}

type Node = {own: Peer; readonly rpc: RpcDispatcher; readonly listener: HttpListener; manager?: ConfigurationManager};

const random = new RandomSource(process.pid);
const log = createSilentLogger();
const nodes: Node[] = [];
const sockets = new Map<Socket, number>();
let closedBytes = 0;
let lossPercent = 0;

diagnostics.subscribe('http.server.request.start', message => {
	const {socket} = message as {socket: Socket};
	if (!sockets.has(socket)) {
		sockets.set(socket, 0);
		socket.once('close', () => {
			sockets.delete(socket);
			closedBytes += socket.bytesRead + socket.bytesWritten;
		});
	}
});

function answer(message: WorkerAnswer): void {
	process.send?.(message);
}

async function listen(wanted: ReadonlyArray<Omit<Peer, 'address'>>): Promise<void> {
	for (const peer of wanted) {
		const rpc = new RpcDispatcher();
		const listener = new HttpListener({[`POST ${rpcPath}`]: rpc.handle}, log);
		const address = formatAddress(await listener.start({host: '127.0.0.1', port: 0}));
		nodes.push({own: {...peer, address}, rpc, listener});
	}

	answer({kind: 'listening', peers: nodes.map(({own}) => own)});
}

function startNode(node: Node, peers: readonly Peer[], serviceUrl: string): void {
	const store = new ConfigurationStore();
	const others = peers.filter(({vm}) => vm !== node.own.vm);
	const manager = new ConfigurationManager({
		store, links: new LossyClient(), rpc: node.rpc, random: new RandomSource(random.nextInt(1_000_000)), log, serviceUrl, self: node.own, peers: () => others,
	});
	node.manager = manager;
	store.onChange(() => {
		answer({
			kind: 'applied', vm: node.own.vm, revision: store.revision, atMs: performance.timeOrigin + performance.now(), isWatcher: manager.isWatcher,
		});
	});
	void manager.start();
}

function sample(): void {
	globalThis.gc?.();
	const {user, system} = process.cpuUsage();
	const openBytes = [...sockets.keys()].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);
	answer({
		kind: 'sample', cpuMs: (user + system) / 1000, socketBytes: closedBytes + openBytes, heapBytes: process.memoryUsage().heapUsed,
	});
}

function kill(vm: string): void {
	const node = nodes.find(({own}) => own.vm === vm);
	node?.manager?.stop();
	node?.listener.destroy();
}

async function obey(order: WorkerOrder): Promise<void> {
	const handlers = {
		listen: async (message: WorkerOrder & {kind: 'listen'}) => listen(message.nodes),
		start(message: WorkerOrder & {kind: 'start'}) {
			for (const node of nodes) {
				startNode(node, message.peers, message.serviceUrl);
			}
		},
		lose(message: WorkerOrder & {kind: 'lose'}) {
			lossPercent = message.percent;
		},
		kill(message: WorkerOrder & {kind: 'kill'}) {
			kill(message.vm);
		},
		sample,
	};
	await handlers[order.kind](order as never);
}

await initRendezvousHash();
process.on('message', (order: WorkerOrder) => {
	void obey(order);
});
answer({kind: 'listening', peers: []});
