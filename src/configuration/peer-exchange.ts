/** Gossip of the configuration between peers: offers of new revisions, pulls, and periodic anti-entropy. */
import {z, type ZodType} from 'zod';
import type {PeerClient} from '../links/peer-client.ts';
import type {RpcDispatcher} from '../links/rpc-dispatcher.ts';
import {
	configDigestMethod, configGetMethod, configGetParamsSchema, type ConfigGetParams, configGetResultSchema, type ConfigOffer,
	configOfferMethod, configOfferSchema,
} from '../messages/config-sync.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import type {ConfigurationReplica} from './configuration-replica.ts';
import {chooseOfferPeers, type PeerCandidates} from './choose-peers.ts';
import type {Peer} from './watcher-rank.ts';

/** Timeout of offers, version exchanges and requests for changes, in milliseconds. */
export const exchangeTimeoutMs = 1500;

/** Timeout of a request for the full tree, in milliseconds; 8 MB take 5 s on a link of 15 Mbit/s. */
const fullTreeTimeoutMs = 10_000;

/** How long a peer counts as unreachable after a failed request, in milliseconds. */
export const unreachableMs = 10_000;

/** Dependencies of {@link PeerExchange}. */
export type PeerExchangeOptions = {
	readonly replica: ConfigurationReplica;
	readonly links: PeerClient;
	readonly rpc: RpcDispatcher;
	readonly random: RandomSource;
	readonly log: Logger;
	/** This process's zone. */
	readonly zone: string;
	/** All other processes. */
	readonly peers: () => readonly Peer[];
	/** The version and freshness that this process announces. */
	readonly currentOffer: () => ConfigOffer;
	/** Called with every offer that a peer sends. */
	readonly onOffer: (offer: ConfigOffer) => void;
};

/** Announces the current version to peers and pulls newer revisions from them. */
export class PeerExchange {
	private readonly failedAtMs = new Map<string, number>();
	private isPulling = false;
	/** The offer to pull next, while another pull runs. */
	private pendingOffer: ConfigOffer | undefined;

	constructor(private readonly options: PeerExchangeOptions) {
		const {rpc, replica} = options;
		rpc.method(configOfferMethod, configOfferSchema, offer => {
			this.handleOffer(offer);
			return true;
		});
		rpc.method(configDigestMethod, configOfferSchema, offer => {
			this.handleOffer(offer);
			return options.currentOffer();
		});
		rpc.method(configGetMethod, configGetParamsSchema, params => replica.handleGet(params));
	}

	/** The peers to select from. */
	get candidates(): PeerCandidates {
		return {zone: this.options.zone, peers: this.options.peers(), isUnreachable: vm => this.isUnreachable(vm)};
	}

	/** Returns whether a request to the process on this VM failed within {@link unreachableMs}. */
	isUnreachable(vm: string): boolean {
		const failedAtMs = this.failedAtMs.get(vm);
		return failedAtMs !== undefined && performance.now() - failedAtMs < unreachableMs;
	}

	/**
	 * Offers the current version to random peers.
	 *
	 * @param isWatcher - whether to send the offer to other zones too
	 * @param additionalPeers - processes that receive the offer as well
	 */
	async offer(isWatcher: boolean, additionalPeers: readonly Peer[] = []): Promise<void> {
		const {random, currentOffer} = this.options;
		const selected = new Set([...chooseOfferPeers(this.candidates, isWatcher, random), ...additionalPeers]);
		await Promise.all([...selected].map(async peer => this.call(peer, {method: configOfferMethod, params: currentOffer()}, z.unknown())));
	}

	/**
	 * Exchanges versions with a peer, and pulls from it when its version is newer.
	 *
	 * @returns the peer's offer; undefined when it did not answer
	 */
	async exchange(peer: Peer): Promise<ConfigOffer | undefined> {
		const askedAtMs = performance.now();
		const offer = await this.call(peer, {method: configDigestMethod, params: this.options.currentOffer()}, configOfferSchema);
		if (offer) {
			// The ages were right at some time since the question, and must not look younger than they are.
			this.handleOffer(addAge(offer, performance.now() - askedAtMs));
		}

		return offer;
	}

	private handleOffer(offer: ConfigOffer): void {
		this.failedAtMs.delete(offer.vm);
		this.options.onOffer(offer);
		if (this.options.replica.handlePeerVersion(offer)) {
			void this.pull(offer);
		}
	}

	/** Pulls one offer at a time: several peers offer the same revision, and one answer is enough. */
	private async pull(offer: ConfigOffer): Promise<void> {
		if (this.isPulling) {
			this.pendingOffer = this.pendingOffer && this.pendingOffer.revision > offer.revision ? this.pendingOffer : offer;
			return;
		}

		this.isPulling = true;
		await this.fetchUpdates(offer);
		this.isPulling = false;
		const next = this.pendingOffer;
		this.pendingOffer = undefined;
		if (next) {
			await this.pull(next);
		}
	}

	private async fetchUpdates(offer: ConfigOffer): Promise<void> {
		const {replica} = this.options;
		let params: ConfigGetParams | undefined = replica.handlePeerVersion(offer);
		while (params) {
			const timeoutMs: number = params.after === 0 ? fullTreeTimeoutMs : exchangeTimeoutMs;
			const result = await this.call(offer, {method: configGetMethod, params}, configGetResultSchema, timeoutMs);
			params = result && replica.handleGetResult(params, result);
		}
	}

	private async call<Result>(peer: Pick<Peer, 'vm' | 'address'>, call: {method: string; params: unknown}, schema: ZodType<Result>, timeoutMs = exchangeTimeoutMs): Promise<Result | undefined> {
		const {links, log} = this.options;
		// After a failure, use a new connection: the pooled one may be dead without having been closed.
		const freshConnection = this.failedAtMs.has(peer.vm);
		try {
			const result = await links.rpc(peer.address, call, schema, {timeoutMs, freshConnection});
			this.failedAtMs.delete(peer.vm);
			return result;
		} catch (err) {
			this.failedAtMs.set(peer.vm, performance.now());
			log.debug({
				event: 'configuration_exchange_failed', method: call.method, peer: peer.vm, err,
			}, 'configuration request to a peer failed');
			return undefined;
		}
	}
}

function addAge(offer: ConfigOffer, ageMs: number): ConfigOffer {
	const {serviceAgeMs, list} = offer;
	return {...offer, serviceAgeMs: serviceAgeMs + ageMs, list: list && {...list, ageMs: list.ageMs + ageMs}};
}
