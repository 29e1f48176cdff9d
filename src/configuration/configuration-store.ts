/** The configuration in force on this process: entries by path, and typed access to their documents. */
import {digestOf, type Digest} from '../ids/digest.ts';
import {noRevision, type Revision} from '../ids/revision.ts';
import type {ConfigEntry} from '../messages/config-sync.ts';
import type {Finding} from '../runtime/finding.ts';
import {checkDocument} from './check-document.ts';
import {
	type Model, type Route, type Service, type TransferLimits, transferSchema, type WorkspaceLimits, workspaceLimitsSchema,
} from './documents.ts';

/** A whole tree of entries at one revision. */
export type ConfigurationTree = {
	readonly revision: Revision;
	/** Entries by path; deleted paths stay as entries with a null value, so that deltas carry them. */
	readonly entries: ReadonlyMap<string, ConfigEntry>;
};

/** The tree before anything was published. */
export const emptyTree: ConfigurationTree = {revision: noRevision, entries: new Map()};

/** Holds the tree in force. */
export class ConfigurationStore {
	private tree: ConfigurationTree = emptyTree;
	private readonly documents = new Map<string, unknown>();
	private readonly listeners = new Set<() => void>();
	private digestText: Digest = digestOfTree(emptyTree);
	private openFindings: readonly Finding[] = [];

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

	/** Problems of documents whose last good value stays in force. */
	get findings(): readonly Finding[] {
		return this.openFindings;
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
		this.openFindings = findings;
		this.documents.clear();
		for (const entry of tree.entries.values()) {
			const document = documentInForce(entry);
			if (document !== undefined) {
				this.documents.set(entry.path, document);
			}
		}

		for (const listener of this.listeners) {
			listener();
		}
	}

	/**
	 * Adds a listener that is called after each change.
	 *
	 * @param listener - reads what it needs from the store
	 */
	onChange(listener: () => void): void {
		this.listeners.add(listener);
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

/**
 * Computes the digest of a tree over path, revision and value of all entries.
 *
 * @param tree - the tree
 */
export function digestOfTree(tree: ConfigurationTree): Digest {
	const lines = [...tree.entries.values()]
		.toSorted((a, b) => (a.path < b.path ? -1 : 1))
		.map(entry => JSON.stringify([entry.path, entry.revision, entry.value]));
	return digestOf(`${tree.revision}\n${lines.join('\n')}`);
}

function documentInForce(entry: ConfigEntry): unknown {
	if (entry.value === null) {
		return undefined;
	}

	const checked = checkDocument(entry.path, entry.value);
	if (checked.ok) {
		return checked.document;
	}

	const fallback = entry.fallback && checkDocument(entry.path, entry.fallback.value);
	return fallback?.ok ? fallback.document : undefined;
}
