/**
 * Tells crashes of upstreams from broken connections: an upstream that broke connections off and does not accept new ones has crashed.
 *
 * The calls that a crash breaks off at this gateway are reported together, since any of them may have caused it.
 */
import type {Instance} from '../directory/directory-types.ts';
import type {PromptPartId} from '../ids/prompt-part-id.ts';
import type {Logger} from '../runtime/logger.ts';

/** How long broken connections of one upstream are gathered before it is probed, in milliseconds. */
const gatherMs = 3;

/** How long further broken connections count as the same crash, in milliseconds; less than the restart of an upstream takes. */
const sameCrashMs = 1000;

/** Maximum number of prompt parts reported for a crash, which bounds the memory for what callers send. */
const maxPartsPerCrash = 64;

/** A crash of one run of an upstream, as one gateway saw it. */
export type Crash = {
	/** The same at all gateways. */
	readonly id: string;
	/** When the crash was found, in milliseconds of this process's monotonic clock. */
	readonly atMs: number;
	/** The shared prompt parts of the calls that the crash broke off. */
	readonly parts: readonly PromptPartId[];
};

/** Dependencies of a {@link CrashDetector}. */
export type CrashDetectorOptions = {
	/** Returns whether an upstream accepts connections. */
	readonly acceptsConnections: (instance: Instance) => Promise<boolean>;
	/** Called for a crash, and once more when further calls turn out to have been broken off by it. */
	readonly onCrash: (crash: Crash, instance: Instance) => void;
	readonly log: Logger;
};

type Break = {
	readonly instance: Instance;
	readonly parts: Set<PromptPartId>;
	calls: number;
	crashedAtMs: number | undefined;
	isScheduled: boolean;
};

/** Watches the broken connections of this gateway. */
export class CrashDetector {
	private readonly breaks = new Map<string, Break>();

	/** @param options - dependencies */
	constructor(private readonly options: CrashDetectorOptions) {}

	/**
	 * Records that an upstream broke off the connection of a call that was sent to it.
	 *
	 * @param parts - the shared prompt parts of the call
	 */
	recordBroken(instance: Instance, parts: readonly PromptPartId[]): void {
		const entry: Break = this.breaks.get(instance.id) ?? {
			instance, parts: new Set(), calls: 0, crashedAtMs: undefined, isScheduled: false,
		};
		this.breaks.set(instance.id, entry);
		entry.calls++;
		for (const part of parts) {
			if (entry.parts.size < maxPartsPerCrash) {
				entry.parts.add(part);
			}
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
		if (entry.crashedAtMs === undefined && await this.options.acceptsConnections(entry.instance)) {
			this.breaks.delete(entry.instance.id);
			return;
		}

		entry.isScheduled = false;
		if (entry.crashedAtMs === undefined) {
			entry.crashedAtMs = performance.now();
			setTimeout(() => {
				this.breaks.delete(entry.instance.id);
			}, sameCrashMs).unref();
		}

		this.report(entry, entry.crashedAtMs);
	}

	private report({instance, parts, calls}: Break, atMs: number): void {
		this.options.log.warn({
			event: 'instance_crashed', instance: instance.id, address: instance.address, startedAtMs: instance.startedAtMs, calls, parts: [...parts],
		}, 'an upstream broke off its calls and accepts no connections');
		this.options.onCrash({id: `${instance.id}@${instance.startedAtMs}`, atMs, parts: [...parts]}, instance);
	}
}
