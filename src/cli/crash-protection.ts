/** Connects the parts of a gateway that keep calls from crashing one upstream after the other. */
import type {InstanceTracker} from '../placement/instance-tracker.ts';
import type {DatagramPort} from '../links/datagram-port.ts';
import {CrashGossip} from '../peers/crash-gossip.ts';
import type {PeerList} from '../peers/peer-list.ts';
import {CrashDetector} from '../quarantine/crash-detector.ts';
import {PromptQuarantine} from '../quarantine/prompt-quarantine.ts';
import type {ForwardingMetrics} from '../reports/forwarding-metrics.ts';
import type {Metrics} from '../reports/metrics.ts';
import type {Logger} from '../runtime/logger.ts';
import type {ListeningClock} from '../runtime/pause-detector.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {selectMember} from '../runtime/rendezvous.ts';

/** The components of the gateway that the protection needs. */
export type CrashProtectionOptions = {
	readonly vm: string;
	readonly zone: string;
	readonly tracker: InstanceTracker;
	readonly peers: PeerList;
	readonly datagrams: DatagramPort;
	/** The number of the port on which all processes receive datagrams. */
	readonly port: number;
	readonly random: RandomSource;
	readonly log: Logger;
	/** Tells for how long this process could hear of crashes. */
	readonly clock: ListeningClock;
	readonly metrics: Metrics;
	readonly forwardingMetrics: ForwardingMetrics;
};

/** Finds crashes, holds prompt parts that cause them, and exchanges both with other gateways. */
export type CrashProtection = {readonly crashes: CrashDetector; readonly quarantine: PromptQuarantine; readonly gossip: CrashGossip};

/** Creates the parts; the gossip has to be started and stopped. */
export function createCrashProtection({
	vm, tracker, peers, log, clock, metrics, forwardingMetrics, ...links
}: CrashProtectionOptions): CrashProtection {
	const gatewayVms = () => [vm, ...peers.others.filter(({role}) => role === 'gateway').map(peer => peer.vm)];
	const quarantine = new PromptQuarantine({
		log,
		clock,
		hasTurn: turn => selectMember(turn, gatewayVms(), name => name) === vm,
		tell(news) {
			gossip.tell(news);
		},
	});
	const gossip = new CrashGossip({
		...links,
		others: () => peers.others,
		mergeNews(news) {
			quarantine.mergeNews(news);
		},
		holds: () => quarantine.holds,
	});
	const crashes = new CrashDetector({
		probe: async instance => tracker.probeConnection(instance),
		onCrash(crash, instance) {
			forwardingMetrics.recordCrash(instance.service);
			quarantine.recordCrash(crash, instance);
		},
		log,
	});
	metrics.gauge('cactusreach_held_prompt_parts', 'Prompt parts whose calls are refused because they crash upstreams.', () => quarantine.holds.length);
	return {crashes, quarantine, gossip};
}
