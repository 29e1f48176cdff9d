/** Fetches the manifests of published versions, from other stagers where possible. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {VmLocation} from '../rollout/chunk-owners.ts';
import type {Manifest} from '../rollout/manifest.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {rankMembers} from '../runtime/rendezvous.ts';

/** The mean interval of a stager's reads of the origin while these fail, in milliseconds; the return of the origin is noticed within it. */
const originRetryMs = 300;

/** How long each rank of a region waits for the one above, in milliseconds. The ranks above may respond and still not reach the origin. */
const takeOverMs = 3000;

/** The maximum time for which a request for a manifest waits until this stager has it, and the interval of the checks, in milliseconds. */
const manifestPolling = {maxMs: 300, stepMs: 15};

/** Dependencies of a manifest fetcher. */
export type ManifestFetcherOptions<Peer extends VmLocation> = {
	readonly self: VmLocation;
	/** Returns the other stagers of the service. */
	readonly others: () => readonly Peer[];
	/** Asks another stager; null if it does not have the manifest yet. Rejects if it does not respond. */
	readonly askPeer: (peer: Peer, model: string, version: number) => Promise<Manifest | null>;
	/** Reads a manifest from the origin; undefined while no origin is known. */
	readonly readOrigin: (model: string, version: number) => Promise<Manifest | undefined>;
	/** Returns the manifest of a version, if this stager has it. */
	readonly held: (model: string, version: number) => Manifest | undefined;
	readonly random: RandomSource;
	readonly log: Logger;
};

/** The attempts to fetch one manifest. */
type Attempts = {
	readonly startedAtMs: number;
	/** The number of responses of other stagers. */
	responses: number;
	originNotBeforeMs: number;
	/** The stagers that did not respond. */
	readonly silent: Set<string>;
};

/**
 * Fetches manifests for one stager, and answers the requests of others.
 *
 * One stager of each region reads the origin and the others ask it: the link of the origin is the bottleneck of a rollout, and the number of
 * its connections is limited.
 */
export class ManifestFetcher<Peer extends VmLocation> {
	private readonly attempts = new Map<string, Attempts>();

	constructor(private readonly options: ManifestFetcherOptions<Peer>) {}

	/** Makes one attempt to fetch a manifest; undefined if there is none yet. */
	async fetch(model: string, version: number): Promise<Manifest | undefined> {
		const key = `${model}/${version}`;
		const attempts = this.attempts.get(key) ?? {
			startedAtMs: performance.now(), responses: 0, originNotBeforeMs: 0, silent: new Set<string>(),
		};
		this.attempts.set(key, attempts);
		const manifest = await this.tryFetch(key, attempts, async peer => (
			peer ? this.options.askPeer(peer, model, version) : this.options.readOrigin(model, version)
		));
		if (manifest) {
			this.attempts.delete(key);
		}

		return manifest ?? undefined;
	}

	/** Returns a manifest for another stager. It waits for a short time, because an origin reader gets requests while it is still reading the manifest. */
	async answer(model: string, version: number): Promise<Manifest | null> {
		const {held} = this.options;
		const untilMs = performance.now() + manifestPolling.maxMs;
		let manifest = held(model, version);
		while (!manifest && performance.now() < untilMs) {
			await sleep(manifestPolling.stepMs);
			manifest = held(model, version);
		}

		return manifest ?? null;
	}

	/** Reads the origin if it is this stager's turn, and else asks another stager. */
	private async tryFetch(key: string, attempts: Attempts, read: (peer: Peer | undefined) => Promise<Manifest | null | undefined>): Promise<Manifest | null | undefined> {
		const {random, log} = this.options;
		const nowMs = performance.now();
		const readers = this.readers(key, attempts.silent);
		const isTurn = readers.rank * takeOverMs <= nowMs - attempts.startedAtMs;
		if (isTurn && nowMs >= attempts.originNotBeforeMs) {
			attempts.originNotBeforeMs = nowMs + random.jitter(originRetryMs);
			try {
				return await read(undefined);
			} catch (err) {
				log.warn({event: 'manifest_failed', key, err}, 'failed to read a manifest from the origin; it will be retried');
				return undefined;
			}
		}

		// Every other response comes from any stager, since the reader of this region may not reach the origin.
		const asksReader = attempts.responses % 2 === 0 && readers.peer !== undefined;
		const [peer] = asksReader ? [readers.peer] : random.sample(readers.members, 1);
		if (!peer) {
			return undefined;
		}

		try {
			const manifest = await read(peer);
			attempts.responses++;
			return manifest;
		} catch {
			attempts.silent.add(peer.vm);
			return undefined;
		}
	}

	/** Returns the stagers that respond, the one of them that reads a manifest for this region unless it is this stager, and the rank of this stager in its region; 0 is the reader. */
	private readers(key: string, silent: Set<string>): {readonly members: readonly Peer[]; readonly peer: Peer | undefined; readonly rank: number} {
		const {self, others} = this.options;
		if (others().every(({vm}) => silent.has(vm))) {
			// This stager was cut off itself.
			silent.clear();
		}

		const members = others().filter(({vm}) => !silent.has(vm));
		const ranked = rankMembers(key, [self.vm, ...members.filter(({region}) => region === self.region).map(({vm}) => vm)]);
		return {members, peer: members.find(({vm}) => vm === ranked[0]), rank: ranked.indexOf(self.vm)};
	}
}
