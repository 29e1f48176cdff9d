/** Shifts calls from the previous version of a model to the current one as upstreams begin to serve it. */
import type {Model} from '../configuration/documents.ts';
import {type RequestedVersion, resolveVersion, servesVersion} from './resolve-version.ts';
import {type Candidate, spilloverThreshold} from './select-upstream.ts';

/**
 * Returns the versions that a call may be routed to, the preferred one first.
 *
 * While the upstreams that serve `serve` cannot carry the load of both versions, `previous` is included too, so that the
 * first upstreams of a new version are not overloaded. A route that names a version uses only that version while any
 * upstream serves it.
 *
 * @param model - the model's document
 * @param requested - what the route requests
 * @param candidates - usable upstreams of the model's service
 * @returns an empty list when no upstream serves a published version with the requested adapter
 */
export function selectVersions(modelName: string, model: Model, requested: RequestedVersion, candidates: readonly Candidate[]): string[] {
	const preferred = resolveVersion(modelName, model, requested, candidates.map(({member}) => member));
	if (preferred === undefined) {
		return [];
	}

	const {previous, serve} = model;
	if (preferred !== serve || preferred === requested.version || previous === undefined || previous === serve) {
		return [preferred];
	}

	let load = 0;
	let capacity = 0;
	let previousServed = false;
	for (const candidate of candidates) {
		const servesPreferred = servesVersion(candidate.member, modelName, model, serve, requested.adapter);
		const servesPrevious = servesVersion(candidate.member, modelName, model, previous, requested.adapter);
		load += servesPreferred || servesPrevious ? candidate.load : 0;
		capacity += servesPreferred ? candidate.capacity : 0;
		previousServed ||= servesPrevious && !servesPreferred;
	}

	return previousServed && load + 1 > spilloverThreshold * capacity ? [serve, previous] : [serve];
}
