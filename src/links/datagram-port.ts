/** A UDP port for small JSON messages, which may be lost. A message is an array whose first element names its kind. */
import {Buffer} from 'node:buffer';
import dgram from 'node:dgram';
import type {ZodType} from 'zod';
import type {Logger} from '../runtime/logger.ts';
import type {ListenAddress} from './http-listener.ts';

/** Minimum interval between two log lines about datagrams that cannot be read, in milliseconds. */
const unreadableLogIntervalMs = 1000;

type Receiver = (message: unknown, from: ListenAddress) => void;

/** Sends messages, and passes received ones to the handler of their kind. */
export class DatagramPort {
	private readonly socket = dgram.createSocket('udp4');
	private readonly receivers = new Map<unknown, Receiver>();
	private isClosed = false;
	private unreadableCount = 0;
	private unreadableLoggedAtMs = Number.NEGATIVE_INFINITY;

	/** @param log - logs socket errors and unreadable datagrams */
	constructor(private readonly log: Logger) {
		this.socket.on('message', (bytes, {address, port}) => {
			this.receive(bytes, {host: address, port});
		});
		this.socket.on('error', err => {
			log.warn({event: 'datagram_failed', err}, 'cannot send or receive datagrams');
		});
	}

	/**
	 * Registers the handler of a kind of message.
	 *
	 * @param schema - validates the message; invalid ones are logged and dropped
	 * @param handler - receives the message and the address that it came from
	 */
	on<Message>(kind: string, schema: ZodType<Message>, handler: (message: Message, from: ListenAddress) => void): void {
		this.receivers.set(kind, (message, from) => {
			handler(schema.parse(message), from);
		});
	}

	/**
	 * Starts to receive.
	 *
	 * @param address - host and port to bind
	 */
	async start(address: ListenAddress): Promise<void> {
		return new Promise((resolve, reject) => {
			this.socket.once('error', reject);
			this.socket.bind(address.port, address.host, () => {
				this.socket.off('error', reject);
				resolve();
			});
		});
	}

	/** Sends a message; it may be lost. Does nothing after the port was closed. */
	send(message: unknown, {host, port}: ListenAddress): void {
		if (this.isClosed) {
			return;
		}

		try {
			this.socket.send(Buffer.from(JSON.stringify(message)), port, host);
		} catch (err) {
			// Node.js throws for a port that does not exist.
			this.log.warn({
				event: 'datagram_failed', err, host, port,
			}, 'cannot send a datagram to this address');
		}
	}

	/** Closes the port. */
	close(): void {
		this.isClosed = true;
		this.socket.close();
	}

	private receive(bytes: Buffer, from: ListenAddress): void {
		try {
			const message: unknown = JSON.parse(bytes.toString('utf8'));
			const receiver = this.receivers.get(Array.isArray(message) ? message[0] : undefined);
			if (!receiver) {
				throw new Error('unknown kind of message');
			}

			receiver(message, from);
		} catch (err) {
			this.logUnreadable(bytes.length, err as Error);
		}
	}

	private logUnreadable(bytes: number, err: Error): void {
		this.unreadableCount++;
		if (performance.now() - this.unreadableLoggedAtMs >= unreadableLogIntervalMs) {
			this.unreadableLoggedAtMs = performance.now();
			this.log.warn({
				event: 'datagram_unreadable', bytes, count: this.unreadableCount, reason: err.message.slice(0, 100),
			}, 'ignoring a datagram that cannot be read');
		}
	}
}
