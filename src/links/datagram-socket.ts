/** A UDP socket for small JSON messages, which may be lost. */
import {Buffer} from 'node:buffer';
import dgram from 'node:dgram';
import type {ZodType} from 'zod';
import type {Logger} from '../runtime/logger.ts';
import type {ListenAddress} from './http-listener.ts';

/** Interval between two log lines about datagrams that cannot be parsed, in milliseconds. */
const unreadableLogIntervalMs = 1000;

/** Sends JSON messages by datagram, and passes received ones that match a schema to a handler. */
export class DatagramSocket<Message> {
	private readonly socket = dgram.createSocket('udp4');
	private unreadable = 0;
	private unreadableLoggedAtMs = Number.NEGATIVE_INFINITY;

	/**
	 * @param schema - validates received messages; others are logged and dropped
	 * @param handleMessage - receives each message and the address that it came from
	 * @param log - logs socket errors and unreadable datagrams
	 */
	constructor(private readonly schema: ZodType<Message>, handleMessage: (message: Message, from: ListenAddress) => void, private readonly log: Logger) {
		this.socket.on('message', (bytes, {address, port}) => {
			const message = this.parse(bytes);
			if (message !== undefined) {
				handleMessage(message, {host: address, port});
			}
		});
		this.socket.on('error', err => {
			log.warn({event: 'datagram_failed', err}, 'cannot send or receive datagrams');
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

	/** Sends a message; it may be lost. */
	send(message: unknown, {host, port}: ListenAddress): void {
		this.socket.send(Buffer.from(JSON.stringify(message)), port, host);
	}

	/** Closes the socket. */
	close(): void {
		this.socket.close();
	}

	private parse(bytes: Buffer): Message | undefined {
		try {
			return this.schema.parse(JSON.parse(bytes.toString('utf8')));
		} catch (err) {
			this.unreadable++;
			if (performance.now() - this.unreadableLoggedAtMs >= unreadableLogIntervalMs) {
				this.unreadableLoggedAtMs = performance.now();
				this.log.warn({
					event: 'datagram_unreadable', bytes: bytes.length, count: this.unreadable, reason: (err as Error).message.slice(0, 100),
				}, 'ignoring datagrams that cannot be parsed');
			}

			return undefined;
		}
	}
}
