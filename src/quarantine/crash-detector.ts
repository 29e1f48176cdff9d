/**
 * Tells crashes of upstreams from broken connections: an upstream that broke off or left calls and refuses new connections has crashed.
 * One that does not react at all may only be cut off.
 *
 * The calls that a crash breaks off at this gateway are reported together, since any of them may have caused it.
 */
import type {Instance} from '../directory/directory-types.ts';
import type {ConnectionProbe} from '../links/probe-connection.ts';
import type {PromptPartId} from '../ids/prompt-part-id.ts';
import type {Logger} from '../runtime/logger.ts';

/** How long broken connections of one upstream are gathered before it is probed, in milliseconds. */
const gatherMs = 3;

/** How long further broken connections count as the same crash, in milliseconds; less than the restart of an upstream takes. */
const sameCrashMs = 1000;

/** Maximum number of calls reported for a crash, which bounds the memory for what callers send. */
const maxCallsPerCrash = 32;

/** Maximum number of parts of the calls reported for a crash. */
const maxPartsPerCrash = 32_768;

/** Maximum number of parts in a log line. */
const maxLoggedParts = 32;

/** A crash of one run of an upstream, as one gateway saw it. */
export type Crash = {
	/** The same at all gateways. */
	readonly id: string;
	/** When the first of these calls was broken off, in milliseconds of this process's monotonic clock. */
	readonly atMs: number;
	/** The shared prompt parts of each call that the crash broke off; calls with the same parts count once, calls without any not at all. */
	readonly calls: ReadonlyArray<readonly PromptPartId[]>;
};

/** Dependencies of a {@link CrashDetector}. */
export type CrashDetectorOptions = {
	/** Returns what an upstream does with a new connection. */
	readonly probe: (instance: Instance) => Promise<ConnectionProbe>;
	/** Called for a crash, and once more when further calls turn out to have been broken off by it. */
	readonly onCrash: (crash: Crash, instance: Instance) => void;
	readonly log: Logger;
};

type Break = {
	readonly instance: Instance;
	/** The broken calls, by their parts. */
	readonly calls: Map<string, readonly PromptPartId[]>;
	count: number;
	partCount: number;
	readonly brokenAtMs: number;
	hasCrashed: boolean;
	isScheduled: boolean;
};

/** Watches the broken connections of this gateway. */
export class CrashDetector {
	private readonly breaks = new Map<string, Break>();

	/** @param options - dependencies */
	constructor(private readonly options: CrashDetectorOptions) {}

	/**
	 * Records that an upstream broke off the connection of a call that was sent to it, or sent nothing for too long.
	 *
	 * @param parts - the shared prompt parts of the call
	 */
	recordBroken(instance: Instance, parts: readonly PromptPartId[]): void {
		const entry: Break = this.breaks.get(instance.id) ?? {
			instance, calls: new Map(), count: 0, partCount: 0, brokenAtMs: performance.now(), hasCrashed: false, isScheduled: false,
		};
		this.breaks.set(instance.id, entry);
		entry.count++;
		const key = parts.join(' ');
		if (parts.length > 0 && !entry.calls.has(key) && entry.calls.size < maxCallsPerCrash && entry.partCount + parts.length <= maxPartsPerCrash) {
			entry.calls.set(key, parts);
			entry.partCount += parts.length;
		}

		if (!entry.isScheduled) {
			entry.isScheduled = true;
			setTimeout(() => {
				void this.examine(entry);
			}, gatherMs).unref();
		}
	}

	/** Probes the upstream unless it is known to have crashed, and reports the crash with the calls gathered so far. */
	private async examine(entry: Break): Promise<void> {
		if (!entry.hasCrashed && await this.options.probe(entry.instance) !== 'refuses') {
			this.breaks.delete(entry.instance.id);
			return;
		}

		entry.isScheduled = false;
		if (!entry.hasCrashed) {
			entry.hasCrashed = true;
			setTimeout(() => {
				this.breaks.delete(entry.instance.id);
			}, sameCrashMs).unref();
		}

		this.report(entry);
	}

	private report({instance, calls, count, brokenAtMs}: Break): void {
		const partsOfCalls = [...calls.values()];
		const parts = [...new Set(partsOfCalls.flat())];
		this.options.log.warn({
			event: 'instance_crashed', instance: instance.id, address: instance.address, startedAtMs: instance.startedAtMs, calls: count, parts: parts.slice(0, maxLoggedParts), partCount: parts.length,
		}, 'an upstream broke off its calls and refuses connections');
		this.options.onCrash({id: `${instance.id}@${instance.startedAtMs}`, atMs: brokenAtMs, calls: partsOfCalls}, instance);
	}
}
