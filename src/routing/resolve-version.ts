/** Decides which version of a model a call gets. */
import type {Model} from '../configuration/documents.ts';
import type {Member} from '../membership/member.ts';

/**
 * Returns the version that a call gets: the wanted one when a member serves it, otherwise one that was served before.
 *
 * @param modelName - the model
 * @param model - its document
 * @param wanted - the version that the rule names; the model's `serve` version when undefined
 * @param members - usable upstreams of the model's service
 * @returns undefined when no member serves any published version
 */
export function resolveVersion(modelName: string, model: Model, wanted: string | undefined, members: readonly Member[]): string | undefined {
	const counts = countServed(modelName, model, members);
	const byCount = [...counts].toSorted(([a, x], [b, y]) => y - x || (a < b ? 1 : -1)).map(([version]) => version);
	const order = [wanted ?? model.serve, model.previous, ...byCount];
	return order.find(version => version !== undefined && counts.has(version));
}

/**
 * Tells whether a member serves a version with the published weights.
 *
 * @param member - the member
 * @param modelName - the model
 * @param model - the model's document
 * @param version - the version
 */
export function servesVersion(member: Member, modelName: string, model: Model, version: string): boolean {
	const manifest = model.versions[version]?.manifest;
	const served = member.sight.report?.served ?? [];
	return served.some(item => item.model === modelName && item.version === version && item.manifest === manifest);
}

function countServed(modelName: string, model: Model, members: readonly Member[]): Map<string, number> {
	const counts = new Map<string, number>();
	for (const version of Object.keys(model.versions)) {
		const count = members.filter(member => servesVersion(member, modelName, model, version)).length;
		if (count > 0) {
			counts.set(version, count);
		}
	}

	return counts;
}
