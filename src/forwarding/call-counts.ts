/** The calls at each instance: the own ones exactly, those of other entries as they last told. */
import type {UseCount} from './engine-forecast.ts';

/** Counts of another entry are used for this long, in milliseconds. */
const peerCountMs = 1000;

/** A call of this process at an instance. */
export type OpenUse = {readonly instance: string; readonly promptTokens: number; hasStarted: boolean};

/** Is called when the own work at an instance changed; `isMore` tells a new call from work that is done. */
export type UseListener = (instance: string, isMore: boolean) => void;

type PeerCounts = {readonly counts: Map<string, UseCount>; atMs: number};

/** Counts calls by instance id. */
export class CallCounts {
	private readonly open = new Map<string, Set<OpenUse>>();
	private readonly peers = new Map<string, PeerCounts>();
	private listener: UseListener | undefined;

	/** The own calls and unread tokens by instance. */
	get own(): Map<string, UseCount> {
		return new Map([...this.open].map(([id, uses]) => [id, countOf(uses)]));
	}

	/**
	 * Notes a call that is about to be sent.
	 *
	 * @param instance - where it goes
	 * @param promptTokens - its prompt
	 */
	begin(instance: string, promptTokens: number): OpenUse {
		const use: OpenUse = {instance, promptTokens, hasStarted: false};
		const uses = this.open.get(instance) ?? new Set();
		uses.add(use);
		this.open.set(instance, uses);
		this.listener?.(instance, true);
		return use;
	}

	/**
	 * Notes that a call's answer began, so that its prompt is read.
	 *
	 * @param use - the call
	 */
	start(use: OpenUse): void {
		use.hasStarted = true;
		this.listener?.(use.instance, false);
	}

	/**
	 * Notes that a call is no longer at its instance.
	 *
	 * @param use - the call
	 */
	end(use: OpenUse): void {
		const uses = this.open.get(use.instance);
		if (!uses?.delete(use)) {
			return;
		}

		if (uses.size === 0) {
			this.open.delete(use.instance);
		}

		this.listener?.(use.instance, false);
	}

	/**
	 * Sets who hears of changes of the own work.
	 *
	 * @param listener - is called after each change; nobody when absent
	 */
	listen(listener: UseListener | undefined): void {
		this.listener = listener;
	}

	/**
	 * Returns the own work at one instance.
	 *
	 * @param instance - its id
	 */
	ownAt(instance: string): UseCount {
		return countOf(this.open.get(instance) ?? new Set());
	}

	/**
	 * Takes all counts of another entry over.
	 *
	 * @param entry - its VM
	 * @param counts - its calls by instance
	 */
	setPeer(entry: string, counts: ReadonlyMap<string, UseCount>): void {
		this.peers.set(entry, {counts: new Map(counts), atMs: performance.now()});
	}

	/**
	 * Takes the counts of another entry over that changed.
	 *
	 * @param entry - its VM
	 * @param changed - its calls at the instances where they changed
	 */
	updatePeer(entry: string, changed: ReadonlyMap<string, UseCount>): void {
		const known = this.peers.get(entry) ?? {counts: new Map<string, UseCount>(), atMs: 0};
		for (const [instance, count] of changed) {
			known.counts.set(instance, count);
		}

		known.atMs = performance.now();
		this.peers.set(entry, known);
	}

	/**
	 * Returns the work of other entries at one instance; undefined when none of them told its counts lately.
	 *
	 * @param instance - its id
	 */
	othersAt(instance: string): UseCount | undefined {
		const nowMs = performance.now();
		const fresh = [...this.peers.values()].filter(({atMs}) => nowMs - atMs < peerCountMs);
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

function countOf(uses: ReadonlySet<OpenUse>): UseCount {
	let unreadTokens = 0;
	for (const use of uses) {
		unreadTokens += use.hasStarted ? 0 : use.promptTokens;
	}

	return {calls: uses.size, unreadTokens};
}
