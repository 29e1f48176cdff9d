/** The configuration in force on this process: entries by path, and typed access to their documents. */
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

/** Holds the tree in force. */
export class ConfigurationStore {
	private tree: ConfigurationTree = emptyTree;
	private readonly documents = new Map<string, unknown>();
	private readonly events = new EventTarget();
	private digestText: Digest = digestOfTree(emptyTree);
	private fallbackDigest: Digest = digestOfFallbacks(emptyTree);
	private openFindings: readonly Finding[] = [];
	private readonly conditions = new Map<string, Finding>();

	/** The revision in force. */
	get revision(): Revision {
		return this.tree.revision;
	}

	/** The digest of the whole tree in force. */
	get digest(): Digest {
		return this.digestText;
	}

	/** The tree in force. */
	get current(): ConfigurationTree {
		return this.tree;
	}

	/** Revision and digests of the tree in force. */
	get version(): ConfigVersion {
		return {revision: this.tree.revision, digest: this.digestText, fallbackDigest: this.fallbackDigest};
	}

	/** Problems of documents whose last good value stays in force, and of the tree as a whole. */
	get findings(): readonly Finding[] {
		return [...this.conditions.values(), ...this.openFindings];
	}

	/** Problems of documents whose last good value stays in force. */
	get documentFindings(): readonly Finding[] {
		return this.openFindings;
	}

	/**
	 * Reports a problem of the tree as a whole until it is cleared.
	 *
	 * @param finding - replaces the finding with the same key
	 */
	setTreeFinding(finding: Finding): void {
		if (!this.conditions.has(finding.key)) {
			this.events.dispatchEvent(new CustomEvent('finding', {detail: finding}));
		}

		this.conditions.set(finding.key, finding);
	}

	/**
	 * Clears a problem of the tree as a whole.
	 *
	 * @param key - the finding's key
	 */
	clearTreeFinding(key: string): void {
		this.conditions.delete(key);
	}

	/** The findings as they appear. */
	newFindings(): Stream<Finding> {
		return fromEvent<CustomEvent<Finding>>('finding', this.events as never).map(({detail}) => detail);
	}

	/**
	 * Puts a tree in force.
	 *
	 * @param tree - an accepted tree
	 * @param findings - problems that the acceptance found
	 */
	replace(tree: ConfigurationTree, findings: readonly Finding[]): void {
		this.tree = tree;
		this.digestText = digestOfTree(tree);
		this.fallbackDigest = digestOfFallbacks(tree);
		for (const finding of findings) {
			this.events.dispatchEvent(new CustomEvent('finding', {detail: finding}));
		}

		this.openFindings = findings;
		this.documents.clear();
		for (const entry of tree.entries.values()) {
			const document = documentInForce(entry);
			if (document !== undefined) {
				this.documents.set(entry.path, document);
			}
		}

		this.events.dispatchEvent(new CustomEvent('change', {detail: tree}));
	}

	/** The trees that are put in force from now on. */
	changes(): Stream<ConfigurationTree> {
		return fromEvent<CustomEvent<ConfigurationTree>>('change', this.events as never).map(({detail}) => detail);
	}

	/**
	 * Adds a listener that is called after each change.
	 *
	 * @param listener - reads what it needs from the store
	 */
	onChange(listener: () => void): void {
		this.events.addEventListener('change', listener);
	}

	/**
	 * Returns a workspace's limits, or the defaults.
	 *
	 * @param workspace - the workspace
	 */
	limitsOf(workspace: string): WorkspaceLimits {
		return (this.documents.get(`/teams/${workspace}/limits`) as WorkspaceLimits | undefined) ?? workspaceLimitsSchema.parse({});
	}

	/**
	 * Returns a workspace's route.
	 *
	 * @param workspace - the workspace
	 * @param name - the name that callers ask for
	 */
	route(workspace: string, name: string): Route | undefined {
		return this.documents.get(`/teams/${workspace}/routes/${name}`) as Route | undefined;
	}

	/**
	 * Returns a model.
	 *
	 * @param name - the model's name
	 */
	model(name: string): Model | undefined {
		return this.documents.get(`/models/${name}`) as Model | undefined;
	}

	/** Returns all models by name. */
	models(): Map<string, Model> {
		const prefix = '/models/';
		const found = [...this.documents].filter(([path]) => path.startsWith(prefix));
		return new Map(found.map(([path, document]) => [path.slice(prefix.length), document as Model]));
	}

	/**
	 * Returns a service.
	 *
	 * @param name - the service's name
	 */
	service(name: string): Service | undefined {
		return this.documents.get(`/services/${name}`) as Service | undefined;
	}

	/** Returns the limits of weight transfers. */
	transferLimits(): TransferLimits {
		return (this.documents.get('/system/transfer') as TransferLimits | undefined) ?? transferSchema.parse({});
	}
}

function documentInForce(entry: ConfigEntry): unknown {
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
