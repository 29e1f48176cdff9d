/** The stager's side of the load counts: receives the reports of gateways about the engine on the same VM, and answers their questions. */
import type {DatagramPort} from '../links/datagram-port.ts';
import {askDatagramSchema, countDatagramSchema, type LoadDatagram} from '../messages/load-datagram.ts';
import type {ListeningClock} from '../runtime/pause-detector.ts';
import {CallCounter} from './call-counter.ts';
import {asTrailing, ObservationRelay} from './engine-observation.ts';

/**
 * Counts the calls that gateways report, and answers their questions.
 *
 * @param datagrams - the port on which they are received
 * @param clock - tells for how long this process could hear reports
 */
export function serveCallCounter(datagrams: DatagramPort, clock: ListeningClock): void {
	const counter = new CallCounter(clock);
	const relay = new ObservationRelay();
	datagrams.on('count', countDatagramSchema, ([, gateway, sequence, [calls, unreadTokens], observation]) => {
		counter.report(gateway, sequence, {calls, unreadTokens});
		if (observation) {
			relay.record(observation, performance.now());
		}
	});
	datagrams.on('ask', askDatagramSchema, ([, gateway, instance], from) => {
		const {calls, unreadTokens} = counter.othersThan(gateway);
		datagrams.send(['load', instance, [calls, unreadTokens], ...asTrailing(relay.current(performance.now()))] satisfies LoadDatagram, from);
	});
}
