/** Worker process of the configuration benchmark; hosts several configuration managers, each with its own listener. */
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

/** Commands from the benchmark. */
export type WorkerCommand =
	| {readonly kind: 'listen'; readonly nodes: ReadonlyArray<Omit<Peer, 'address'>>}
	| {readonly kind: 'start'; readonly peers: readonly Peer[]; readonly serviceUrl: string}
	| {readonly kind: 'lose'; readonly percent: number}
	| {readonly kind: 'kill'; readonly vm: string}
	| {readonly kind: 'sample'};

/** Replies to the benchmark. */
export type WorkerReply =
	| {readonly kind: 'listening'; readonly peers: readonly Peer[]}
	| {readonly kind: 'applied'; readonly vm: string; readonly revision: number; readonly atMs: number; readonly isWatcher: boolean}
	| {readonly kind: 'sample'; readonly cpuMs: number; readonly socketBytes: number; readonly heapBytes: number};

/** Drops a share of the configuration offers, to simulate a lossy network or a slow peer. */
class LossyClient extends PeerClient {
	override async rpc<Result>(address: string, call: {method: string; params: unknown}, schema: ZodType<Result>, options: PeerRequestOptions): Promise<Result> {
		return call.method === configOfferMethod && random.nextInt(100) < lossPercent ? schema.parse(true) : super.rpc(address, call, schema, options);
	}
}

type Node = {self: Peer; readonly rpc: RpcDispatcher; readonly listener: HttpListener; manager?: ConfigurationManager};

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

function reply(message: WorkerReply): void {
	process.send?.(message);
}

async function listen(requested: ReadonlyArray<Omit<Peer, 'address'>>): Promise<void> {
	for (const peer of requested) {
		const rpc = new RpcDispatcher();
		const listener = new HttpListener({[`POST ${rpcPath}`]: rpc.handle}, log);
		const address = formatAddress(await listener.start({host: '127.0.0.1', port: 0}));
		nodes.push({self: {...peer, address}, rpc, listener});
	}

	reply({kind: 'listening', peers: nodes.map(({self}) => self)});
}

function startNode(node: Node, peers: readonly Peer[], serviceUrl: string): void {
	const store = new ConfigurationStore();
	const otherPeers = peers.filter(({vm}) => vm !== node.self.vm);
	const manager = new ConfigurationManager({
		store, links: new LossyClient(), rpc: node.rpc, random: new RandomSource(random.nextInt(1_000_000)), log, serviceUrl, self: node.self, peers: () => otherPeers,
	});
	node.manager = manager;
	store.onChange(() => {
		reply({
			kind: 'applied', vm: node.self.vm, revision: store.revision, atMs: performance.timeOrigin + performance.now(), isWatcher: manager.isWatcher,
		});
	});
	void manager.start();
}

function sample(): void {
	globalThis.gc?.();
	const {user, system} = process.cpuUsage();
	const openBytes = [...sockets.keys()].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);
	reply({
		kind: 'sample', cpuMs: (user + system) / 1000, socketBytes: closedBytes + openBytes, heapBytes: process.memoryUsage().heapUsed,
	});
}

function kill(vm: string): void {
	const node = nodes.find(({self}) => self.vm === vm);
	node?.manager?.stop();
	node?.listener.destroy();
}

async function handleCommand(command: WorkerCommand): Promise<void> {
	const handlers = {
		listen: async (message: WorkerCommand & {kind: 'listen'}) => listen(message.nodes),
		start(message: WorkerCommand & {kind: 'start'}) {
			for (const node of nodes) {
				startNode(node, message.peers, message.serviceUrl);
			}
		},
		lose(message: WorkerCommand & {kind: 'lose'}) {
			lossPercent = message.percent;
		},
		kill(message: WorkerCommand & {kind: 'kill'}) {
			kill(message.vm);
		},
		sample,
	};
	await handlers[command.kind](command as never);
}

await initRendezvousHash();
process.on('message', (command: WorkerCommand) => {
	void handleCommand(command);
});
reply({kind: 'listening', peers: []});
