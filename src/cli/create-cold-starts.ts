/** Connects the parts of a gateway that limit the calls at cold instances. */
import type {PeerList} from '../peers/peer-list.ts';
import type {StartClaims} from '../peers/start-claims.ts';
import {ColdStarts} from '../placement/cold-starts.ts';
import type {GatewayShare} from '../placement/even-share.ts';
import type {Metrics} from '../reports/metrics.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import type {GatewaySettings} from '../settings/direct-settings.ts';

/** How many different offsets of its turns a gateway draws from. */
const offsets = 1000;

/** How many combinations of labels the metric of starts has at most. */
const maxSeries = 4;

/** The components of the gateway that the limit needs. */
export type CreateColdStartsOptions = {
	readonly base: {readonly settings: GatewaySettings; readonly peers: PeerList; readonly random: RandomSource; readonly log: Logger};
	readonly claims: StartClaims;
	readonly metrics: Metrics;
};

/** Creates the limit. */
export function createColdStarts({base: {settings, peers, random, log}, claims, metrics}: CreateColdStartsOptions): ColdStarts {
	const countStart = metrics.labelledCounter('cactusreach_cold_starts_total', 'Decisions about starts at cold instances, by who decided.', ['source', 'result'], maxSeries);
	return new ColdStarts({
		log,
		authority: claims,
		limits: {overage: settings.limits.cold_overage, slack: settings.limits.cold_slack},
		share: () => findShare(settings.process.vm, peers.knownGateways, claims.reportedGateways),
		random: () => random.nextInt(offsets) / offsets,
		startedAtMs: Date.now(),
		onDecision(source, isAllowed) {
			countStart({source, result: isAllowed ? 'granted' : 'refused'});
		},
	});
}

function findShare(vm: string, known: ReadonlySet<string>, reported: number): GatewayShare {
	return {rank: [...known].filter(name => name < vm).length, known: known.size, count: Math.max(known.size, reported)};
}
