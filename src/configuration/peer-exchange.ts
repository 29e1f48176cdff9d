/** Exchanges the configuration with peers: offers, pulls and anti-entropy. */
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

/** How long a peer may take to answer an offer or a digest, in milliseconds. */
export const exchangeTimeoutMs = 1500;

/** How long a peer may take to send a whole tree, in milliseconds; 8 MB take 5 s on a link of 15 Mbit/s. */
const wholeTimeoutMs = 10_000;

/** How long a peer is passed over after it did not answer, in milliseconds. */
export const unreachableMs = 10_000;

/** What the exchange works with. */
export type PeerExchangeOptions = {
	readonly replica: ConfigurationReplica;
	readonly links: PeerClient;
	readonly rpc: RpcDispatcher;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly zone: string;
	/** All other processes. */
	readonly peers: () => readonly Peer[];
	/** What this process holds now. */
	readonly currentOffer: () => ConfigOffer;
	/** Is called with everything that a peer tells of itself. */
	readonly onOffer: (offer: ConfigOffer) => void;
};

/** Talks to peers and pulls what is newer. */
export class PeerExchange {
	private readonly failedAtMs = new Map<string, number>();
	private isPulling = false;
	private waiting: ConfigOffer | undefined;

	/** @param options - what the exchange works with */
	constructor(private readonly options: PeerExchangeOptions) {
		const {rpc, replica} = options;
		rpc.method(configOfferMethod, configOfferSchema, offer => {
			this.hear(offer);
			return true;
		});
		rpc.method(configDigestMethod, configOfferSchema, offer => {
			this.hear(offer);
			return options.currentOffer();
		});
		rpc.method(configGetMethod, configGetParamsSchema, params => replica.answer(params));
	}

	/** The peers to choose from. */
	get candidates(): PeerCandidates {
		return {zone: this.options.zone, peers: this.options.peers(), isUnreachable: vm => this.isUnreachable(vm)};
	}

	/**
	 * Tells whether a process did not answer lately.
	 *
	 * @param vm - the process
	 */
	isUnreachable(vm: string): boolean {
		const failedAtMs = this.failedAtMs.get(vm);
		return failedAtMs !== undefined && performance.now() - failedAtMs < unreachableMs;
	}

	/**
	 * Offers what this process holds to random peers.
	 *
	 * @param isWatcher - whether to offer it to other zones too
	 * @param others - processes that are told as well
	 */
	async offer(isWatcher: boolean, others: readonly Peer[] = []): Promise<void> {
		const {random, currentOffer: ownOffer} = this.options;
		const chosen = new Set([...chooseOfferPeers(this.candidates, isWatcher, random), ...others]);
		await Promise.all([...chosen].map(async peer => this.call(peer, {method: configOfferMethod, params: ownOffer()}, z.unknown())));
	}

	/**
	 * Exchanges what both sides hold, and pulls what is newer.
	 *
	 * @param peer - the other side
	 * @returns what the peer holds; undefined when it did not answer
	 */
	async exchange(peer: Peer): Promise<ConfigOffer | undefined> {
		const offer = await this.call(peer, {method: configDigestMethod, params: this.options.currentOffer()}, configOfferSchema);
		if (offer) {
			this.hear(offer);
		}

		return offer;
	}

	private hear(offer: ConfigOffer): void {
		this.failedAtMs.delete(offer.vm);
		this.options.onOffer(offer);
		if (this.options.replica.handlePeerVersion(offer)) {
			void this.pull(offer);
		}
	}

	/** One pull at a time: the offers of one revision come from several peers, and one answer serves for all. */
	private async pull(offer: ConfigOffer): Promise<void> {
		if (this.isPulling) {
			this.waiting = this.waiting && this.waiting.revision > offer.revision ? this.waiting : offer;
			return;
		}

		this.isPulling = true;
		await this.fetch(offer);
		this.isPulling = false;
		const next = this.waiting;
		this.waiting = undefined;
		if (next) {
			await this.pull(next);
		}
	}

	private async fetch(offer: ConfigOffer): Promise<void> {
		const {replica} = this.options;
		let params: ConfigGetParams | undefined = replica.handlePeerVersion(offer);
		while (params) {
			const timeoutMs: number = params.after === 0 ? wholeTimeoutMs : exchangeTimeoutMs;
			const result = await this.call(offer, {method: configGetMethod, params}, configGetResultSchema, timeoutMs);
			params = result && replica.handleGetResult(params, result);
		}
	}

	private async call<Result>(peer: Pick<Peer, 'vm' | 'address'>, call: {method: string; params: unknown}, schema: ZodType<Result>, timeoutMs = exchangeTimeoutMs): Promise<Result | undefined> {
		const {links, log} = this.options;
		// After a failure the next call goes over a connection of its own, since the pooled one may have gone silent.
		const fresh = this.failedAtMs.has(peer.vm);
		try {
			const result = await links.rpc(peer.address, call, schema, {timeoutMs, fresh});
			this.failedAtMs.delete(peer.vm);
			return result;
		} catch (err) {
			this.failedAtMs.set(peer.vm, performance.now());
			log.debug({
				event: 'configuration_exchange_failed', method: call.method, peer: peer.vm, err,
			}, 'peer did not answer');
			return undefined;
		}
	}
}
