/** Tells other entries by datagram how many calls this one has at each instance, and takes what stagers tell of their engines. */
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

/** Time between two tellings of all counts, in milliseconds; they replace what lost datagrams told. */
const tellAllMs = 480;

/**
 * How long a change waits for others, in milliseconds.
 *
 * Another entry that does not know of a new call sends its next one to the same instance; that a place became free may wait.
 */
const gatherMs = {more: 2, less: 30};

/** Counts in one datagram, about 30 bytes each; a datagram above 1400 bytes may be split on the way, and lost with any part. */
const countsPerDatagram = 40;

/** Calls and unread tokens by instance. */
const countsSchema = z.record(z.string(), z.tuple([z.number(), z.number()]));

/** What it is, VM, sequence number, then all counts, or those that changed. */
const loadSchema = z.tuple([z.enum(['load', 'change']), z.string(), z.number(), countsSchema]);

const datagramSchema = z.union([loadSchema, heldModelDatagramSchema, changingDatagramSchema]);

type Counts = z.infer<typeof countsSchema>;

/** What the exchange works with. */
export type LoadDatagramsOptions = {
	readonly vm: string;
	readonly tracker: InstanceTracker;
	readonly directory: Directory;
	/** The other entries. */
	readonly entries: () => readonly PeerInfo[];
	/** The port on which every entry takes datagrams. */
	readonly port: number;
	readonly log: Logger;
};

/** Sends and takes counts. */
export class LoadDatagrams {
	private readonly socket = dgram.createSocket('udp4');
	private readonly lastSequence = new Map<string, number>();
	private readonly changed = new Set<string>();
	private allTimer: NodeJS.Timeout | undefined;
	private changeTimer: NodeJS.Timeout | undefined;
	private changeDueMs = 0;
	private sequence = Date.now();

	/** @param options - what the exchange works with */
	constructor(private readonly options: LoadDatagramsOptions) {
		this.socket.on('message', message => {
			this.take(message);
		});
		this.socket.on('error', err => {
			options.log.warn({event: 'datagram_failed', err}, 'a datagram could not be sent or taken');
		});
	}

	/**
	 * Starts the exchange.
	 *
	 * @param address - where datagrams are taken
	 */
	async start(address: ListenAddress): Promise<void> {
		await new Promise<void>(resolve => {
			this.socket.bind(address.port, address.host, resolve);
		});
		this.options.tracker.inFlight.setListener((instance, isMore) => {
			this.noteChange(instance, isMore ? gatherMs.more : gatherMs.less);
		});
		this.allTimer = setInterval(() => {
			this.tell('load', Object.fromEntries([...this.options.tracker.inFlight.ownCounts].map(([id, {calls, unreadTokens}]) => [id, [calls, unreadTokens]])));
		}, tellAllMs);
		this.allTimer.unref();
	}

	/** Stops the exchange. */
	stop(): void {
		clearInterval(this.allTimer);
		clearTimeout(this.changeTimer);
		this.options.tracker.inFlight.setListener(undefined);
		this.socket.close();
	}

	private noteChange(instance: string, waitMs: number): void {
		const dueMs = performance.now() + waitMs;
		const isSooner = this.changed.size === 0 || dueMs < this.changeDueMs;
		this.changed.add(instance);
		if (isSooner) {
			clearTimeout(this.changeTimer);
			this.changeDueMs = dueMs;
			this.changeTimer = setTimeout(() => {
				this.tellChanges();
			}, waitMs);
			this.changeTimer.unref();
		}
	}

	private tellChanges(): void {
		const {tracker} = this.options;
		const counts: Counts = {};
		for (const id of this.changed) {
			const {calls, unreadTokens} = tracker.inFlight.ownCountsAt(id);
			counts[id] = [calls, unreadTokens];
		}

		this.changed.clear();
		this.tell('change', counts);
	}

	/** The first datagram of all counts replaces what was told before; further ones add to it. */
	private tell(kind: 'load' | 'change', counts: Counts): void {
		const {vm, entries, port} = this.options;
		const hosts = entries().map(({address}) => parseAddress(address).host);
		const all = Object.entries(counts);
		for (let from = 0; from === 0 || from < all.length; from += countsPerDatagram) {
			const part = Object.fromEntries(all.slice(from, from + countsPerDatagram));
			const datagram = Buffer.from(JSON.stringify([from === 0 ? kind : 'change', vm, ++this.sequence, part]));
			for (const host of hosts) {
				this.socket.send(datagram, port, host);
			}
		}
	}

	private take(message: Buffer): void {
		let datagram: z.infer<typeof datagramSchema>;
		try {
			datagram = datagramSchema.parse(JSON.parse(message.toString('utf8')));
		} catch (err) {
			this.options.log.warn({event: 'datagram_unreadable', bytes: message.length, reason: (err as Error).message.slice(0, 100)}, 'unreadable datagram');
			return;
		}

		if (datagram[0] === 'held' || datagram[0] === 'changing') {
			this.takeEngine(datagram);
			return;
		}

		const [kind, vm, sequence, counts] = datagram;
		if (sequence <= (this.lastSequence.get(vm) ?? 0)) {
			return;
		}

		this.lastSequence.set(vm, sequence);
		const taken = new Map(Object.entries(counts).map(([id, [calls, unreadTokens]]): [string, InFlightCounts] => [id, {calls, unreadTokens}]));
		const {tracker} = this.options;
		if (kind === 'load') {
			tracker.inFlight.replacePeerCounts(vm, taken);
		} else {
			tracker.inFlight.updatePeerCounts(vm, taken);
		}
	}

	private takeEngine(datagram: EngineDatagram): void {
		const {directory, tracker} = this.options;
		const [kind, address, startedAtMs] = datagram;
		const instance = directory.instances.find(item => item.address === address && item.startedAtMs === startedAtMs);
		if (kind === 'held') {
			directory.noteHeld(address, startedAtMs, datagram[3]);
			if (instance) {
				tracker.recordLoaded(instance.id);
			}
		} else if (instance) {
			tracker.recordLoading(instance.id);
		}
	}
}
