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

/** How long a stager waits for another one that may have read the same manifest, in milliseconds; then it reads the origin again. */
const confirmationTimeoutMs = 150;

/** The maximum time for which a request for a manifest waits until this stager has it, and the interval of the checks, in milliseconds. */
const manifestPolling = {maxMs: 300, stepMs: 15};

/** What one stager asks another for: a manifest that is held, or also what has been read from the origin only once. */
export type ManifestQuery = {readonly model: string; readonly version: number; readonly includesUnconfirmed: boolean};

/** Dependencies of a manifest fetcher. */
export type ManifestFetcherOptions<Peer extends VmLocation> = {
	readonly self: VmLocation;
	/** Returns the other stagers of the service. */
	readonly others: () => readonly Peer[];
	/** Asks another stager; null if it does not have the manifest yet. Rejects if it does not respond. */
	readonly askPeer: (peer: Peer, query: ManifestQuery) => Promise<Manifest | null>;
	/** Reads a manifest from the origin; undefined while no origin is known. */
	readonly readOrigin: (model: string, version: number) => Promise<Manifest | undefined>;
	/** Returns the manifest of a version, if this stager has it. */
	readonly held: (model: string, version: number) => Manifest | undefined;
	readonly random: RandomSource;
	readonly log: Logger;
};

/** The attempts to fetch one manifest. */
class Attempts {
	readonly startedAtMs = performance.now();
	/** The number of responses of other stagers. */
	responses = 0;
	originNotBeforeMs = 0;
	/** The stagers that did not respond. */
	readonly silent = new Set<string>();
	/** The reads that gave each answer of the origin, by its text: those of this stager by number, those of others by VM. */
	readonly readsByAnswer = new Map<string, Set<string>>();
	/** The last answer of the origin to this stager, which may have been altered on its way. */
	unconfirmed: Manifest | undefined;
	private ownReads = 0;

	/** Records an answer of the origin to this stager; returns whether another read gave the same, so that it can be trusted. */
	recordOwnRead(manifest: Manifest): boolean {
		this.unconfirmed = manifest;
		this.ownReads++;
		return this.recordRead(manifest, `read ${this.ownReads}`);
	}

	/** Records what another stager has read; returns whether another read gave the same. */
	recordRead(manifest: Manifest, read: string): boolean {
		const text = JSON.stringify(manifest);
		const reads = this.readsByAnswer.get(text) ?? new Set();
		this.readsByAnswer.set(text, reads.add(read));
		return reads.size > 1;
	}
}

/** Reads a manifest from another stager, or from the origin if none is given. `includesUnconfirmed` asks for what the stager has only read itself. */
type ReadManifest = (peer?: VmLocation, includesUnconfirmed?: boolean) => Promise<Manifest | null | undefined>;

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
		const attempts = this.attempts.get(key) ?? new Attempts();
		this.attempts.set(key, attempts);
		const manifest = await this.tryFetch(key, attempts, async (peer, includesUnconfirmed = false) => (
			peer ? this.options.askPeer(peer as Peer, {model, version, includesUnconfirmed}) : this.options.readOrigin(model, version)
		));
		if (manifest) {
			this.attempts.delete(key);
		}

		return manifest ?? undefined;
	}

	/** Returns a manifest for another stager. It waits for a short time, because an origin reader gets requests while it is still reading the manifest. */
	async answer({model, version, includesUnconfirmed}: ManifestQuery): Promise<Manifest | null> {
		const find = () => this.options.held(model, version) ?? (includesUnconfirmed ? this.attempts.get(`${model}/${version}`)?.unconfirmed : undefined);
		const untilMs = performance.now() + manifestPolling.maxMs;
		let manifest = find();
		while (!manifest && performance.now() < untilMs) {
			await sleep(manifestPolling.stepMs);
			manifest = find();
		}

		return manifest ?? null;
	}

	/** Reads the origin if it is this stager's turn, and else asks another stager. */
	private async tryFetch(key: string, attempts: Attempts, read: ReadManifest): Promise<Manifest | null | undefined> {
		const {random, log} = this.options;
		const nowMs = performance.now();
		const readers = this.readers(key, attempts.silent);
		const isTurn = readers.rank * takeOverMs <= nowMs - attempts.startedAtMs;
		if (isTurn && nowMs >= attempts.originNotBeforeMs) {
			attempts.originNotBeforeMs = nowMs + random.jitter(originRetryMs);
			try {
				return await this.readConfirmed(key, attempts, read);
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

	/**
	 * Reads the origin, and takes the answer once another one is the same: that of a stager of another region, or a further one of the
	 * origin. Answers may be altered on their way, and a manifest with one wrong digit would be handed on to all stagers, none of which could
	 * ever get the chunk that it names.
	 */
	private async readConfirmed(key: string, attempts: Attempts, read: ReadManifest): Promise<Manifest | undefined> {
		const first = await read(undefined);
		if (!first || attempts.recordOwnRead(first) || await this.isConfirmedElsewhere(key, attempts, read)) {
			return first ?? undefined;
		}

		const again = await read(undefined);
		if (again && attempts.recordOwnRead(again)) {
			return again;
		}

		this.options.log.warn({event: 'manifest_doubted', key, answers: attempts.readsByAnswer.size}, 'different manifests of one version have been read; the origin is read again');
		return undefined;
	}

	/** Returns whether the reader of another region has read what this stager has. */
	private async isConfirmedElsewhere(key: string, attempts: Attempts, read: ReadManifest): Promise<boolean> {
		const {self, random} = this.options;
		const members = this.readers(key, attempts.silent).members.filter(({region}) => region !== self.region);
		const [inRegion] = random.sample(members, 1);
		const [vm] = rankMembers(key, members.filter(({region}) => region === inRegion?.region).map(item => item.vm));
		const peer = members.find(item => item.vm === vm);
		if (!peer) {
			return false;
		}

		try {
			const manifest = await Promise.race([read(peer, true), sleep(confirmationTimeoutMs)]);
			return manifest ? attempts.recordRead(manifest, peer.vm) && JSON.stringify(manifest) === JSON.stringify(attempts.unconfirmed) : false;
		} catch {
			// It does not respond; the origin is read again.
			attempts.silent.add(peer.vm);
			return false;
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
