/** Sends the state of the engine beside this process to the gateways by datagram. */
import {Buffer} from 'node:buffer';
import dgram from 'node:dgram';
import {parseAddress} from '../links/http-listener.ts';
import type {EngineDatagram} from '../messages/engine-datagram.ts';
import type {PeerInfo} from '../messages/peers-exchange.ts';
import type {Logger} from '../runtime/logger.ts';

/** How often each state is sent, since datagrams may be lost, and the interval between, in milliseconds. */
const sendCount = 3;
const sendIntervalMs = 150;

/** Sends which model an engine has loaded, or that it is loading another one. */
export class EngineStateSender {
	private readonly socket = dgram.createSocket('udp4');

	/**
	 * @param gateways - returns the gateways to send to
	 * @param port - the port on which every gateway receives datagrams
	 * @param log - logs socket errors
	 */
	constructor(private readonly gateways: () => readonly PeerInfo[], private readonly port: number, log: Logger) {
		this.socket.unref();
		this.socket.on('error', err => {
			log.warn({event: 'datagram_failed', err}, 'cannot send a datagram');
		});
	}

	/** Sends the state to all gateways, {@link sendCount} times. */
	send(state: EngineDatagram): void {
		const datagram = Buffer.from(JSON.stringify(state));
		for (let index = 0; index < sendCount; index++) {
			setTimeout(() => {
				for (const {address} of this.gateways()) {
					this.socket.send(datagram, this.port, parseAddress(address).host);
				}
			}, index * sendIntervalMs).unref();
		}
	}
}
