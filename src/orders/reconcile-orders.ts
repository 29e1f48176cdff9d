/** Decides the next order to the engine from the published models, the held manifests and the engine's report. */
import type {Model} from '../configuration/documents.ts';
import type {EngineState} from './engine-state.ts';

/** A version of a model with the digest of its manifest. */
export type VersionRef = {readonly model: string; readonly version: string; readonly manifest: string};

/** An order to the engine. */
export type EngineOrder =
	| VersionRef & {readonly kind: 'load'; readonly adapters: readonly string[]}
	| VersionRef & {readonly kind: 'load-adapter'; readonly adapters: readonly string[]}
	| VersionRef & {readonly kind: 'unload'};

/** Input of {@link reconcileOrders}. */
export type ReconcileInput = {
	/** Published models by name. */
	readonly models: ReadonlyMap<string, Model>;
	/** Digests of manifests whose chunks are all held and verified. */
	readonly held: ReadonlySet<string>;
	/** The state that the engine reports. */
	readonly engine: EngineState;
	/** The number of running calls by `model/version`. */
	readonly running: ReadonlyMap<string, number>;
};

/**
 * Returns the next order, or undefined when the engine serves what is published.
 *
 * Orders are sent one at a time, since the engine's report lags: the next one is decided when the report shows the effect of the last.
 */
export function reconcileOrders(input: ReconcileInput): EngineOrder | undefined {
	return nextLoad(input) ?? nextAdapterLoad(input) ?? nextUnload(input);
}

/**
 * Returns the versions of a model that the engine should load: the one to serve, and the previous one for a rollback.
 *
 * @param name - the model's name
 * @param model - the model's document
 */
export function wantedVersions(name: string, model: Model): VersionRef[] {
	const versions = [...new Set([model.serve, model.previous])];
	return versions.flatMap(version => {
		const manifest = version === undefined ? undefined : model.versions[version]?.manifest;
		return version === undefined || manifest === undefined ? [] : [{model: name, version, manifest}];
	});
}

function nextLoad(input: ReconcileInput): EngineOrder | undefined {
	for (const [name, model] of input.models) {
		const missing = wantedVersions(name, model).find(ref => input.held.has(ref.manifest) && !isServed(ref, input.engine) && !input.engine.loading.includes(ref.manifest));
		if (missing) {
			return {...missing, kind: 'load', adapters: model.versions[missing.version]?.adapters ?? []};
		}
	}

	return undefined;
}

function nextAdapterLoad(input: ReconcileInput): EngineOrder | undefined {
	for (const served of input.engine.served) {
		const published = input.models.get(served.model)?.versions[served.version];
		const missing = published?.manifest === served.manifest ? published.adapters.filter(adapter => !served.adapters.includes(adapter)) : [];
		if (missing.length > 0) {
			const {model, version, manifest} = served;
			return {
				model, version, manifest, kind: 'load-adapter', adapters: missing,
			};
		}
	}

	return undefined;
}

/** Unloads a version only when its successor is served and no call runs on it, so that no response is cut off. */
function nextUnload(input: ReconcileInput): EngineOrder | undefined {
	const {engine, models, running} = input;
	const removable = engine.served.find(served => {
		const model = models.get(served.model);
		if (!model) {
			return false;
		}

		const wanted = wantedVersions(served.model, model);
		const isWanted = wanted.some(ref => ref.manifest === served.manifest && ref.version === served.version);
		const successor = wanted.find(({version}) => version === model.serve);
		return !isWanted && successor !== undefined && isServed(successor, engine) && (running.get(`${served.model}/${served.version}`) ?? 0) === 0;
	});
	return removable && {
		model: removable.model, version: removable.version, manifest: removable.manifest, kind: 'unload',
	};
}

function isServed(ref: VersionRef, engine: EngineState): boolean {
	return engine.served.some(item => item.model === ref.model && item.version === ref.version && item.manifest === ref.manifest);
}
