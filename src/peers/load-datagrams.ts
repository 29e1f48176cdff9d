/** Tells other entries by datagram how many calls this one has at each instance, and takes what stagers tell of their engines. */
import {Buffer} from 'node:buffer';
import dgram from 'node:dgram';
import {z} from 'zod';
import type {InstanceUse, UseCount} from '../forwarding/instance-use.ts';
import type {ListenAddress} from '../links/http-listener.ts';
import type {Directory} from '../directory/directory.ts';
import {heldDatagramSchema} from '../messages/held-datagram.ts';
import type {PeerInfo} from '../messages/peers-exchange.ts';
import type {Logger} from '../runtime/logger.ts';

/** Time between two datagrams while counts change, in milliseconds. */
const sendIntervalMs = 120;

/** Without changes, every so many intervals are told, so that the counts stay fresh. */
const repeatEvery = 4;

/** The largest datagram, in bytes; larger ones may be split on the way. */
const maxBytes = 1400;

/** VM, sequence number, then calls and unread tokens by instance. */
const loadSchema = z.tuple([z.literal('load'), z.string(), z.number(), z.record(z.string(), z.tuple([z.number(), z.number()]))]);

const datagramSchema = z.union([loadSchema, heldDatagramSchema]);

/** What the exchange works with. */
export type LoadDatagramsOptions = {
	readonly vm: string;
	readonly use: InstanceUse;
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
	private timer: NodeJS.Timeout | undefined;
	private sequence = Date.now();
	private lastText = '';
	private quietRounds = 0;

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
		this.timer = setInterval(() => {
			this.send();
		}, sendIntervalMs);
		this.timer.unref();
	}

	/** Stops the exchange. */
	stop(): void {
		clearInterval(this.timer);
		this.socket.close();
	}

	private send(): void {
		const {vm, use, entries, port} = this.options;
		const counts = Object.fromEntries([...use.counts].map(([id, {calls, unreadTokens}]) => [id, [calls, unreadTokens]]));
		const text = JSON.stringify(counts);
		this.quietRounds = text === this.lastText ? this.quietRounds + 1 : 0;
		this.lastText = text;
		if (this.quietRounds % repeatEvery !== 0) {
			return;
		}

		const datagram = Buffer.from(JSON.stringify(['load', vm, ++this.sequence, counts]));
		if (datagram.length > maxBytes) {
			return;
		}

		for (const {address} of entries()) {
			this.socket.send(datagram, port, address.slice(0, address.lastIndexOf(':')));
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

		if (datagram[0] === 'held') {
			const [, address, startedAtMs, held] = datagram;
			this.options.directory.noteHeld(address, startedAtMs, held);
			return;
		}

		const [, vm, sequence, counts] = datagram;
		if (sequence <= (this.lastSequence.get(vm) ?? 0)) {
			return;
		}

		this.lastSequence.set(vm, sequence);
		this.options.use.setPeerCounts(vm, new Map(Object.entries(counts).map(([id, [calls, unreadTokens]]): [string, UseCount] => [id, {calls, unreadTokens}])));
	}
}
