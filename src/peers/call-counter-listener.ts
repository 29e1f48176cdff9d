/** The stager's side of the load counts: receives the reports of gateways about the engine on the same VM, and answers their questions. */
import {DatagramSocket} from '../links/datagram-socket.ts';
import type {ListenAddress} from '../links/http-listener.ts';
import {type CounterDatagram, counterDatagramSchema, type LoadDatagram} from '../messages/load-datagram.ts';
import type {Logger} from '../runtime/logger.ts';
import {CallCounter} from './call-counter.ts';

/** Receives reports and answers questions by datagram. */
export class CallCounterListener {
	private readonly counter = new CallCounter();
	private readonly socket: DatagramSocket<CounterDatagram>;

	/** @param log - logs socket errors and unreadable datagrams */
	constructor(log: Logger) {
		this.socket = new DatagramSocket(counterDatagramSchema, (message, from) => {
			this.handleMessage(message, from);
		}, log);
	}

	/**
	 * Starts to receive.
	 *
	 * @param address - host and port to bind
	 */
	async start(address: ListenAddress): Promise<void> {
		await this.socket.start(address);
	}

	/** Stops receiving. */
	stop(): void {
		this.socket.close();
	}

	private handleMessage(message: CounterDatagram, from: ListenAddress): void {
		const [kind, gateway, number] = message;
		if (kind === 'count') {
			const [calls, unreadTokens] = message[3];
			this.counter.report(gateway, number, {calls, unreadTokens});
			return;
		}

		const {calls, unreadTokens} = this.counter.othersThan(gateway);
		const answer: LoadDatagram = ['load', number, [calls, unreadTokens]];
		this.socket.send(answer, from);
	}
}
