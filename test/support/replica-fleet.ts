/** Gateways and stagers in one process whose copies of the directory follow a source over a network in memory, on a faked clock. */
import {type Clock, install} from '@sinonjs/fake-timers';
import {Directory} from '../../src/directory/directory.ts';
import type {DatagramPort} from '../../src/links/datagram-port.ts';
import type {PeerClient} from '../../src/links/peer-client.ts';
import {
	directoryGetMethod, type DirectoryRevisions, type PeerInfo, peersExchangeMethod, type PeersExchange,
} from '../../src/messages/peers-exchange.ts';
import {DirectoryReplica} from '../../src/peers/directory-replica.ts';
import {ElapsedClock} from '../../src/runtime/elapsed-clock.ts';
import {createSilentLogger} from '../../src/runtime/logger.ts';
import {monotonicClock} from '../../src/runtime/pause-detector.ts';
import {RandomSource} from '../../src/runtime/random-source.ts';
import {testConfiguration} from './direct-fixtures.ts';
import {FakeSource} from './directory-fleet.ts';

const port = 7700;

/** Delay of a message one way, in milliseconds. */
const delayMs = {sameZone: 0.5, otherZone: 3};

/** How long a connection takes to send a lost packet again for the first time, in milliseconds; each further time takes twice as long. */
const retransmissionMs = 200;

const discoveryMs = 14_000;

/** The interval of the changes of a storm, in milliseconds, and their number. */
export const storm = {intervalMs: 230, count: 20};

/** A published configuration. */
export type Change = {readonly version: number; readonly atMs: number};

/** The parts of the deployment that each role watches and fetches. */
const roles = {
	gateway: {parts: ['published', 'instances'], pulledParts: 'directory'},
	stager: {parts: ['versions'], pulledParts: 'services'},
} as const;

type GetParams = DirectoryRevisions & {readonly servicesOnly: boolean};

type RpcCall = {readonly method: string; readonly params: unknown};

export const isGateway = ({role}: PeerInfo): boolean => role === 'gateway';

/** One process. */
export class ReplicaProcess {
	readonly directory = new Directory(createSilentLogger(), new ElapsedClock(() => 250));
	/** Whether the process has ended or stands still. */
	isDown = false;
	readonly replica: DirectoryReplica;
	private readonly receivers = new Map<unknown, (message: unknown) => void>();
	private readonly handlers: Readonly<Record<string, (params: unknown) => unknown>> = {
		[peersExchangeMethod]: params => this.replica.handleExchange(params as PeersExchange),
		[directoryGetMethod]: params => this.answerGet(params as GetParams),
	};

	constructor(fleet: ReplicaFleet, readonly info: PeerInfo, seed: number) {
		this.replica = new DirectoryReplica({
			self: info,
			directory: this.directory,
			source: fleet.source.of(info.vm),
			...roles[info.role],
			seeds: () => fleet.seeds,
			links: {
				rpc: async (address: string, call: RpcCall, schema: unknown, {timeoutMs}: {timeoutMs: number}) => fleet.request(this, address, call, timeoutMs),
				replaceConnections: () => undefined,
			} as unknown as PeerClient,
			datagrams: {
				on: (kind: string, schema: unknown, handler: (message: unknown) => void) => {
					this.receivers.set(kind, handler);
				},
				send(message: unknown, {host}: {host: string}) {
					fleet.sendDatagram(info, `${host}:80`, message);
				},
			} as unknown as DatagramPort,
			port,
			random: new RandomSource(seed),
			log: createSilentLogger(),
			clock: monotonicClock,
		});
	}

	/** Handles a datagram. */
	receive(message: readonly unknown[]): void {
		this.receivers.get(message[0])?.(message);
	}

	/** Handles a request over a connection. */
	handle({method, params}: RpcCall): unknown {
		return this.handlers[method]!(params);
	}

	private answerGet({configurationVersion, instancesRevision, era, servicesOnly}: GetParams): unknown {
		return servicesOnly ? this.directory.servicesSnapshot(configurationVersion) : this.directory.snapshot(configurationVersion, instancesRevision, era);
	}
}

/** The processes of a deployment, the network between them and the source. */
export class ReplicaFleet {
	readonly source = new FakeSource();
	readonly processes: ReplicaProcess[] = [];
	/** Datagrams sent so far, and their bytes. */
	readonly sent = {datagrams: 0, bytes: 0, requests: 0};
	/** When each gateway first had each version, in milliseconds of the faked clock, by version and VM. */
	readonly takenAtMs = new Map<number, Map<string, number>>();
	private readonly random: RandomSource;
	private readonly byAddress = new Map<string, ReplicaProcess>();
	private version = 1;

	constructor(seed: number, private readonly clock: Clock) {
		this.random = new RandomSource(seed);
	}

	/** Share of the packets that are lost between two processes. */
	lossBetween: (from: PeerInfo, to: PeerInfo) => number = () => 0;
	/** Whether no packet passes between two processes. */
	isCut: (from: PeerInfo, to: PeerInfo) => boolean = () => false;

	/** Addresses of the first gateways. */
	get seeds(): string[] {
		return this.gateways.slice(0, 3).map(({info}) => info.address);
	}

	/** The gateways, of all zones in turn. */
	get gateways(): ReplicaProcess[] {
		return this.processes.filter(({info}) => isGateway(info));
	}

	/** Adds a process; it runs from {@link start} on. */
	add(role: PeerInfo['role'], index: number, zone: string): void {
		const vm = `${role}-${index}`;
		const info: PeerInfo = {
			vm, startedAtMs: 1, role, zone, region: zone, address: `10.${role === 'gateway' ? 0 : 1}.${Math.floor(index / 200)}.${1 + (index % 200)}:80`,
		};
		const added = new ReplicaProcess(this, info, this.random.nextInt(2 ** 31));
		this.processes.push(added);
		this.byAddress.set(info.address, added);
		if (role === 'gateway') {
			added.directory.onChange(() => {
				this.recordTaken(added);
			});
		}
	}

	/** Starts all processes and waits until they have found each other. */
	async start(): Promise<void> {
		this.source.publish('published', 'op/config', {kind: 'configuration', configuration: testConfiguration(1)});
		for (const {replica} of this.processes) {
			replica.start();
		}

		await this.pass(discoveryMs);
	}

	/** Starts one more process, which knows nothing yet. */
	join(role: PeerInfo['role'], index: number, zone: string): ReplicaProcess {
		this.add(role, index, zone);
		const joined = this.processes.at(-1)!;
		joined.replica.start();
		return joined;
	}

	/** Lets time pass. */
	async pass(ms: number): Promise<void> {
		await this.clock.tickAsync(ms);
	}

	/** Publishes the next configuration, and returns its version. */
	publish(): number {
		this.version++;
		this.source.publish('published', 'op/config', {kind: 'configuration', configuration: testConfiguration(this.version)});
		return this.version;
	}

	/** Publishes configurations in quick succession. */
	async publishStorm(): Promise<Change[]> {
		const changes: Change[] = [];
		for (let number = 0; number < storm.count; number++) {
			await this.pass(storm.intervalMs);
			changes.push({version: this.publish(), atMs: performance.now()});
		}

		return changes;
	}

	/** Cuts one in ten gateways, which have no duty to watch, off from the other gateways. */
	cutOffFromGateways(): void {
		const chosen = this.chooseOrdinary();
		this.isCut = (from, to) => isGateway(from) && isGateway(to) && (chosen.has(from.vm) || chosen.has(to.vm));
	}

	/** Returns some gateways that have no duty to watch, one in ten of all. */
	chooseOrdinary(): Set<string> {
		const ordinary = this.gateways.filter(({replica}) => !replica.isWatching);
		return new Set(ordinary.slice(0, Math.ceil(this.gateways.length / 10)).map(({info}) => info.vm));
	}

	/** Returns how long after `fromMs` a gateway had a version or a newer one, in milliseconds; undefined if it has neither. */
	delayOf(vm: string, version: number, fromMs: number): number | undefined {
		const times = [...this.takenAtMs].filter(([taken]) => taken >= version).flatMap(([, byVm]) => byVm.get(vm) ?? []);
		return times.length === 0 ? undefined : Math.max(0, Math.min(...times) - fromMs);
	}

	/** Stops all processes. */
	stop(): void {
		for (const {replica} of this.processes) {
			replica.stop();
		}
	}

	/** Sends a datagram, which may be lost. */
	sendDatagram(from: PeerInfo, address: string, message: unknown): void {
		const text = JSON.stringify(message);
		this.sent.datagrams++;
		this.sent.bytes += text.length;
		const to = this.byAddress.get(address);
		const sender = this.byAddress.get(from.address)!;
		if (to && !sender.isDown && !this.isCut(from, to.info) && !this.losesPacket(from, to.info)) {
			setTimeout(() => {
				if (!to.isDown) {
					to.receive(JSON.parse(text) as unknown[]);
				}
			}, this.delayBetween(from, to.info));
		}
	}

	/** Sends a request over a connection; without an answer it fails after its timeout. */
	async request(from: ReplicaProcess, address: string, call: RpcCall, timeoutMs: number): Promise<unknown> {
		this.sent.requests++;
		return new Promise((resolve, reject) => {
			const timer = setTimeout(() => {
				reject(new Error('no response'));
			}, timeoutMs);
			this.deliver(from.info, address, to => {
				const answer = JSON.stringify(to.handle(call));
				this.deliver(to.info, from.info.address, () => {
					clearTimeout(timer);
					resolve(JSON.parse(answer));
				});
			});
		});
	}

	/** Delivers a part of a request over a connection, which sends lost packets again. */
	private deliver(from: PeerInfo, address: string, arrive: (to: ReplicaProcess) => void): void {
		const to = this.byAddress.get(address);
		if (!to) {
			return;
		}

		let waitMs = this.delayBetween(from, to.info);
		for (let retryMs = retransmissionMs; this.losesPacket(from, to.info); retryMs *= 2) {
			waitMs += retryMs;
		}

		setTimeout(() => {
			const isBroken = this.isCut(from, to.info) || this.byAddress.get(from.address)!.isDown;
			if (!isBroken && !to.isDown) {
				arrive(to);
			}
		}, waitMs);
	}

	private losesPacket(from: PeerInfo, to: PeerInfo): boolean {
		return this.random.nextInt(1000) < this.lossBetween(from, to) * 1000;
	}

	private delayBetween(from: PeerInfo, to: PeerInfo): number {
		return this.random.jitter(10 * (from.zone === to.zone ? delayMs.sameZone : delayMs.otherZone)) / 10;
	}

	private recordTaken({info, directory}: ReplicaProcess): void {
		const {configurationVersion} = directory;
		const byVm = this.takenAtMs.get(configurationVersion) ?? new Map<string, number>();
		this.takenAtMs.set(configurationVersion, byVm);
		if (!byVm.has(info.vm)) {
			byVm.set(info.vm, performance.now());
		}
	}
}

/**
 * Runs an action with a fleet whose processes know each other.
 *
 * @param size - number of gateways and of stagers, which are in the zones in turn
 */
export async function withReplicas(seed: number, size: {readonly gateways: number; readonly stagers: number; readonly zones: readonly string[]}, action: (fleet: ReplicaFleet) => Promise<void>): Promise<void> {
	const clock = install();
	const fleet = new ReplicaFleet(seed, clock);
	try {
		for (const [role, count] of [['gateway', size.gateways], ['stager', size.stagers]] as const) {
			for (let index = 0; index < count; index++) {
				fleet.add(role, index, size.zones[index % size.zones.length]!);
			}
		}

		await fleet.start();
		await action(fleet);
	} finally {
		fleet.stop();
		clock.uninstall();
	}
}
