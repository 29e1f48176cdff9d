/**
 * Spreads what gateways find out about crashes of upstreams. A gateway passes each new fact on to a few random others, so that what it
 * sends for a fact does not depend on the size of the fleet. Held parts are repeated, for gateways that have just started or were cut off.
 */
import type {DatagramPort} from '../links/datagram-port.ts';
import {parseAddress} from '../links/http-listener.ts';
import {type CrashDatagram, crashDatagramSchema, maxDistanceMs} from '../messages/crash-datagram.ts';
import type {PeerInfo} from '../messages/peers-exchange.ts';
import type {PromptPartId} from '../ids/prompt-part-id.ts';
import type {Crash} from '../quarantine/crash-detector.ts';
import type {Hold} from '../quarantine/hold.ts';
import type {CrashNews} from '../quarantine/prompt-quarantine.ts';
import type {RandomSource} from '../runtime/random-source.ts';

/** Number of gateways that a fact is passed on to, in the own zone and in other zones. */
const fanout = {local: 3, remote: 2};

/** How long facts are gathered before they are sent together, in milliseconds. */
const batchDelayMs = 5;

/**
 * How long a datagram may have been under way, in milliseconds. A survival counts from the earliest time that it may have had: otherwise it
 * would seem newer with each gateway that passes it on, and be told for ever.
 */
const maxDelayMs = 250;

/** Interval at which held parts are repeated, in milliseconds. */
const repeatIntervalMs = 1000;

/** Approximate limit of a datagram, in characters, so that it fits into one packet. */
const maxDatagramLength = 1200;

/** Approximate limit of the lists of parts in one fact, in characters; the rest of its datagram is for the ID of the crash. */
const maxListsLength = 1000;

/** Maximum number of held parts that are repeated at a time. */
const maxRepeatedHolds = 12;

/** Maximum number of lists of parts in one fact. */
const maxLists = 32;

/** Dependencies of a {@link CrashGossip}. */
export type CrashGossipOptions = {
	/** The zone of this gateway. */
	readonly zone: string;
	/** Returns the other processes. */
	readonly others: () => readonly PeerInfo[];
	readonly datagrams: Pick<DatagramPort, 'on' | 'send'>;
	/** The number of the port on which all processes receive datagrams. */
	readonly port: number;
	readonly random: RandomSource;
	readonly mergeNews: (news: CrashNews) => void;
	/** Returns the parts that this gateway holds. */
	readonly holds: () => readonly Hold[];
};

/** Sends and receives news of crashes. */
export class CrashGossip {
	private queued: Fact[] = [];
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
			this.tell({holds: random.sample(holds(), maxRepeatedHolds)});
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
		this.queued.push(...listFacts(news));
		if (this.queued.length > 0) {
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
		const messages = packFacts(this.queued);
		this.queued = [];
		for (const {address} of [...local, ...remote]) {
			for (const message of messages) {
				datagrams.send(message, {host: parseAddress(address).host, port});
			}
		}
	}
}

/** One fact as an entry of the list at `at` in a {@link CrashDatagram}. */
type Fact = {readonly at: 1 | 2 | 3; readonly entry: readonly unknown[]; readonly length: number};

function listFacts({crashes = [], survivals = [], holds = []}: Partial<CrashNews>): Fact[] {
	const nowMs = performance.now();
	const age = (atMs: number) => Math.min(maxDistanceMs, Math.max(0, Math.round(nowMs - atMs)));
	const fact = (at: Fact['at'], entry: readonly unknown[]): Fact => ({at, entry, length: JSON.stringify(entry).length});
	return [
		...crashes.flatMap(({id, atMs, calls}) => groupLists(calls).map(lists => fact(1, [id, age(atMs), lists]))),
		...survivals.map(({part, atMs}) => fact(2, [part, age(atMs)])),
		...holds.map(({part, rivals, lastCrashMs, trials, nextTrialMs}) => fact(3, [part, rivals, age(lastCrashMs), trials, Math.max(-maxDistanceMs, Math.round(nextTrialMs - nowMs))])),
	];
}

/** Returns datagrams with all facts, each of which fits into one packet. */
function packFacts(facts: readonly Fact[]): CrashDatagram[] {
	const datagrams: Array<[string, unknown[], unknown[], unknown[]]> = [];
	let freeLength = 0;
	for (const {at, entry, length} of facts) {
		if (length > freeLength) {
			datagrams.push(['crash', [], [], []]);
			freeLength = maxDatagramLength;
		}

		datagrams.at(-1)![at].push(entry);
		freeLength -= length;
	}

	return datagrams as CrashDatagram[];
}

function decodeNews([, crashes, survivals, holds]: CrashDatagram): CrashNews {
	const nowMs = performance.now();
	return {
		crashes: crashes.map(([id, ageMs, calls]) => ({id, atMs: nowMs - ageMs, calls})),
		survivals: survivals.map(([part, ageMs]) => ({part, atMs: nowMs - maxDelayMs - ageMs})),
		holds: holds.map(([part, rivals, ageMs, trials, trialInMs]) => ({
			part, rivals, lastCrashMs: nowMs - ageMs, trials, nextTrialMs: nowMs + trialInMs,
		})),
	};
}

/** Groups lists of parts so that each group fits into one datagram. */
function groupLists(lists: Crash['calls']): Array<Array<readonly PromptPartId[]>> {
	const groups: Array<Array<readonly PromptPartId[]>> = [];
	let length = Number.POSITIVE_INFINITY;
	for (const list of lists) {
		const listLength = JSON.stringify(list).length;
		length += listLength;
		if (length > maxListsLength || groups.at(-1)!.length >= maxLists) {
			groups.push([]);
			length = listLength;
		}

		groups.at(-1)!.push(list);
	}

	return groups;
}
