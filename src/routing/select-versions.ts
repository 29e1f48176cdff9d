/** Decides how load moves from one version to the next while replicas come up. */
import type {Model} from '../configuration/documents.ts';
import {resolveVersion, servesVersion, type WantedVersion} from './resolve-version.ts';
import {type Candidate, spillThreshold} from './select-upstream.ts';

/**
 * Returns the versions that may take a call, the preferred one first.
 *
 * While the upstreams of `serve` could not carry the load of both versions, `previous` takes part as well, so that the
 * first replicas of a new version are not flooded. A route that names a version stays on it while any upstream serves it.
 *
 * @param modelName - the model
 * @param model - its document
 * @param wanted - what the route names
 * @param candidates - usable upstreams of the model's service
 * @returns an empty list when no upstream serves any published version with the adapter
 */
export function spreadVersions(modelName: string, model: Model, wanted: WantedVersion, candidates: readonly Candidate[]): string[] {
	const preferred = resolveVersion(modelName, model, wanted, candidates.map(({member}) => member));
	if (preferred === undefined) {
		return [];
	}

	const {previous, serve} = model;
	if (preferred !== serve || preferred === wanted.version || previous === undefined || previous === serve) {
		return [preferred];
	}

	let load = 0;
	let capacity = 0;
	let previousServed = false;
	for (const candidate of candidates) {
		const servesPreferred = servesVersion(candidate.member, modelName, model, serve, wanted.adapter);
		const servesPrevious = servesVersion(candidate.member, modelName, model, previous, wanted.adapter);
		load += servesPreferred || servesPrevious ? candidate.load : 0;
		capacity += servesPreferred ? candidate.capacity : 0;
		previousServed ||= servesPrevious && !servesPreferred;
	}

	return previousServed && load + 1 > spillThreshold * capacity ? [serve, previous] : [serve];
}
