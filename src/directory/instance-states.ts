/** Merges what the entry and the stager of an instance tell, and decides by state which of two entries is newer where their revisions do not tell. No I/O. */
import type {HeldModel, Instance} from './directory-types.ts';

/** The model that an engine has loaded, as reported by its stager, and the start of the engine, in milliseconds since 1970. */
export type ReportedModel = {readonly startedAtMs: number; readonly held: HeldModel};

/** Returns whether the state `a` follows the state `b`: a later run, or the same run that now drains or holds newer weights. */
export function isLaterState(a: Instance, b: Instance): boolean {
	if (a.startedAtMs !== b.startedAtMs) {
		return a.startedAtMs > b.startedAtMs;
	}

	if (a.isDraining !== b.isDraining) {
		return a.isDraining;
	}

	return newestVersion(a) > newestVersion(b);
}

/** Merges the reported model into the published instance. Versions only increase during one run of an engine, so the higher version is the newer one. */
export function withReportedModel(instance: Instance, reported: ReportedModel | undefined): Instance {
	const isSameRun = reported?.startedAtMs === instance.startedAtMs;
	const publishedVersion = instance.held.find(({model}) => model === reported?.held.model)?.version ?? 0;
	return reported && isSameRun && reported.held.version > publishedVersion
		? {...instance, held: [...instance.held.filter(({model}) => model !== reported.held.model), reported.held]}
		: instance;
}

function newestVersion({held}: Instance): number {
	return Math.max(0, ...held.map(({version}) => version));
}
