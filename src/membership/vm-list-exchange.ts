/** Holds the VM list of this process and passes it on: the youngest reading wins. */
import type {PeerClient} from '../links/peer-client.ts';
import type {RpcDispatcher} from '../links/rpc-dispatcher.ts';
import type {ConfigOffer} from '../messages/config-sync.ts';
import {
	membersGetMethod, membersGetParamsSchema, type MembersGetResult, membersGetResultSchema,
} from '../messages/member-sync.ts';
import {
	applyChanges, changesBetween, emptyList, type VmList,
} from './vm-list.ts';

/** How many earlier readings are kept to compute changes from. */
const maxSnapshots = 16;

/** How long a peer may take to send a list, in milliseconds. */
const pullTimeoutMs = 3000;

/** What the exchange works with. */
export type VmListExchangeOptions = {
	readonly links: PeerClient;
	readonly rpc: RpcDispatcher;
	/** Is called with each other list. */
	readonly onList: (list: VmList, previous: VmList) => void;
};

/** Holds the list. */
export class VmListExchange {
	private current = emptyList;
	private requestedAtMs: number | undefined;
	private readonly snapshotsByDigest = new Map<string, VmList>();
	private isPulling = false;

	/** @param options - what the exchange works with */
	constructor(private readonly options: VmListExchangeOptions) {
		options.rpc.method(membersGetMethod, membersGetParamsSchema, ({have}): MembersGetResult => {
			const changes = changesBetween(this.snapshotsByDigest.get(have), this.current);
			return {digest: this.current.digest, ageMs: this.ageMs ?? 0, ...changes};
		});
	}

	/** Time since the platform was asked for this list, in milliseconds; undefined before any reading. */
	get ageMs(): number | undefined {
		return this.requestedAtMs === undefined ? undefined : performance.now() - this.requestedAtMs;
	}

	/** Digest and age, as told to peers. */
	get version(): ConfigOffer['list'] {
		const {ageMs} = this;
		return ageMs === undefined ? undefined : {digest: this.current.digest, ageMs};
	}

	/**
	 * Takes a reading when it is younger than the one held.
	 *
	 * @param list - the list
	 * @param ageMs - its age, in milliseconds
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

	/**
	 * Takes note of a peer's list, and pulls it when it is younger and other.
	 *
	 * @param offer - what the peer holds
	 */
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
				// The next exchange, with this peer or another one, brings the list.
			} finally {
				this.isPulling = false;
			}
		}
	}

	private async pull(address: string): Promise<void> {
		const {links} = this.options;
		for (const have of [this.current.digest, '']) {
			const base = this.current;
			const result = await links.rpc(address, {method: membersGetMethod, params: {have}}, membersGetResultSchema, {timeoutMs: pullTimeoutMs});
			const list = applyChanges(base, result);
			if (list) {
				this.adoptIfNewer(list, result.ageMs);
				return;
			}
		}
	}
}
