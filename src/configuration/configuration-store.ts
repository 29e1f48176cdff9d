/** The current configuration of a process, with typed access to its documents. */
import {fromEvent, type Stream} from 'most';
import type {Digest} from '../ids/digest.ts';
import type {Revision} from '../ids/revision.ts';
import type {ConfigEntry, ConfigVersion} from '../messages/config-sync.ts';
import type {Finding} from '../runtime/finding.ts';
import {checkDocument, checkEntry} from './check-document.ts';
import {
	type Model, type Route, type Service, type TransferLimits, transferSchema, type WorkspaceLimits, workspaceLimitsSchema,
} from './documents.ts';
import {
	type ConfigurationTree, digestOfFallbacks, digestOfTree, emptyTree,
} from './tree.ts';

/** Holds the current tree, its valid documents and the open findings, and notifies listeners of changes. */
export class ConfigurationStore {
	private tree: ConfigurationTree = emptyTree;
	private readonly documents = new Map<string, unknown>();
	private readonly events = new EventTarget();
	private treeDigest: Digest = digestOfTree(emptyTree);
	private fallbackDigest: Digest = digestOfFallbacks(emptyTree);
	private currentDocumentFindings: readonly Finding[] = [];
	private readonly treeFindings = new Map<string, Finding>();

	/** The current revision. */
	get revision(): Revision {
		return this.tree.revision;
	}

	/** The digest of the current tree. */
	get digest(): Digest {
		return this.treeDigest;
	}

	/** The current tree. */
	get current(): ConfigurationTree {
		return this.tree;
	}

	/** Revision and digests of the current tree. */
	get version(): ConfigVersion {
		return {revision: this.tree.revision, digest: this.treeDigest, fallbackDigest: this.fallbackDigest};
	}

	/** All open findings: invalid documents, and problems of the tree as a whole. */
	get findings(): readonly Finding[] {
		return [...this.treeFindings.values(), ...this.currentDocumentFindings];
	}

	/** The findings of invalid documents, whose last valid value remains in use. */
	get documentFindings(): readonly Finding[] {
		return this.currentDocumentFindings;
	}

	/**
	 * Sets a finding about the tree as a whole, which stays open until {@link clearTreeFinding}.
	 *
	 * @param finding - replaces an open finding with the same key
	 */
	setTreeFinding(finding: Finding): void {
		if (!this.treeFindings.has(finding.key)) {
			this.events.dispatchEvent(new CustomEvent('finding', {detail: finding}));
		}

		this.treeFindings.set(finding.key, finding);
	}

	/** Clears a finding about the tree as a whole. */
	clearTreeFinding(key: string): void {
		this.treeFindings.delete(key);
	}

	/** Emits each finding when it is first reported, and document findings again with each applied tree. */
	newFindings(): Stream<Finding> {
		return fromEvent<CustomEvent<Finding>>('finding', this.events as never).map(({detail}) => detail);
	}

	/**
	 * Replaces the current tree.
	 *
	 * @param tree - an accepted tree
	 * @param findings - validation problems of its documents
	 */
	replace(tree: ConfigurationTree, findings: readonly Finding[]): void {
		this.tree = tree;
		this.treeDigest = digestOfTree(tree);
		this.fallbackDigest = digestOfFallbacks(tree);
		for (const finding of findings) {
			this.events.dispatchEvent(new CustomEvent('finding', {detail: finding}));
		}

		this.currentDocumentFindings = findings;
		this.documents.clear();
		for (const entry of tree.entries.values()) {
			const document = effectiveDocument(entry);
			if (document !== undefined) {
				this.documents.set(entry.path, document);
			}
		}

		this.events.dispatchEvent(new CustomEvent('change', {detail: tree}));
	}

	/** Emits every tree that is applied from now on. */
	changes(): Stream<ConfigurationTree> {
		return fromEvent<CustomEvent<ConfigurationTree>>('change', this.events as never).map(({detail}) => detail);
	}

	/** Adds a listener that is called synchronously after each change. */
	onChange(listener: () => void): void {
		this.events.addEventListener('change', listener);
	}

	/** Returns a workspace's limits, or the defaults. */
	limitsOf(workspace: string): WorkspaceLimits {
		return (this.documents.get(`/teams/${workspace}/limits`) as WorkspaceLimits | undefined) ?? workspaceLimitsSchema.parse({});
	}

	/**
	 * Returns a workspace's route.
	 *
	 * @param name - the route name in the caller's request
	 */
	route(workspace: string, name: string): Route | undefined {
		return this.documents.get(`/teams/${workspace}/routes/${name}`) as Route | undefined;
	}

	model(name: string): Model | undefined {
		return this.documents.get(`/models/${name}`) as Model | undefined;
	}

	/** Returns all models by name. */
	models(): Map<string, Model> {
		const prefix = '/models/';
		const found = [...this.documents].filter(([path]) => path.startsWith(prefix));
		return new Map(found.map(([path, document]) => [path.slice(prefix.length), document as Model]));
	}

	service(name: string): Service | undefined {
		return this.documents.get(`/services/${name}`) as Service | undefined;
	}

	/** Returns the limits of weight transfers, or the defaults. */
	transferLimits(): TransferLimits {
		return (this.documents.get('/system/transfer') as TransferLimits | undefined) ?? transferSchema.parse({});
	}
}

/** Returns the published document or, when it is invalid, its fallback. */
function effectiveDocument(entry: ConfigEntry): unknown {
	if (entry.value === null) {
		return undefined;
	}

	const checked = checkEntry(entry);
	if (checked.ok) {
		return checked.document;
	}

	const fallback = entry.fallback && checkDocument(entry.path, entry.fallback.value);
	return fallback?.ok ? fallback.document : undefined;
}
