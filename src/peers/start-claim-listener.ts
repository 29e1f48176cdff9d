/** The stager's side of the starts at a cold engine: grants them, over all gateways, as the only one that does. */
import type {DatagramPort} from '../links/datagram-port.ts';
import {claimDatagramSchema, type ClaimedDatagram} from '../messages/start-claim-datagram.ts';
import {StartLimiter} from '../placement/start-limiter.ts';

/**
 * Answers the claims of gateways.
 *
 * @param datagrams - the port on which they are received
 * @param gatewayCount - returns how many gateways this process knows
 */
export function serveStartClaims(datagrams: DatagramPort, gatewayCount: () => number): void {
	const limiter = new StartLimiter(performance.now());
	datagrams.on('claim', claimDatagramSchema, ([, number, , intervalMs, toleranceMs], from) => {
		const {isAllowed, waitMs} = limiter.claim(performance.now(), {intervalMs, toleranceMs});
		datagrams.send(['claimed', number, isAllowed, Math.ceil(waitMs), gatewayCount()] satisfies ClaimedDatagram, from);
	});
}
