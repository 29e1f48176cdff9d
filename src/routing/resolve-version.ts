/** Resolves the version of a model that a call is routed to. */
import type {Model} from '../configuration/documents.ts';
import type {Member} from '../membership/member.ts';

/** The version and adapter that a route requests. */
export type RequestedVersion = {
	/** The preferred version, if the route names one. */
	readonly version?: string | undefined;
	/** The required adapter, if the route names one; versions served without it are not considered. */
	readonly adapter?: string | undefined;
};

/**
 * Returns the version for a call: the first served one of the requested version, `serve` and `previous`, otherwise the
 * published version that most members serve.
 *
 * @param model - the model's document
 * @param requested - what the route requests
 * @param members - usable upstreams of the model's service
 * @returns undefined when no member serves a published version with the requested adapter
 */
export function resolveVersion(modelName: string, model: Model, requested: RequestedVersion, members: readonly Member[]): string | undefined {
	const isServed = (version: string | undefined): version is string =>
		version !== undefined && members.some(member => servesVersion(member, modelName, model, version, requested.adapter));
	const preferred = [requested.version, model.serve, model.previous].find(version => isServed(version));
	return preferred ?? findMostServedVersion(modelName, model, requested, members);
}

/**
 * Returns whether a member serves a version with the weights of the published manifest.
 *
 * @param model - the model's document
 * @param adapter - an adapter that must be loaded too
 */
export function servesVersion(member: Member, modelName: string, model: Model, version: string, adapter?: string): boolean {
	const manifest = model.versions[version]?.manifest;
	const served = member.sight.report?.served ?? [];
	return served.some(item => item.model === modelName && item.version === version && item.manifest === manifest
		&& (adapter === undefined || item.adapters.includes(adapter)));
}

function findMostServedVersion(modelName: string, model: Model, requested: RequestedVersion, members: readonly Member[]): string | undefined {
	let best: string | undefined;
	let bestCount = 0;
	for (const version of Object.keys(model.versions).toSorted()) {
		const count = members.filter(member => servesVersion(member, modelName, model, version, requested.adapter)).length;
		// On a tie the version that sorts last wins, since it is usually the newest.
		if (count > 0 && count >= bestCount) {
			best = version;
			bestCount = count;
		}
	}

	return best;
}
