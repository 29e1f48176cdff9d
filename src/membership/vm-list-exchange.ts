/** Gossip of the VM list between processes: the list that was read from the platform most recently wins. */
import type {PeerClient} from '../links/peer-client.ts';
import type {RpcDispatcher} from '../links/rpc-dispatcher.ts';
import type {ConfigOffer} from '../messages/config-sync.ts';
import {
	membersGetMethod, membersGetParamsSchema, type MembersGetResult, membersGetResultSchema,
} from '../messages/member-sync.ts';
import {
	applyChanges, changesBetween, emptyList, type VmList,
} from './vm-list.ts';

/** Number of snapshots of the list that are kept to compute changes from. */
const maxSnapshots = 16;

/** Timeout of a pull, in milliseconds. */
const pullTimeoutMs = 3000;

/** Dependencies of {@link VmListExchange}. */
export type VmListExchangeOptions = {
	readonly links: PeerClient;
	readonly rpc: RpcDispatcher;
	/** Called when the content of the list changes. */
	readonly onList: (list: VmList, previous: VmList) => void;
};

/** Holds the current list, serves it to peers, and pulls newer lists from them. */
export class VmListExchange {
	private current = emptyList;
	private requestedAtMs: number | undefined;
	private readonly snapshotsByDigest = new Map<string, VmList>();
	private isPulling = false;

	constructor(private readonly options: VmListExchangeOptions) {
		options.rpc.method(membersGetMethod, membersGetParamsSchema, ({have}): MembersGetResult => {
			const changes = changesBetween(this.snapshotsByDigest.get(have), this.current);
			return {digest: this.current.digest, ageMs: this.ageMs ?? 0, ...changes};
		});
	}

	/** Time since the current list was requested from the platform, in milliseconds; undefined before the first list. */
	get ageMs(): number | undefined {
		return this.requestedAtMs === undefined ? undefined : performance.now() - this.requestedAtMs;
	}

	/** Digest and age of the current list, as offered to peers. */
	get version(): ConfigOffer['list'] {
		const {ageMs} = this;
		return ageMs === undefined ? undefined : {digest: this.current.digest, ageMs};
	}

	/**
	 * Replaces the current list with a newer one.
	 *
	 * @param ageMs - time since the list was requested from the platform, in milliseconds
	 */
	adoptIfNewer(list: VmList, ageMs: number): void {
		if (this.ageMs !== undefined && ageMs >= this.ageMs) {
			return;
		}

		const previous = this.current;
		this.requestedAtMs = performance.now() - ageMs;
		if (list.digest === previous.digest) {
			return;
		}

		this.current = list;
		this.snapshotsByDigest.delete(list.digest);
		this.snapshotsByDigest.set(list.digest, list);
		for (const digest of [...this.snapshotsByDigest.keys()].slice(0, -maxSnapshots)) {
			this.snapshotsByDigest.delete(digest);
		}

		this.options.onList(list, previous);
	}

	/** Pulls the list from a peer that offers a newer one, or takes over only its age when the content is the same. */
	async handleOffer({list, address}: ConfigOffer): Promise<void> {
		if (!list || (this.ageMs !== undefined && list.ageMs >= this.ageMs)) {
			return;
		}

		if (list.digest === this.current.digest) {
			this.adoptIfNewer(this.current, list.ageMs);
		} else if (!this.isPulling) {
			this.isPulling = true;
			try {
				await this.pull(address);
			} catch {
				// A later offer, from this peer or another one, leads to a new attempt.
			} finally {
				this.isPulling = false;
			}
		}
	}

	private async pull(address: string): Promise<void> {
		const {links} = this.options;
		for (const have of [this.current.digest, '']) {
			const base = this.current;
			const askedAtMs = performance.now();
			const result = await links.rpc(address, {method: membersGetMethod, params: {have}}, membersGetResultSchema, {timeoutMs: pullTimeoutMs});
			const list = applyChanges(base, result);
			if (list) {
				// The age was right at some time since the question, and a list must not look younger than it is.
				this.adoptIfNewer(list, result.ageMs + performance.now() - askedAtMs);
				return;
			}
		}
	}
}
