/** Validates references between published documents to services, models, versions and adapters. */
import type {Model, Route, Service} from '../configuration/documents.ts';

/** A reference to something that does not exist, or a field that is missing or not allowed for the kind of service. */
export type ReferenceFinding = {
	/** Path of the document. */
	readonly path: string;
	/** Path of the key within the document. */
	readonly key: readonly string[];
	readonly reason: string;
};

type Documents = ReadonlyMap<string, unknown>;

type DocumentCheck = (path: string, document: never, documents: Documents) => ReferenceFinding[];

/** The check for each kind of document, by path pattern. */
const checks: ReadonlyArray<{readonly pattern: RegExp; readonly check: DocumentCheck}> = [
	{pattern: /^\/services\//, check: checkService},
	{pattern: /^\/models\//, check: checkModel},
	{pattern: /^\/teams\/[^/]+\/routes\//, check: checkRoute},
];

/**
 * Validates all references between documents.
 *
 * @param documents - documents by path, each valid by itself
 */
export function checkReferences(documents: Documents): ReferenceFinding[] {
	return [...documents].flatMap(([path, document]) => {
		const found = checks.find(({pattern}) => pattern.test(path));
		return found ? found.check(path, document as never, documents) : [];
	});
}

function checkService(path: string, service: Service): ReferenceFinding[] {
	const hasOperations = Object.keys(service.operations).length > 0;
	return service.kind === 'engine' && hasOperations
		? [{path, key: ['operations'], reason: 'must be empty for a service of kind engine'}]
		: [];
}

function checkModel(path: string, model: Model): ReferenceFinding[] {
	return model.previous !== undefined && !Object.hasOwn(model.versions, model.previous)
		? [{path, key: ['previous'], reason: `names version ${model.previous} that is not in versions`}]
		: [];
}

function checkRoute(path: string, route: Route, documents: Documents): ReferenceFinding[] {
	const service = documents.get(`/services/${route.service}`) as Service | undefined;
	const findings: ReferenceFinding[] = [];
	if (!service) {
		findings.push({path, key: ['service'], reason: `names service ${route.service} that is not among the documents`});
	} else if (service.kind === 'engine' && route.model === undefined) {
		findings.push({path, key: ['model'], reason: `is missing; service ${route.service} is of kind engine`});
	}

	return route.model === undefined ? findings : [...findings, ...checkRouteModel(path, route, documents)];
}

function checkRouteModel(path: string, route: Route, documents: Documents): ReferenceFinding[] {
	const model = documents.get(`/models/${route.model}`) as Model | undefined;
	if (!model) {
		return [{path, key: ['model'], reason: `names model ${route.model} that is not among the documents`}];
	}

	const versionName = route.version ?? model.serve;
	const version = Object.hasOwn(model.versions, versionName) ? model.versions[versionName] : undefined;
	if (!version) {
		return [{path, key: ['version'], reason: `names version ${versionName} that model ${route.model} does not have`}];
	}

	return route.adapter !== undefined && !version.adapters.includes(route.adapter)
		? [{path, key: ['adapter'], reason: `names adapter ${route.adapter} that version ${versionName} of model ${route.model} does not have`}]
		: [];
}
