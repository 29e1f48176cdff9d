/** `cactusreach demo`: runs a rollout on loopback during live calls, kills an agent, and checks every response. */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {DemoCallers} from '../demo/demo-callers.ts';
import {
	DemoFleet, demoRegions, enginesPerZone,
} from '../demo/demo-fleet.ts';
import {DemoProcesses} from '../demo/demo-processes.ts';
import {type DemoResult, printSummary} from '../demo/demo-summary.ts';
import {PeerClient} from '../links/peer-client.ts';
import {formatProgress, readAgentStates, summarizeRollout} from '../reports/rollout-overview.ts';
import {RandomSource, randomSeed} from '../runtime/random-source.ts';

/** The size of the weights of one version, in bytes. */
const weightsBytes = 2_000_000;

/** The size of one chunk, in bytes. */
const chunkBytes = 62_500;

/** The duration of the calls before the rollout and again after it, in milliseconds. */
const steadyStateMs = 1500;

/** The time from the start of the rollout until the agent is killed, in milliseconds. */
const killAfterMs = 300;

/** The simulated time that the platform takes to replace a lost VM, in milliseconds. */
const replacementDelayMs = 700;

/** The minimum time between two progress lines of a zone, in milliseconds. */
const progressIntervalMs = 800;

/**
 * Runs the demo.
 *
 * @returns the exit code: 1 if an idempotent call got no response or a wrong one, if a booking ran twice, or on an interrupt
 */
export async function demoCommand(): Promise<number> {
	const interrupt = new AbortController();
	for (const signal of ['SIGINT', 'SIGTERM'] as const) {
		process.on(signal, () => {
			interrupt.abort(new Error('interrupted'));
		});
	}

	const processes = new DemoProcesses(new RandomSource(randomSeed()));
	const links = new PeerClient();
	const fleet = new DemoFleet({processes, links, signal: interrupt.signal});
	const demo = new Demo(fleet, links, interrupt.signal);
	try {
		return printSummary(await demo.run());
	} catch (err) {
		console.error(`demo failed: ${(err as Error).message}`);
		return 1;
	} finally {
		await demo.stopCallers();
		await processes.endAll();
		await links.close();
		fleet.removeSettingsFiles();
		demo.print(`all processes ended, ${processes.runningCount} left`);
	}
}

type EntryDump = {zone: string; members: Array<{zone: string; sight: {report?: {served?: unknown[]}}}>};

/** Runs the steps of the demo. */
class Demo {
	private readonly startedAtMs = performance.now();
	private readonly weightsByVersion = new Map<string, string>();
	private readonly callers = new DemoCallers(this.weightsByVersion);
	private readonly versions: Record<string, {manifest: string}> = {};

	constructor(private readonly fleet: DemoFleet, private readonly links: PeerClient, private readonly signal: AbortSignal) {}

	async run(): Promise<DemoResult> {
		const {fleet} = this;
		const replicas = demoRegions.length * enginesPerZone;
		this.print(`starting ${demoRegions.length} regions on 127.0.0.1, each with 1 entry, ${enginesPerZone} agents beside engines and 1 agent beside a booking service`);
		await fleet.start();
		await this.publishVersion('v1');
		const firstRolloutMs = await this.followRollout('v1');
		await fleet.waitFor('all entries know the replicas of their zone', async () => this.entriesSeeReplicas());
		this.print(`v1 is served by ${replicas} replicas; callers start`);
		for (const {callers = ''} of fleet.entries) {
			this.callers.start(callers);
		}

		await this.pause(steadyStateMs);
		const before = await fleet.platformStatistics();
		await this.publishVersion('v2', 'v1');
		const [secondRolloutMs] = await Promise.all([this.followRollout('v2'), this.killAndReplaceAgent()]);
		this.print(`v2 is served by ${replicas} replicas`);
		await this.pause(steadyStateMs);
		await this.callers.stop();
		const after = await fleet.platformStatistics();
		return {
			counts: this.callers.counts,
			runsByBooking: await this.readRunCounts(),
			replicas,
			firstRolloutMs,
			secondRolloutMs,
			originCopies: (after.originBytes - before.originBytes) / weightsBytes,
		};
	}

	async stopCallers(): Promise<void> {
		await this.callers.stop();
	}

	print(text: string): void {
		const seconds = ((performance.now() - this.startedAtMs) / 1000).toFixed(1).padStart(5);
		console.log(`${seconds} s  ${text}`);
	}

	private async publishVersion(version: string, previous?: string): Promise<void> {
		const {manifest, weights} = await this.fleet.addWeights(version, weightsBytes, chunkBytes);
		this.weightsByVersion.set(version, weights);
		this.versions[version] = {manifest};
		await this.fleet.publish({
			'/services/assistant': {kind: 'engine'},
			'/services/booking': {kind: 'plain', operations: {book: {repeatable: false}, status: {repeatable: true}}},
			'/models/assistant': {serve: version, ...(previous ? {previous} : {}), versions: this.versions},
			'/teams/counter/routes/ask': {service: 'assistant', model: 'assistant'},
			'/teams/counter/routes/booking': {service: 'booking'},
		});
		this.print(`published ${version}: ${weightsBytes / 1_000_000} MB in ${weightsBytes / chunkBytes} chunks`);
	}

	/** Prints the progress of each zone when it changes, until all replicas serve the version. Returns the duration in milliseconds. */
	private async followRollout(version: string): Promise<number> {
		const startMs = performance.now();
		const printed = new Map<string, string>();
		let printAtMs = 0;
		await this.fleet.waitFor(`all replicas serve ${version}`, async () => {
			const states = await readAgentStates(this.links, this.fleet.engineAgents);
			const zones = summarizeRollout(states).filter(progress => progress.version === version);
			const isDone = zones.length === demoRegions.length && zones.every(zone => zone.serving === enginesPerZone);
			if (isDone || performance.now() >= printAtMs) {
				printAtMs = performance.now() + progressIntervalMs;
				for (const progress of zones) {
					const text = formatProgress(progress);
					if (printed.get(progress.zone) !== text) {
						printed.set(progress.zone, text);
						this.print(text);
					}
				}
			}

			return isDone;
		});
		return performance.now() - startMs;
	}

	private async killAndReplaceAgent(): Promise<void> {
		await this.pause(killAfterMs);
		const lost = this.fleet.engineAgents.find(vm => vm.region === 'oost')!;
		await this.fleet.kill(lost);
		this.print(`killed agent ${lost.vm} (pid ${lost.process.child.pid})`);
		await this.pause(replacementDelayMs);
		const vm = await this.fleet.replace(lost);
		this.print(`replaced ${lost.vm} by ${vm.vm} (pid ${vm.process.child.pid})`);
	}

	private async entriesSeeReplicas(): Promise<boolean> {
		const dumps = await Promise.all(this.fleet.entries.map(async vm => this.fleet.getJson(vm.address, '/dump?part=zone&part=members') as Promise<EntryDump>));
		return dumps.every(({zone, members}) => {
			const known = members.filter(member => member.zone === zone && (member.sight.report?.served?.length ?? 0) > 0);
			return known.length === enginesPerZone;
		});
	}

	private async readRunCounts(): Promise<Map<string, number>> {
		const ledgers = await Promise.all(this.fleet.plainServices.map(async address => this.fleet.getJson(address, '/v1/ledger') as Promise<Record<string, number>>));
		const runs = new Map<string, number>();
		for (const [booking, count] of ledgers.flatMap(ledger => Object.entries(ledger))) {
			runs.set(booking, (runs.get(booking) ?? 0) + count);
		}

		return runs;
	}

	private async pause(ms: number): Promise<void> {
		await sleep(ms, undefined, {signal: this.signal});
	}
}
