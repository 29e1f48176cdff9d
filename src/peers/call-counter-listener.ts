/** The stager's side of the load counts: receives the reports of gateways about the engine on the same VM, and answers their questions. */
import type {DatagramPort} from '../links/datagram-port.ts';
import {
	type AskDatagram, askDatagramSchema, countDatagramSchema, type LoadDatagram,
} from '../messages/load-datagram.ts';
import {UrgencyPressure} from '../placement/urgency-pressure.ts';
import type {ListeningClock} from '../runtime/pause-detector.ts';
import {CallCounter} from './call-counter.ts';
import {decodeReport, encodeYields} from './urgency-wire.ts';

/**
 * Counts the calls that gateways report, and answers their questions.
 *
 * @param datagrams - the port on which they are received
 * @param clock - tells for how long this process could hear reports
 */
export function serveCallCounter(datagrams: DatagramPort, clock: ListeningClock): void {
	const counter = new CallCounter(clock);
	const pressure = new UrgencyPressure();
	const takeReport = (urgency: NonNullable<AskDatagram[3]>) => {
		pressure.record(decodeReport(urgency), clock.listeningMs);
		return pressure.yields(clock.listeningMs);
	};

	datagrams.on('count', countDatagramSchema, ([, gateway, sequence, [calls, unreadTokens]]) => {
		counter.report(gateway, sequence, {calls, unreadTokens});
	});
	datagrams.on('ask', askDatagramSchema, ([, gateway, instance, urgency], from) => {
		const {calls, unreadTokens} = counter.othersThan(gateway);
		const answer: LoadDatagram = ['load', instance, [calls, unreadTokens]];
		const yields = urgency && takeReport(urgency);
		datagrams.send(yields?.length ? [...answer, encodeYields(yields)] : answer, from);
	});
}
