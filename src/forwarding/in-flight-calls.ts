/** Counts the calls in flight at each instance: those of this gateway exactly, those of other gateways as last reported. */
import type {InFlightCounts} from './engine-forecast.ts';

/** How long the counts reported by another gateway stay valid, in milliseconds. */
const peerCountTtlMs = 1000;

/** A call that this gateway has in flight at an instance. */
export type InFlightCall = {readonly instance: string; readonly promptTokens: number; hasStarted: boolean};

/** Called when the counts of this gateway at an instance change; `isMore` is true for a new call and false for progress on one. */
export type InFlightListener = (instance: string, isMore: boolean) => void;

type PeerCounts = {readonly counts: Map<string, InFlightCounts>; atMs: number};

/** Counts in-flight calls and their unprocessed prompt tokens by instance ID. */
export class InFlightCalls {
	private readonly callsByInstance = new Map<string, Set<InFlightCall>>();
	private readonly peers = new Map<string, PeerCounts>();
	private listener: InFlightListener | undefined;

	/** The counts of this gateway by instance. */
	get ownCounts(): Map<string, InFlightCounts> {
		return new Map([...this.callsByInstance].map(([id, calls]) => [id, countCalls(calls)]));
	}

	/**
	 * Adds a call that is about to be sent.
	 *
	 * @param instance - ID of the instance that the call is sent to
	 * @param promptTokens - number of tokens in the prompt
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
	 * Records that the response to a call has started, which means that its prompt has been processed.
	 *
	 * @param call - the call, as returned by {@link add}
	 */
	markStarted(call: InFlightCall): void {
		call.hasStarted = true;
		this.listener?.(call.instance, false);
	}

	/**
	 * Removes a call that has ended; does nothing if it was removed before.
	 *
	 * @param call - the call, as returned by {@link add}
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
	 * Sets the listener for changes of this gateway's counts.
	 *
	 * @param listener - called after each change; undefined removes the listener
	 */
	setListener(listener: InFlightListener | undefined): void {
		this.listener = listener;
	}

	/**
	 * Returns the counts of this gateway at one instance.
	 *
	 * @param instance - the instance ID
	 */
	ownCountsAt(instance: string): InFlightCounts {
		return countCalls(this.callsByInstance.get(instance) ?? new Set());
	}

	/**
	 * Replaces all counts of another gateway.
	 *
	 * @param gateway - VM of the gateway
	 * @param counts - its counts by instance
	 */
	replacePeerCounts(gateway: string, counts: ReadonlyMap<string, InFlightCounts>): void {
		this.peers.set(gateway, {counts: new Map(counts), atMs: performance.now()});
	}

	/**
	 * Updates the counts of another gateway at the instances where they changed.
	 *
	 * @param gateway - VM of the gateway
	 * @param changed - its changed counts by instance
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
	 * Returns the summed counts of the other gateways at one instance; undefined if no gateway has reported recently.
	 *
	 * @param instance - the instance ID
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
