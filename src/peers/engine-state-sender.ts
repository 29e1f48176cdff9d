/** Sends the state of the engine beside this process to the gateways by datagram. */
import type {DatagramPort} from '../links/datagram-port.ts';
import {parseAddress} from '../links/http-listener.ts';
import type {EngineDatagram} from '../messages/engine-datagram.ts';
import type {PeerInfo} from '../messages/peers-exchange.ts';

/** How often each state is sent, since datagrams may be lost, and the interval between, in milliseconds. */
const sendCount = 3;
const sendIntervalMs = 150;

/** Sends which model an engine has loaded, or that it is loading another one. */
export class EngineStateSender {
	/**
	 * @param datagrams - sends the datagrams
	 * @param gateways - returns the gateways to send to
	 * @param port - the port on which every gateway receives datagrams
	 */
	constructor(private readonly datagrams: DatagramPort, private readonly gateways: () => readonly PeerInfo[], private readonly port: number) {}

	/** Sends the state to all gateways, {@link sendCount} times. */
	send(state: EngineDatagram): void {
		for (let index = 0; index < sendCount; index++) {
			setTimeout(() => {
				for (const {address} of this.gateways()) {
					this.datagrams.send(state, {host: parseAddress(address).host, port: this.port});
				}
			}, index * sendIntervalMs).unref();
		}
	}
}
