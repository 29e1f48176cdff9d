/**
 * Spreads what gateways find out about crashes of upstreams. A gateway passes each new fact on to a few random others, so that what it
 * sends for a fact does not depend on the size of the fleet. Held parts are repeated, for gateways that have just started or were cut off.
 */
import type {DatagramPort} from '../links/datagram-port.ts';
import {parseAddress} from '../links/http-listener.ts';
import {type CrashDatagram, crashDatagramSchema} from '../messages/crash-datagram.ts';
import type {PeerInfo} from '../messages/peers-exchange.ts';
import type {CrashNews, Hold} from '../quarantine/prompt-quarantine.ts';
import type {RandomSource} from '../runtime/random-source.ts';

/** Number of gateways that a fact is passed on to, in the own zone and in other zones. */
const fanout = {local: 4, remote: 3};

/** How long facts are gathered before they are sent, in milliseconds. */
const batchDelayMs = 2;

/** Interval at which held parts are repeated, in milliseconds. */
const repeatIntervalMs = 1000;

/** Maximum number of calls, survivals or holds in a datagram, so that it fits into one packet. */
const itemsPerDatagram = {calls: 8, survivals: 24, holds: 12};

/** Dependencies of a {@link CrashGossip}. */
export type CrashGossipOptions = {
	/** The zone of this gateway. */
	readonly zone: string;
	/** Returns the other processes. */
	readonly others: () => readonly PeerInfo[];
	readonly datagrams: DatagramPort;
	/** The number of the port on which all processes receive datagrams. */
	readonly port: number;
	readonly random: RandomSource;
	readonly mergeNews: (news: CrashNews) => void;
	/** Returns the parts that this gateway holds. */
	readonly holds: () => readonly Hold[];
};

/** Sends and receives news of crashes. */
export class CrashGossip {
	private queued: CrashDatagram[] = [];
	private sendTimer: NodeJS.Timeout | undefined;
	private repeatTimer: NodeJS.Timeout | undefined;

	/** @param options - dependencies */
	constructor(private readonly options: CrashGossipOptions) {}

	/** Starts to take news, and to repeat held parts. */
	start(): void {
		const {datagrams, mergeNews, holds, random} = this.options;
		datagrams.on('crash', crashDatagramSchema, datagram => {
			mergeNews(decodeNews(datagram));
		});
		this.repeatTimer = setInterval(() => {
			this.tell({holds: random.sample(holds(), itemsPerDatagram.holds)});
		}, repeatIntervalMs);
		this.repeatTimer.unref();
	}

	/** Stops sending. */
	stop(): void {
		clearInterval(this.repeatTimer);
		clearTimeout(this.sendTimer);
	}

	/** Tells a few other gateways. */
	tell(news: Partial<CrashNews>): void {
		const datagrams = encodeNews(news);
		if (datagrams.length > 0) {
			this.queued.push(...datagrams);
			this.sendTimer ??= setTimeout(() => {
				this.sendTimer = undefined;
				this.send();
			}, batchDelayMs).unref();
		}
	}

	private send(): void {
		const {zone: ownZone, others, datagrams, port, random} = this.options;
		const gateways = others().filter(({role}) => role === 'gateway');
		const local = random.sample(gateways.filter(({zone}) => zone === ownZone), fanout.local);
		const remote = random.sample(gateways.filter(({zone}) => zone !== ownZone), fanout.remote);
		for (const {address} of [...local, ...remote]) {
			for (const datagram of this.queued) {
				datagrams.send(datagram, {host: parseAddress(address).host, port});
			}
		}

		this.queued = [];
	}
}

/** Returns the news as datagrams that each fit into one packet. */
function encodeNews({crashes = [], survivals = [], holds = []}: Partial<CrashNews>): CrashDatagram[] {
	const nowMs = performance.now();
	const age = (atMs: number) => Math.max(0, Math.round(nowMs - atMs));
	return [
		...crashes.flatMap(({id, atMs, calls}) => slice(calls, itemsPerDatagram.calls).map((items): CrashDatagram => ['crash', [[id, age(atMs), items.map(parts => [...parts])]], [], []])),
		...slice(survivals, itemsPerDatagram.survivals).map((items): CrashDatagram => ['crash', [], items.map(({part, atMs}) => [part, age(atMs)]), []]),
		...slice(holds, itemsPerDatagram.holds).map((items): CrashDatagram => ['crash', [], [], items.map(({part, rivals, lastCrashMs, trials, nextTrialMs}) =>
			[part, [...rivals], age(lastCrashMs), trials, Math.round(nextTrialMs - nowMs)])]),
	];
}

function decodeNews([, crashes, survivals, holds]: CrashDatagram): CrashNews {
	const nowMs = performance.now();
	return {
		crashes: crashes.map(([id, ageMs, calls]) => ({id, atMs: nowMs - ageMs, calls})),
		survivals: survivals.map(([part, ageMs]) => ({part, atMs: nowMs - ageMs})),
		holds: holds.map(([part, rivals, ageMs, trials, trialInMs]) => ({
			part, rivals, lastCrashMs: nowMs - ageMs, trials, nextTrialMs: nowMs + trialInMs,
		})),
	};
}

function slice<T>(items: readonly T[], size: number): T[][] {
	return Array.from({length: Math.ceil(items.length / size)}, (_, at) => items.slice(at * size, (at + 1) * size));
}
