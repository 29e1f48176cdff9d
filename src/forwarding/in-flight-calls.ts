/** The calls at each instance: the own ones exactly, those of other entries as they last told. */
import type {InFlightCounts} from './engine-forecast.ts';

/** Counts of another entry are used for this long, in milliseconds. */
const peerCountTtlMs = 1000;

/** A call of this process at an instance. */
export type InFlightCall = {readonly instance: string; readonly promptTokens: number; hasStarted: boolean};

/** Is called when the own work at an instance changed; `isMore` tells a new call from work that is done. */
export type InFlightListener = (instance: string, isMore: boolean) => void;

type PeerCounts = {readonly counts: Map<string, InFlightCounts>; atMs: number};

/** Counts calls by instance id. */
export class InFlightCalls {
	private readonly callsByInstance = new Map<string, Set<InFlightCall>>();
	private readonly peers = new Map<string, PeerCounts>();
	private listener: InFlightListener | undefined;

	/** The own calls and unread tokens by instance. */
	get ownCounts(): Map<string, InFlightCounts> {
		return new Map([...this.callsByInstance].map(([id, uses]) => [id, countCalls(uses)]));
	}

	/**
	 * Notes a call that is about to be sent.
	 *
	 * @param instance - where it goes
	 * @param promptTokens - its prompt
	 */
	add(instance: string, promptTokens: number): InFlightCall {
		const call: InFlightCall = {instance, promptTokens, hasStarted: false};
		const calls = this.callsByInstance.get(instance) ?? new Set();
		calls.add(call);
		this.callsByInstance.set(instance, calls);
		this.listener?.(instance, true);
		return call;
	}

	/**
	 * Notes that a call's answer began, so that its prompt is read.
	 *
	 * @param call - the call
	 */
	markStarted(call: InFlightCall): void {
		call.hasStarted = true;
		this.listener?.(call.instance, false);
	}

	/**
	 * Notes that a call is no longer at its instance.
	 *
	 * @param call - the call
	 */
	remove(call: InFlightCall): void {
		const calls = this.callsByInstance.get(call.instance);
		if (!calls?.delete(call)) {
			return;
		}

		if (calls.size === 0) {
			this.callsByInstance.delete(call.instance);
		}

		this.listener?.(call.instance, false);
	}

	/**
	 * Sets who hears of changes of the own work.
	 *
	 * @param listener - is called after each change; nobody when absent
	 */
	setListener(listener: InFlightListener | undefined): void {
		this.listener = listener;
	}

	/**
	 * Returns the own work at one instance.
	 *
	 * @param instance - its id
	 */
	ownCountsAt(instance: string): InFlightCounts {
		return countCalls(this.callsByInstance.get(instance) ?? new Set());
	}

	/**
	 * Takes all counts of another entry over.
	 *
	 * @param gateway - its VM
	 * @param counts - its calls by instance
	 */
	replacePeerCounts(gateway: string, counts: ReadonlyMap<string, InFlightCounts>): void {
		this.peers.set(gateway, {counts: new Map(counts), atMs: performance.now()});
	}

	/**
	 * Takes the counts of another entry over that changed.
	 *
	 * @param gateway - its VM
	 * @param changed - its calls at the instances where they changed
	 */
	updatePeerCounts(gateway: string, changed: ReadonlyMap<string, InFlightCounts>): void {
		const peer = this.peers.get(gateway) ?? {counts: new Map<string, InFlightCounts>(), atMs: 0};
		for (const [instance, count] of changed) {
			peer.counts.set(instance, count);
		}

		peer.atMs = performance.now();
		this.peers.set(gateway, peer);
	}

	/**
	 * Returns the work of other entries at one instance; undefined when none of them told its counts lately.
	 *
	 * @param instance - its id
	 */
	peerCountsAt(instance: string): InFlightCounts | undefined {
		const nowMs = performance.now();
		const fresh = [...this.peers.values()].filter(({atMs}) => nowMs - atMs < peerCountTtlMs);
		if (fresh.length === 0) {
			return undefined;
		}

		let calls = 0;
		let unreadTokens = 0;
		for (const {counts} of fresh) {
			calls += counts.get(instance)?.calls ?? 0;
			unreadTokens += counts.get(instance)?.unreadTokens ?? 0;
		}

		return {calls, unreadTokens};
	}
}

function countCalls(inFlight: ReadonlySet<InFlightCall>): InFlightCounts {
	let unreadTokens = 0;
	for (const call of inFlight) {
		unreadTokens += call.hasStarted ? 0 : call.promptTokens;
	}

	return {calls: inFlight.size, unreadTokens};
}
