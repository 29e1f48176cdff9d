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
const keptReadings = 16;

/** How long a peer may take to send a list, in milliseconds. */
const membersTimeoutMs = 3000;

/** What the exchange works with. */
export type VmListExchangeOptions = {
	readonly links: PeerClient;
	readonly rpc: RpcDispatcher;
	/** Is called with each other list. */
	readonly onList: (list: VmList, before: VmList) => void;
};

/** Holds the list. */
export class VmListExchange {
	private held = emptyList;
	private readAtMs: number | undefined;
	private readonly readings = new Map<string, VmList>();
	private isPulling = false;

	/** @param options - what the exchange works with */
	constructor(private readonly options: VmListExchangeOptions) {
		options.rpc.method(membersGetMethod, membersGetParamsSchema, ({have}): MembersGetResult => {
			const changes = changesBetween(this.readings.get(have), this.held);
			return {digest: this.held.digest, ageMs: this.ageMs ?? 0, ...changes};
		});
	}

	/** Time since the platform was asked for this list, in milliseconds; undefined before any reading. */
	get ageMs(): number | undefined {
		return this.readAtMs === undefined ? undefined : performance.now() - this.readAtMs;
	}

	/** Digest and age, as told to peers. */
	get version(): ConfigOffer['list'] {
		const {ageMs} = this;
		return ageMs === undefined ? undefined : {digest: this.held.digest, ageMs};
	}

	/**
	 * Takes a reading when it is younger than the one held.
	 *
	 * @param list - the list
	 * @param ageMs - its age, in milliseconds
	 */
	take(list: VmList, ageMs: number): void {
		if (this.ageMs !== undefined && ageMs >= this.ageMs) {
			return;
		}

		const before = this.held;
		this.readAtMs = performance.now() - ageMs;
		if (list.digest === before.digest) {
			return;
		}

		this.held = list;
		this.readings.delete(list.digest);
		this.readings.set(list.digest, list);
		for (const digest of [...this.readings.keys()].slice(0, -keptReadings)) {
			this.readings.delete(digest);
		}

		this.options.onList(list, before);
	}

	/**
	 * Takes note of a peer's list, and pulls it when it is younger and other.
	 *
	 * @param offer - what the peer holds
	 */
	async hear({list, address}: ConfigOffer): Promise<void> {
		if (!list || (this.ageMs !== undefined && list.ageMs >= this.ageMs)) {
			return;
		}

		if (list.digest === this.held.digest) {
			this.take(this.held, list.ageMs);
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
		for (const have of [this.held.digest, '']) {
			const before = this.held;
			const result = await links.rpc(address, {method: membersGetMethod, params: {have}}, membersGetResultSchema, {timeoutMs: membersTimeoutMs});
			const list = applyChanges(before, result);
			if (list) {
				this.take(list, result.ageMs);
				return;
			}
		}
	}
}
