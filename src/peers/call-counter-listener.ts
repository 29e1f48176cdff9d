/** The stager's side of the load counts: receives the reports of gateways about the engine on the same VM, and answers their questions. */
import type {DatagramPort} from '../links/datagram-port.ts';
import {
	type AskDatagram, askDatagramSchema, countDatagramSchema, type LoadDatagram,
} from '../messages/load-datagram.ts';
import {UrgencyPressure} from '../placement/urgency-pressure.ts';
import type {ListeningClock} from '../runtime/pause-detector.ts';
import {CallCounter} from './call-counter.ts';
import {asTrailing, ObservationRelay} from './engine-observation.ts';
import {decodeReport, encodeYields} from './urgency-wire.ts';

/**
 * Counts the calls that gateways report, and answers their questions.
 *
 * @param datagrams - the port on which they are received
 * @param clock - tells for how long this process could hear reports
 */
export function serveCallCounter(datagrams: DatagramPort, clock: ListeningClock): void {
	const counter = new CallCounter(clock);
	const relay = new ObservationRelay();
	const pressure = new UrgencyPressure();
	/** Gateways of earlier versions give no urgency, and refuse answers with extras. */
	const createExtras = (urgency: NonNullable<AskDatagram[3]>) => {
		pressure.record(decodeReport(urgency), clock.listeningMs);
		const yields = pressure.yields(clock.listeningMs);
		return {...relay.current(performance.now()), ...(yields?.length ? encodeYields(yields) : {})};
	};

	datagrams.on('count', countDatagramSchema, ([, gateway, sequence, [calls, unreadTokens], observation]) => {
		counter.report(gateway, sequence, {calls, unreadTokens});
		if (observation) {
			relay.record(observation, performance.now());
		}
	});
	datagrams.on('ask', askDatagramSchema, ([, gateway, instance, urgency], from) => {
		const {calls, unreadTokens} = counter.othersThan(gateway);
		const extras = urgency && createExtras(urgency);
		datagrams.send(['load', instance, [calls, unreadTokens], ...asTrailing(extras)] satisfies LoadDatagram, from);
	});
}
