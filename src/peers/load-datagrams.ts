/** Exchanges the calls in flight per instance with the other gateways by datagram, and receives the engine states that stagers send. */
import {Buffer} from 'node:buffer';
import dgram from 'node:dgram';
import {z} from 'zod';
import type {InFlightCounts} from '../forwarding/engine-forecast.ts';
import type {InstanceTracker} from '../forwarding/instance-tracker.ts';
import {type ListenAddress, parseAddress} from '../links/http-listener.ts';
import type {Directory} from '../directory/directory.ts';
import {changingDatagramSchema, type EngineDatagram, heldModelDatagramSchema} from '../messages/engine-datagram.ts';
import type {PeerInfo} from '../messages/peers-exchange.ts';
import type {Logger} from '../runtime/logger.ts';

/** Interval between full updates with all counts, in milliseconds; they correct the counts after lost datagrams. */
const fullUpdateIntervalMs = 480;

/**
 * How long a change is held back to be batched with others, in milliseconds.
 *
 * An increase is urgent: another gateway that does not know of a new call sends its next one to the same instance. A decrease may wait.
 */
const batchDelayMs = {increase: 2, decrease: 30};

/** Maximum number of counts in one datagram, at about 30 bytes each. A datagram above 1400 bytes may be fragmented, and is lost with any of its fragments. */
const maxCountsPerDatagram = 40;

/** Calls in flight and unread prompt tokens, by instance. */
const countsSchema = z.record(z.string(), z.tuple([z.number(), z.number()]));

/** Kind, VM of the sender, sequence number and counts: all of them for `load`, the changed ones for `change`. */
const loadDatagramSchema = z.tuple([z.enum(['load', 'change']), z.string(), z.number(), countsSchema]);

const datagramSchema = z.union([loadDatagramSchema, heldModelDatagramSchema, changingDatagramSchema]);

type LoadCounts = z.infer<typeof countsSchema>;

/** Dependencies of {@link LoadDatagrams}. */
export type LoadDatagramsOptions = {
	readonly vm: string;
	readonly tracker: InstanceTracker;
	readonly directory: Directory;
	/** Returns the other gateways. */
	readonly gateways: () => readonly PeerInfo[];
	/** The port on which every gateway receives datagrams. */
	readonly port: number;
	readonly log: Logger;
};

/** Sends this gateway's counts, and passes those of other gateways and the engine states to the {@link InstanceTracker}. */
export class LoadDatagrams {
	private readonly socket = dgram.createSocket('udp4');
	private readonly lastSequence = new Map<string, number>();
	private readonly changedInstances = new Set<string>();
	private fullUpdateTimer: NodeJS.Timeout | undefined;
	private changeTimer: NodeJS.Timeout | undefined;
	private changeDueMs = 0;
	private sequence = Date.now();

	constructor(private readonly options: LoadDatagramsOptions) {
		this.socket.on('message', message => {
			this.handleMessage(message);
		});
		this.socket.on('error', err => {
			options.log.warn({event: 'datagram_failed', err}, 'cannot send or receive datagrams');
		});
	}

	/**
	 * Binds the socket and starts the exchange.
	 *
	 * @param address - the address to receive datagrams at
	 */
	async start(address: ListenAddress): Promise<void> {
		await new Promise<void>(resolve => {
			this.socket.bind(address.port, address.host, resolve);
		});
		this.options.tracker.inFlight.setListener((instance, isIncrease) => {
			this.scheduleChange(instance, isIncrease ? batchDelayMs.increase : batchDelayMs.decrease);
		});
		this.fullUpdateTimer = setInterval(() => {
			this.send('load', Object.fromEntries([...this.options.tracker.inFlight.ownCounts].map(([id, {calls, unreadTokens}]) => [id, [calls, unreadTokens]])));
		}, fullUpdateIntervalMs);
		this.fullUpdateTimer.unref();
	}

	/** Stops the exchange. */
	stop(): void {
		clearInterval(this.fullUpdateTimer);
		clearTimeout(this.changeTimer);
		this.options.tracker.inFlight.setListener(undefined);
		this.socket.close();
	}

	private scheduleChange(instance: string, waitMs: number): void {
		const dueMs = performance.now() + waitMs;
		const isSooner = this.changedInstances.size === 0 || dueMs < this.changeDueMs;
		this.changedInstances.add(instance);
		if (isSooner) {
			clearTimeout(this.changeTimer);
			this.changeDueMs = dueMs;
			this.changeTimer = setTimeout(() => {
				this.sendChanges();
			}, waitMs);
			this.changeTimer.unref();
		}
	}

	private sendChanges(): void {
		const {tracker} = this.options;
		const counts: LoadCounts = {};
		for (const id of this.changedInstances) {
			const {calls, unreadTokens} = tracker.inFlight.ownCountsAt(id);
			counts[id] = [calls, unreadTokens];
		}

		this.changedInstances.clear();
		this.send('change', counts);
	}

	/** Sends counts in as many datagrams as needed. The first one of a full update replaces all counts at the receiver; the others add to it as changes. */
	private send(kind: 'load' | 'change', counts: LoadCounts): void {
		const {vm, gateways, port} = this.options;
		const hosts = gateways().map(({address}) => parseAddress(address).host);
		const all = Object.entries(counts);
		for (let from = 0; from === 0 || from < all.length; from += maxCountsPerDatagram) {
			const part = Object.fromEntries(all.slice(from, from + maxCountsPerDatagram));
			const datagram = Buffer.from(JSON.stringify([from === 0 ? kind : 'change', vm, ++this.sequence, part]));
			for (const host of hosts) {
				this.socket.send(datagram, port, host);
			}
		}
	}

	private handleMessage(message: Buffer): void {
		let datagram: z.infer<typeof datagramSchema>;
		try {
			datagram = datagramSchema.parse(JSON.parse(message.toString('utf8')));
		} catch (err) {
			this.options.log.warn({event: 'datagram_unreadable', bytes: message.length, reason: (err as Error).message.slice(0, 100)}, 'ignoring a datagram that cannot be parsed');
			return;
		}

		if (datagram[0] === 'held' || datagram[0] === 'changing') {
			this.handleEngineDatagram(datagram);
			return;
		}

		const [kind, vm, sequence, counts] = datagram;
		if (sequence <= (this.lastSequence.get(vm) ?? 0)) {
			return;
		}

		this.lastSequence.set(vm, sequence);
		const peerCounts = new Map(Object.entries(counts).map(([id, [calls, unreadTokens]]): [string, InFlightCounts] => [id, {calls, unreadTokens}]));
		const {tracker} = this.options;
		if (kind === 'load') {
			tracker.inFlight.replacePeerCounts(vm, peerCounts);
		} else {
			tracker.inFlight.updatePeerCounts(vm, peerCounts);
		}
	}

	private handleEngineDatagram(datagram: EngineDatagram): void {
		const {directory, tracker} = this.options;
		const [kind, address, startedAtMs] = datagram;
		const instance = directory.instances.find(item => item.address === address && item.startedAtMs === startedAtMs);
		if (kind === 'held') {
			directory.recordHeldModel(address, startedAtMs, datagram[3]);
			if (instance) {
				tracker.recordLoaded(instance.id);
			}
		} else if (instance) {
			tracker.recordLoading(instance.id);
		}
	}
}
