/** Decides which version of a model a call gets. */
import type {Model} from '../configuration/documents.ts';
import type {Member} from '../membership/member.ts';

/** What a route asks of a model. */
export type WantedVersion = {
	/** The version that the route names, if any. */
	readonly version?: string | undefined;
	/** The adapter that the route names, if any; a version without it cannot answer the route. */
	readonly adapter?: string | undefined;
};

/**
 * Returns the version that a call gets: the named one when a member serves it, then `serve`, then `previous`, then the one
 * that most members serve.
 *
 * @param modelName - the model
 * @param model - its document
 * @param wanted - what the route names
 * @param members - usable upstreams of the model's service
 * @returns undefined when no member serves any published version with the adapter
 */
export function resolveVersion(modelName: string, model: Model, wanted: WantedVersion, members: readonly Member[]): string | undefined {
	const isServed = (version: string | undefined): version is string =>
		version !== undefined && members.some(member => servesVersion(member, modelName, model, version, wanted.adapter));
	const known = [wanted.version, model.serve, model.previous].find(version => isServed(version));
	return known ?? mostServed(modelName, model, wanted, members);
}

/**
 * Tells whether a member serves a version with the published weights.
 *
 * @param member - the member
 * @param modelName - the model
 * @param model - the model's document
 * @param version - the version
 * @param adapter - the adapter that must be loaded as well, if any
 */
export function servesVersion(member: Member, modelName: string, model: Model, version: string, adapter?: string): boolean {
	const manifest = model.versions[version]?.manifest;
	const served = member.sight.report?.served ?? [];
	return served.some(item => item.model === modelName && item.version === version && item.manifest === manifest
		&& (adapter === undefined || item.adapters.includes(adapter)));
}

function mostServed(modelName: string, model: Model, wanted: WantedVersion, members: readonly Member[]): string | undefined {
	let best: string | undefined;
	let bestCount = 0;
	for (const version of Object.keys(model.versions).toSorted()) {
		const count = members.filter(member => servesVersion(member, modelName, model, version, wanted.adapter)).length;
		// The later name wins a tie: it is usually the newer version.
		if (count > 0 && count >= bestCount) {
			best = version;
			bestCount = count;
		}
	}

	return best;
}
