/** Tells entries by datagram what the engine beside this process holds, and when it changes. */
import {Buffer} from 'node:buffer';
import dgram from 'node:dgram';
import {parseAddress} from '../links/http-listener.ts';
import type {EngineDatagram} from '../messages/engine-datagram.ts';
import type {PeerInfo} from '../messages/peers-exchange.ts';
import type {Logger} from '../runtime/logger.ts';

/** How often news is told, since datagrams get lost, and the time between, in milliseconds. */
const repeats = 3;
const repeatMs = 150;

/** Sends news of one engine. */
export class HeldSender {
	private readonly socket = dgram.createSocket('udp4');

	/**
	 * @param entries - returns the entries to tell
	 * @param port - the port on which every entry takes datagrams
	 * @param log - receives failures
	 */
	constructor(private readonly entries: () => readonly PeerInfo[], private readonly port: number, log: Logger) {
		this.socket.unref();
		this.socket.on('error', err => {
			log.warn({event: 'datagram_failed', err}, 'a datagram could not be sent');
		});
	}

	/**
	 * Tells all entries.
	 *
	 * @param news - what the engine holds, or that it changes
	 */
	tell(news: EngineDatagram): void {
		const datagram = Buffer.from(JSON.stringify(news));
		for (let at = 0; at < repeats; at++) {
			setTimeout(() => {
				for (const {address} of this.entries()) {
					this.socket.send(datagram, this.port, parseAddress(address).host);
				}
			}, at * repeatMs).unref();
		}
	}
}
