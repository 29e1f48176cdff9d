/** Gateways in one process that get their directory from one fake source and from each other, over loopback. */
import {HttpListener} from '../../src/links/http-listener.ts';
import {GatewayStagerBase, type GatewayStagerSettings} from '../../src/cli/gateway-stager-base.ts';
import {
	type DirectoryChange, type DirectoryChanges, type DirectoryPart, type DirectorySource, HistoryLostError, type RevisedChange,
} from '../../src/directory/directory-types.ts';
import {createStoreEra, noEra} from '../../src/ids/store-era.ts';
import {createRegionId} from '../../src/ids/region-id.ts';
import {createVmId} from '../../src/ids/vm-id.ts';
import {createZoneId} from '../../src/ids/zone-id.ts';
import {directoryGetMethod} from '../../src/messages/peers-exchange.ts';
import {directoryGetParamsSchema} from '../../src/peers/directory-snapshot-schema.ts';
import {createControlRoutes} from '../../src/reports/control-routes.ts';
import {sharedPort} from './loopback-ports.ts';

const controlPort = sharedPort;
const datagramPort = sharedPort;

/** What a source held at one time. */
type SourceCopy = {readonly revision: number; readonly items: ReadonlyMap<string, SourceItem>};

type SourceItem = {readonly part: DirectoryPart; readonly revised: RevisedChange};

/** A source that counts the calls to it, and may turn some processes away. */
export class FakeSource {
	/** Rises with each return from a copy. */
	era = noEra;
	/** Reads and watches by VM. */
	readonly calls = new Map<string, number>();
	/** VMs whose calls fail. */
	readonly refused = new Set<string>();
	/** VMs whose calls are not answered. */
	readonly silent = new Set<string>();
	private lostCalls = new Set<symbol>();
	private readonly openCalls = new Set<symbol>();
	private revision = 1;
	private readonly items = new Map<string, SourceItem>();
	private readonly waiting = new Set<() => void>();

	/** Number of calls so far. */
	get total(): number {
		return [...this.calls.values()].reduce((sum, count) => sum + count, 0);
	}

	/** Publishes a change. */
	publish(part: DirectoryPart, key: string, change: DirectoryChange): void {
		this.revision++;
		this.items.set(key, {part, revised: {revision: this.revision, change}});
		for (const wake of this.waiting) {
			wake();
		}

		this.waiting.clear();
	}

	/** Returns what the source holds now, for {@link comeBackFrom}. */
	copy(): SourceCopy {
		return {revision: this.revision, items: new Map(this.items)};
	}

	/** Comes back from a copy: what was published since is gone, its revisions are given out again, and the era rises. */
	comeBackFrom({revision, items}: SourceCopy): void {
		this.era = createStoreEra(this.era + 1);
		this.revision = revision;
		this.items.clear();
		for (const [key, item] of items) {
			this.items.set(key, item);
		}
	}

	/** Makes all open connections go silent for good, while new ones work. */
	loseOpenCalls(): void {
		this.lostCalls = new Set([...this.lostCalls, ...this.openCalls]);
	}

	/** The source as one process sees it. */
	of(vm: string): DirectorySource {
		const enter = () => {
			this.calls.set(vm, (this.calls.get(vm) ?? 0) + 1);
			if (this.refused.has(vm)) {
				throw new Error('refused');
			}
		};

		const describe = (changes: RevisedChange[]): DirectoryChanges => ({revision: this.revision, ...(this.era === noEra ? {} : {era: this.era}), changes});
		const requireHistory = (after: number) => {
			if (after > this.revision) {
				throw new HistoryLostError('the revision is not known', this.era);
			}
		};

		const changesAfter = (part: DirectoryPart, after: number) => [...this.items.values()].filter(item => item.part === part && item.revised.revision > after).map(({revised}) => revised);
		const answer = async <Answer>(signal: AbortSignal, create: () => Answer | undefined): Promise<Answer> => {
			enter();
			const call = Symbol(vm);
			this.openCalls.add(call);
			try {
				for (;;) {
					const isSilent = this.silent.has(vm) || this.lostCalls.has(call);
					const created = isSilent ? undefined : create();
					if (created !== undefined) {
						return created;
					}

					await this.nextChange();
					signal.throwIfAborted();
				}
			} finally {
				this.openCalls.delete(call);
			}
		};

		return {
			read: async (part, signal) => answer(signal, () => describe(changesAfter(part, 0).filter(({change}) => change.kind !== 'instance-gone' && change.kind !== 'evacuation-ended'))),
			async watch(part, after, waitMs, signal) {
				const untilMs = performance.now() + waitMs;
				return answer(signal, () => {
					requireHistory(after);
					const changes = changesAfter(part, after);
					return changes.length > 0 || performance.now() >= untilMs ? describe(changes) : undefined;
				});
			},
		};
	}

	private async nextChange(): Promise<void> {
		await new Promise<void>(resolve => {
			this.waiting.add(resolve);
			setTimeout(resolve, 50);
		});
	}
}

type Base = GatewayStagerBase<GatewayStagerSettings>;

/** A gateway without callers. */
export type DirectoryGateway = {readonly vm: string; readonly zone: string; readonly base: Base; readonly stop: () => Promise<void>};

/**
 * Starts a gateway.
 *
 * @param index - from 1; gives the address
 */
export async function startDirectoryGateway(source: FakeSource, index: number, zone: string): Promise<DirectoryGateway> {
	const vm = `g-${index}`;
	const host = `127.0.${2 + Math.floor(index / 200)}.${1 + (index % 200)}`;
	const settings: GatewayStagerSettings = {
		process: {
			vm: createVmId(vm), zone: createZoneId(zone), region: createRegionId(zone), log_level: 'fatal', random_seed: index,
		},
		peers: {seeds: [`127.0.2.2:${controlPort}`, `127.0.2.3:${controlPort}`]},
		directory: {address: {host: '127.0.0.1', port: 1}},
	};
	const base: Base = new GatewayStagerBase({file: '/dev/null', read: () => settings}, () => ({
		role: 'gateway', control: {host, port: controlPort}, datagrams: {host, port: datagramPort}, parts: ['published', 'instances'], pulledParts: 'directory',
	}), () => source.of(vm));
	base.rpc.method(directoryGetMethod, directoryGetParamsSchema, ({configurationVersion, instancesRevision, era}) => base.directory.snapshot(configurationVersion, instancesRevision, era));
	const control = new HttpListener(createControlRoutes({
		rpc: base.rpc, metrics: base.metrics, isReady: () => true, dump: () => ({}),
	}), base.log);
	await control.start({host, port: controlPort});
	await base.start();
	return {
		vm, zone, base, async stop() {
			control.destroy();
			await base.stop();
		},
	};
}
