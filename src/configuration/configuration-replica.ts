/** What one process does with every answer that it gets about the configuration; no I/O. */
import {createRevision, noRevision, type Revision} from '../ids/revision.ts';
import type {
	ConfigEntry, ConfigGetParams, ConfigGetResult, ConfigVersion,
} from '../messages/config-sync.ts';
import {
	evaluateUpdate, type ConfigurationUpdate, maxTreeBytes, type RejectionReason,
} from './evaluate-update.ts';
import type {ConfigurationStore} from './configuration-store.ts';
import {hasSameHistory, overlapRevisions} from './has-same-history.ts';
import {mergeFallbacks} from './fallback.ts';
import {tombstoneRetentionRevisions, fallbackEntries} from './tree.ts';

/** A question to the configuration service. */
export type ServiceRequest = {
	/** `watch` waits for a change, `overlap` reads changes together with some known entries, `whole` reads everything. */
	readonly kind: 'watch' | 'overlap' | 'whole';
	readonly after: Revision;
	/** The revision in force when the question was asked. */
	readonly own: Revision;
};

/** What the configuration service answered. */
export type ServiceResponse = {readonly revision: Revision; readonly entries: readonly ConfigEntry[]};

/** How long a watcher goes without a whole read, in milliseconds; at 1 MB this costs it 1.7 KB/s. */
export const fullReadIntervalMs = 600_000;

/** Decides what to ask for and what to put in force. */
export class ConfigurationReplica {
	private floor: Revision = noRevision;
	private next: ServiceRequest['kind'] = 'overlap';
	/** The revision that the service answered last. */
	private seen: Revision | undefined;
	/** Set while the service may have another history than the tree in force; only a whole read settles it. */
	private hasDoubt = false;
	/** The revision in force that was last compared with a whole read. */
	private comparedRevision: Revision | undefined;
	private lastWholeMs = 0;

	/** @param store - holds the tree in force */
	constructor(private readonly store: ConfigurationStore) {}

	/** The highest revision that a peer named before any tree was in force here; nothing below it is put in force. */
	get startupMinRevision(): Revision {
		return this.floor;
	}

	/**
	 * Decides what to fetch from a peer that told what it holds.
	 *
	 * @param theirs - what the peer holds
	 * @returns undefined when the peer has nothing that is missing here
	 */
	handlePeerVersion(theirs: ConfigVersion): ConfigGetParams | undefined {
		const ownRevision = this.store.version;
		if (theirs.revision > ownRevision.revision) {
			this.raiseFloor(theirs.revision);
			return {after: ownRevision.revision, onlyFallbacks: false};
		}

		if (theirs.revision < ownRevision.revision || ownRevision.revision === noRevision) {
			return undefined;
		}

		if (theirs.digest !== ownRevision.digest) {
			this.hasDoubt ||= this.comparedRevision !== ownRevision.revision;
			this.report('two-histories', `a peer has other content at revision ${ownRevision.revision}; publish a new revision`);
			return undefined;
		}

		return theirs.fallbackDigest === ownRevision.fallbackDigest ? undefined : {after: noRevision, onlyFallbacks: true};
	}

	/**
	 * Answers a peer's request for entries.
	 *
	 * @param params - which entries the peer wants
	 */
	answer(params: ConfigGetParams): ConfigGetResult {
		const {current, version} = this.store;
		if (params.onlyFallbacks) {
			return {...version, whole: false, entries: fallbackEntries(current)};
		}

		// Deletions before the horizon are forgotten, so that changes from before it are not complete.
		const whole = params.after === noRevision || params.after < current.revision - tombstoneRetentionRevisions;
		const entries = [...current.entries.values()];
		return {...version, whole, entries: whole ? entries : entries.filter(entry => entry.revision > params.after)};
	}

	/**
	 * Takes a peer's answer.
	 *
	 * @param params - what was asked
	 * @param result - the answer
	 * @returns what to ask the same peer next, if anything
	 */
	handleGetResult(params: ConfigGetParams, result: ConfigGetResult): ConfigGetParams | undefined {
		if (params.onlyFallbacks) {
			if (result.digest === this.store.digest) {
				this.putFallbacks(result.entries);
			}

			return undefined;
		}

		const own = this.store.revision;
		if (result.revision <= own) {
			return undefined;
		}

		if (!result.whole && params.after !== own) {
			// Another answer came first; what is still missing are fewer changes, not the whole tree.
			return {after: own, onlyFallbacks: false};
		}

		const update = {
			...result, revision: createRevision(result.revision), base: createRevision(params.after),
		};
		const refusal = this.put(update);
		return refusal === 'incomplete' && !result.whole ? {after: noRevision, onlyFallbacks: false} : undefined;
	}

	/**
	 * Decides what to ask the configuration service next.
	 *
	 * @param nowMs - monotonic time
	 */
	nextServiceRequest(nowMs: number): ServiceRequest {
		const own = this.store.revision;
		const kind = this.seen === undefined && this.next === 'watch' ? 'overlap' : this.next;
		if (kind === 'whole' || (own === noRevision && kind === 'overlap') || nowMs - this.lastWholeMs > fullReadIntervalMs) {
			return {kind: 'whole', after: noRevision, own};
		}

		return kind === 'overlap'
			? {kind, after: Math.max(0, own - overlapRevisions) as Revision, own}
			: {kind, after: this.seen ?? own, own};
	}

	/** Takes note that the service did not answer: it may come back with other content. */
	handleServiceFailure(): void {
		this.next = this.hasDoubt ? 'whole' : 'overlap';
	}

	/**
	 * Takes an answer of the configuration service.
	 *
	 * @param question - what was asked
	 * @param handleGet - the answer
	 * @param nowMs - monotonic time
	 */
	handleServiceResponse(question: ServiceRequest, handleGet: ServiceResponse, nowMs: number): void {
		this.seen = handleGet.revision;
		this.next = 'watch';
		if (handleGet.revision < question.own) {
			this.hasDoubt = true;
			this.report('service-older', `the configuration service answers revision ${handleGet.revision}, which is older than revision ${question.own} in force`);
		} else if (handleGet.revision >= this.store.revision) {
			this.next = this.take(question, handleGet, nowMs);
		}

		// Otherwise a peer was faster than this answer, which says nothing about the service now.
	}

	private take(question: ServiceRequest, answer: ServiceResponse, nowMs: number): ServiceRequest['kind'] {
		const takers: Record<ServiceRequest['kind'], () => ServiceRequest['kind']> = {
			watch: () => this.takeWatch(question, answer),
			overlap: () => this.takeOverlap(question, answer),
			whole: () => this.takeWhole(answer, nowMs),
		};
		return takers[question.kind]();
	}

	/** A long poll only tells that there is something new; it is read again together with the overlap. */
	private takeWatch(question: ServiceRequest, answer: ServiceResponse): ServiceRequest['kind'] {
		if (this.mustCompare()) {
			return 'whole';
		}

		if (answer.revision === question.after) {
			return 'watch';
		}

		return this.hasDoubt ? 'whole' : 'overlap';
	}

	private takeOverlap(question: ServiceRequest, answer: ServiceResponse): ServiceRequest['kind'] {
		const {current} = this.store;
		if (question.own !== current.revision) {
			return 'overlap';
		}

		if (this.hasDoubt || !hasSameHistory(current, question.after, answer.entries)) {
			this.hasDoubt = true;
			return 'whole';
		}

		const entries = answer.entries.filter(entry => entry.revision > current.revision);
		this.put({
			revision: answer.revision, whole: false, base: current.revision, entries,
		});
		return 'watch';
	}

	private takeWhole(answer: ServiceResponse, nowMs: number): ServiceRequest['kind'] {
		this.lastWholeMs = nowMs;
		const refusal = this.put({
			revision: answer.revision, whole: true, base: noRevision, entries: answer.entries,
		});
		this.comparedRevision = this.store.revision;
		if (refusal === undefined || refusal === 'same') {
			this.hasDoubt = false;
			this.store.clearTreeFinding('service-older');
		} else if (refusal === 'conflict') {
			this.hasDoubt = true;
			this.report('two-histories', `the configuration service has other content at revision ${answer.revision}; publish a new revision`);
		}

		return 'watch';
	}

	private put(update: ConfigurationUpdate): RejectionReason | undefined {
		if (this.store.revision === noRevision && update.revision < this.floor) {
			this.report('service-older', `revision ${update.revision} was offered, and a peer named revision ${this.floor}`);
			return 'older';
		}

		const decision = evaluateUpdate(this.store.current, update);
		if (decision.accepted) {
			// A newer tree settles all of them; a service that is still older is reported again by the next watch.
			for (const key of ['service-older', 'two-histories', 'oversized']) {
				this.store.clearTreeFinding(key);
			}

			this.store.replace(decision.tree, decision.findings);
			return undefined;
		}

		if (decision.rejection === 'oversized') {
			this.report('oversized', `revision ${update.revision} has more than ${maxTreeBytes} bytes of documents and is not put in force`);
		}

		return decision.rejection;
	}

	private putFallbacks(entries: readonly ConfigEntry[]): void {
		const merged = mergeFallbacks(this.store.current, entries);
		if (merged !== this.store.current) {
			this.store.replace(merged, this.store.documentFindings);
		}
	}

	private raiseFloor(revision: number): void {
		if (this.store.revision === noRevision && revision > this.floor) {
			this.floor = createRevision(revision);
		}
	}

	/** One whole read per revision settles a doubt as far as it can be; more of them would only cost. */
	private mustCompare(): boolean {
		return this.hasDoubt && this.comparedRevision !== this.store.revision && this.seen === this.store.revision;
	}

	private report(key: string, reason: string): void {
		this.store.setTreeFinding({file: '/', key, reason});
	}
}
