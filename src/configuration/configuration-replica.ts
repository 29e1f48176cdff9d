/** The synchronization state machine of one process: what to request next and which received trees to apply; no I/O. */
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

/** The next request to the configuration service. */
export type ServiceRequest = {
	/** `watch` long-polls for a change, `overlap` reads changes and re-reads the last known revisions, `whole` reads the full tree. */
	readonly kind: 'watch' | 'overlap' | 'whole';
	/** Entries that changed after this revision are requested. */
	readonly after: Revision;
	/** The current revision of this process when the request was created. */
	readonly ownRevision: Revision;
};

/** The response of the configuration service. */
export type ServiceResponse = {readonly revision: Revision; readonly entries: readonly ConfigEntry[]};

/** Longest time between two full reads of a watcher, in milliseconds; for a tree of 1 MB they cost 1.7 KB/s. */
export const fullReadIntervalMs = 600_000;

/**
 * Decides what to request from the service and from peers, and applies what they answer to the store.
 *
 * It also detects divergence: after a restore from a backup, the service may publish other content under revisions that are already
 * in use here.
 */
export class ConfigurationReplica {
	private minRevision: Revision = noRevision;
	private nextKind: ServiceRequest['kind'] = 'overlap';
	/** The revision of the service's last response. */
	private lastServiceRevision: Revision | undefined;
	/** Set while the service's history may differ from that of the current tree; only a full read decides. */
	private mayHaveDiverged = false;
	/** The current revision at the last full read. */
	private lastComparedRevision: Revision | undefined;
	private lastFullReadMs = 0;

	constructor(private readonly store: ConfigurationStore) {}

	/** The highest revision that a peer announced before the first tree was applied here; no lower revision is applied. */
	get startupMinRevision(): Revision {
		return this.minRevision;
	}

	/**
	 * Compares a peer's version with the current one and decides what to fetch from the peer.
	 *
	 * @returns undefined when there is nothing to fetch
	 */
	handlePeerVersion(peerVersion: ConfigVersion): ConfigGetParams | undefined {
		const ownVersion = this.store.version;
		if (peerVersion.revision > ownVersion.revision) {
			this.raiseMinRevision(peerVersion.revision);
			return {after: ownVersion.revision, onlyFallbacks: false};
		}

		if (peerVersion.revision < ownVersion.revision || ownVersion.revision === noRevision) {
			return undefined;
		}

		if (peerVersion.digest !== ownVersion.digest) {
			this.mayHaveDiverged ||= this.lastComparedRevision !== ownVersion.revision;
			this.reportTreeFinding('two-histories', `a peer has different content at revision ${ownVersion.revision}; publish a new revision`);
			return undefined;
		}

		return peerVersion.fallbackDigest === ownVersion.fallbackDigest ? undefined : {after: noRevision, onlyFallbacks: true};
	}

	/** Answers a peer's request for entries. */
	handleGet(params: ConfigGetParams): ConfigGetResult {
		const {current, version} = this.store;
		if (params.onlyFallbacks) {
			return {...version, whole: false, entries: fallbackEntries(current)};
		}

		// Older tombstones were removed, so the changes since an older revision would be incomplete.
		const whole = params.after === noRevision || params.after < current.revision - tombstoneRetentionRevisions;
		const entries = [...current.entries.values()];
		return {...version, whole, entries: whole ? entries : entries.filter(entry => entry.revision > params.after)};
	}

	/**
	 * Applies the entries that a peer returned.
	 *
	 * @param params - the request that the result belongs to
	 * @returns the next request to the same peer, if one is needed
	 */
	handleGetResult(params: ConfigGetParams, result: ConfigGetResult): ConfigGetParams | undefined {
		if (params.onlyFallbacks) {
			if (result.digest === this.store.digest) {
				this.applyFallbacks(result.entries);
			}

			return undefined;
		}

		const ownRevision = this.store.revision;
		if (result.revision <= ownRevision) {
			return undefined;
		}

		if (!result.whole && params.after !== ownRevision) {
			// Another answer was applied in the meantime; only the changes since then are missing, not the full tree.
			return {after: ownRevision, onlyFallbacks: false};
		}

		const update = {
			...result, revision: createRevision(result.revision), base: createRevision(params.after),
		};
		const rejection = this.applyUpdate(update);
		return rejection === 'incomplete' && !result.whole ? {after: noRevision, onlyFallbacks: false} : undefined;
	}

	/** Decides what to request from the configuration service next. */
	nextServiceRequest(nowMs: number): ServiceRequest {
		const ownRevision = this.store.revision;
		const kind = this.lastServiceRevision === undefined && this.nextKind === 'watch' ? 'overlap' : this.nextKind;
		if (kind === 'whole' || (ownRevision === noRevision && kind === 'overlap') || nowMs - this.lastFullReadMs > fullReadIntervalMs) {
			return {kind: 'whole', after: noRevision, ownRevision};
		}

		return kind === 'overlap'
			? {kind, after: Math.max(0, ownRevision - overlapRevisions) as Revision, ownRevision}
			: {kind, after: this.lastServiceRevision ?? ownRevision, ownRevision};
	}

	/** Records a failed request: the service may come back with other content, for example from a backup. */
	handleServiceFailure(): void {
		this.nextKind = this.mayHaveDiverged ? 'whole' : 'overlap';
	}

	/** Applies a response of the configuration service and decides the kind of the next request. */
	handleServiceResponse(request: ServiceRequest, response: ServiceResponse, nowMs: number): void {
		this.lastServiceRevision = response.revision;
		this.nextKind = 'watch';
		if (response.revision < request.ownRevision) {
			this.mayHaveDiverged = true;
			this.reportTreeFinding('service-older', `the configuration service answered revision ${response.revision}, which is older than the current revision ${request.ownRevision}`);
		} else if (response.revision >= this.store.revision) {
			this.nextKind = this.dispatchResponse(request, response, nowMs);
		}

		// Otherwise a peer delivered a newer revision first, and this outdated response proves nothing about the service.
	}

	private dispatchResponse(request: ServiceRequest, response: ServiceResponse, nowMs: number): ServiceRequest['kind'] {
		const handlers: Record<ServiceRequest['kind'], () => ServiceRequest['kind']> = {
			watch: () => this.handleWatchResponse(request, response),
			overlap: () => this.handleOverlapResponse(request, response),
			whole: () => this.handleFullResponse(response, nowMs),
		};
		return handlers[request.kind]();
	}

	/** A long poll only shows that there is a change; the change is then read again together with the overlap. */
	private handleWatchResponse(request: ServiceRequest, response: ServiceResponse): ServiceRequest['kind'] {
		if (this.needsFullRead()) {
			return 'whole';
		}

		if (response.revision === request.after) {
			return 'watch';
		}

		return this.mayHaveDiverged ? 'whole' : 'overlap';
	}

	private handleOverlapResponse(request: ServiceRequest, response: ServiceResponse): ServiceRequest['kind'] {
		const {current} = this.store;
		if (request.ownRevision !== current.revision) {
			return 'overlap';
		}

		if (this.mayHaveDiverged || !hasSameHistory(current, request.after, response.entries)) {
			this.mayHaveDiverged = true;
			return 'whole';
		}

		const entries = response.entries.filter(entry => entry.revision > current.revision);
		this.applyUpdate({
			revision: response.revision, whole: false, base: current.revision, entries,
		});
		return 'watch';
	}

	private handleFullResponse(response: ServiceResponse, nowMs: number): ServiceRequest['kind'] {
		this.lastFullReadMs = nowMs;
		const rejection = this.applyUpdate({
			revision: response.revision, whole: true, base: noRevision, entries: response.entries,
		});
		this.lastComparedRevision = this.store.revision;
		if (rejection === undefined || rejection === 'same') {
			this.mayHaveDiverged = false;
			this.store.clearTreeFinding('service-older');
		} else if (rejection === 'conflict') {
			this.mayHaveDiverged = true;
			this.reportTreeFinding('two-histories', `the configuration service has different content at revision ${response.revision}; publish a new revision`);
		}

		return 'watch';
	}

	private applyUpdate(update: ConfigurationUpdate): RejectionReason | undefined {
		if (this.store.revision === noRevision && update.revision < this.minRevision) {
			this.reportTreeFinding('service-older', `revision ${update.revision} was offered, but a peer announced revision ${this.minRevision}`);
			return 'older';
		}

		const decision = evaluateUpdate(this.store.current, update);
		if (decision.accepted) {
			// A newer tree resolves all of these findings; a service that is still older is reported again by the next watch.
			for (const key of ['service-older', 'two-histories', 'oversized']) {
				this.store.clearTreeFinding(key);
			}

			this.store.replace(decision.tree, decision.findings);
			return undefined;
		}

		if (decision.rejection === 'oversized') {
			this.reportTreeFinding('oversized', `revision ${update.revision} has more than ${maxTreeBytes} bytes of documents and is not applied`);
		}

		return decision.rejection;
	}

	private applyFallbacks(entries: readonly ConfigEntry[]): void {
		const merged = mergeFallbacks(this.store.current, entries);
		if (merged !== this.store.current) {
			this.store.replace(merged, this.store.documentFindings);
		}
	}

	private raiseMinRevision(revision: number): void {
		if (this.store.revision === noRevision && revision > this.minRevision) {
			this.minRevision = createRevision(revision);
		}
	}

	/** One full read per revision is enough: reading the same revision again would not give a clearer result. */
	private needsFullRead(): boolean {
		return this.mayHaveDiverged && this.lastComparedRevision !== this.store.revision && this.lastServiceRevision === this.store.revision;
	}

	private reportTreeFinding(key: string, reason: string): void {
		this.store.setTreeFinding({file: '/', key, reason});
	}
}
