/** A seeded discrete-event model of entries, agents and engines that runs the real decision code on a virtual clock. */
import type {Priority} from '../src/configuration/documents.ts';
import {AdmissionQueue, type AdmissionCall} from '../src/limits/admission-queue.ts';
import {ConcurrencyLimit} from '../src/limits/concurrency-limit.ts';
import {isQueueFull} from '../src/limits/is-queue-full.ts';
import type {Member} from '../src/membership/member.ts';
import {UpstreamRouter, type AttemptResultKind} from '../src/routing/upstream-router.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {EventQueue} from './event-queue.ts';

/** How calls are placed: ours, or a baseline that forwards everything at once. */
export type Policy = 'ours' | 'random' | 'round robin' | 'reports only';

/** One run of the model. */
export type Scenario = {
	readonly policy: Policy;
	readonly seed: number;
	/** Offered calls as a multiple of the capacity. */
	readonly load: number;
	readonly entries: number;
	readonly agents: number;
	/** Calls that one engine runs at once. */
	readonly capacity: number;
	readonly meanServiceMs: number;
	readonly deadlineMs: number;
	readonly seconds: number;
	readonly reportEveryMs: number;
	/** Age of a report's content at its arrival, in milliseconds. */
	readonly reportLagMs: number;
	/** How much slower the first engine is. */
	readonly slowFactor: number;
	/** Workspaces with their part of the offered calls and their weight. */
	readonly workspaces: ReadonlyArray<{readonly name: string; readonly part: number; readonly weight: number}>;
};

/** One call's end. */
export type CallResult = {readonly workspace: string; readonly arrivedAtMs: number; readonly latencyMs: number; readonly outcome: 'good' | 'late' | 'shed'};

/** What a run came to. */
export type ModelResult = {readonly results: readonly CallResult[]; readonly refusals: number; readonly retries: number; readonly ejections: number};

type Call = AdmissionCall & {readonly entry: Entry; readonly excluded: Set<string>; done: boolean; finish?: (result: AttemptResultKind) => void; engine?: Engine};

type Engine = {readonly vm: string; readonly factor: number; running: Set<Call>; waiting: Call[]};

type Entry = {readonly admission: AdmissionQueue<Call>; readonly limit: ConcurrencyLimit; readonly router: UpstreamRouter; members: Member[]; next: number};

const shedWaitMs = 1000;

/** The model. */
export class RoutingModel {
	private nowMs = 0;
	private readonly events = new EventQueue();
	private readonly random: RandomSource;
	private readonly engines: Engine[];
	private readonly entries: Entry[];
	private readonly results: CallResult[] = [];
	private refusals = 0;

	/** @param scenario - what to run */
	constructor(private readonly scenario: Scenario) {
		this.random = new RandomSource(scenario.seed);
		this.engines = Array.from({length: scenario.agents}, (item, index) => ({
			vm: `vm-${index}`, factor: index === 0 ? scenario.slowFactor : 1, running: new Set(), waiting: [],
		}));
		this.entries = Array.from({length: scenario.entries}, (item, index) => this.createEntry(index));
	}

	/** Runs to the end. */
	run(): ModelResult {
		const realNow = performance.now;
		performance.now = () => this.nowMs;
		try {
			this.scheduleReports();
			this.scheduleArrival();
			for (let event = this.events.pop(); event; event = this.events.pop()) {
				this.nowMs = event.atMs;
				event.run();
			}
		} finally {
			performance.now = realNow;
		}

		const sum = (read: (router: UpstreamRouter) => number): number => this.entries.reduce((total, {router}) => total + read(router), 0);
		return {
			results: this.results, refusals: this.refusals, retries: sum(router => router.retries), ejections: sum(router => router.ejectionCount),
		};
	}

	private get endMs(): number {
		return this.scenario.seconds * 1000;
	}

	private createEntry(index: number): Entry {
		const limit = new ConcurrencyLimit();
		const weights = new Map(this.scenario.workspaces.map(({name, weight}) => [name, weight]));
		const entry: Entry = {
			limit,
			admission: new AdmissionQueue({limit, maxWaitMs: shedWaitMs, shareOf: name => ({weight: weights.get(name) ?? 1, max_concurrent: 10_000})}),
			router: new UpstreamRouter({
				membership: {
					get members() {
						return entry.members;
					},
					upstreamsOf: () => entry.members,
				},
				store: {model: () => undefined, service: () => undefined},
				random: new RandomSource(this.scenario.seed + index + 1),
				zone: 'zone',
				onOverload() {
					limit.recordOverload();
				},
			}),
			members: this.engines.map(({vm}) => this.createMember(vm, 0, 0)),
			next: index,
		};
		limit.setCapacity(this.scenario.agents * this.scenario.capacity, this.scenario.entries);
		return entry;
	}

	private createMember(vm: string, running: number, queued: number): Member {
		return {
			vm, role: 'upstream', state: 'live', zone: 'zone', region: 'region', address: '', services: ['service'], usable: true, reason: '',
			sight: {
				failedConnects: 0, reportAtMs: this.nowMs, report: {
					vm, incarnation: '1', state: 'ready', service: 'service', configRevision: 1, served: [], running, queued, capacity: this.scenario.capacity, prefixes: [],
				},
			},
		};
	}

	private scheduleReports(): void {
		for (const entry of this.entries) {
			for (const [index, engine] of this.engines.entries()) {
				this.scheduleReport(entry, index, engine, this.random.nextInt(this.scenario.reportEveryMs));
			}
		}
	}

	private scheduleReport(entry: Entry, index: number, engine: Engine, atMs: number): void {
		if (atMs > this.endMs) {
			return;
		}

		this.events.push(atMs, () => {
			const running = engine.running.size;
			const queued = engine.waiting.length;
			this.events.push(atMs + this.scenario.reportLagMs, () => {
				entry.members = entry.members.with(index, this.createMember(engine.vm, running, queued));
			});
			this.scheduleReport(entry, index, engine, atMs + this.random.jitter(this.scenario.reportEveryMs));
		});
	}

	private scheduleArrival(): void {
		const {load, agents, capacity, meanServiceMs} = this.scenario;
		const atMs = this.nowMs + this.exponential(meanServiceMs / (load * agents * capacity));
		if (atMs > this.endMs) {
			return;
		}

		this.events.push(atMs, () => {
			this.arrive();
			this.scheduleArrival();
		});
	}

	private arrive(): void {
		const entry = this.entries[this.random.nextInt(this.entries.length)]!;
		const call: Call = {
			entry, workspace: this.drawWorkspace(), priority: 'normal' satisfies Priority, arrivedAtMs: this.nowMs,
			deadlineAtMs: this.nowMs + this.scenario.deadlineMs, excluded: new Set(), done: false,
		};
		this.events.push(call.deadlineAtMs, () => {
			this.end(call, 'late', 'abandoned');
		});
		if (this.scenario.policy !== 'ours') {
			this.forward(call);
			return;
		}

		this.events.push(call.arrivedAtMs + shedWaitMs, () => {
			if (entry.admission.withdraw(call, 'wait_exceeded')) {
				this.end(call, 'shed');
			}
		});
		if (entry.admission.offer(call, this.nowMs)) {
			this.end(call, 'shed');
		} else {
			this.pump(entry);
		}
	}

	private pump(entry: Entry): void {
		for (const {call, shed} of entry.admission.dispatch(this.nowMs)) {
			if (shed) {
				this.end(call, 'shed');
			} else {
				this.forward(call);
			}
		}
	}

	private forward(call: Call): void {
		const engine = this.place(call);
		if (!engine) {
			this.end(call, 'shed');
			return;
		}

		const {router} = call.entry;
		call.finish = router.beginAttempt(engine.vm, 'service');
		if (this.scenario.policy === 'ours' && isQueueFull(engine.running.size + engine.waiting.length, this.scenario.capacity)) {
			this.refusals++;
			call.finish('overloaded');
			call.excluded.add(engine.vm);
			if (call.excluded.size < 3 && router.tryTakeRetry('service')) {
				this.forward(call);
			} else {
				this.end(call, 'shed');
			}

			return;
		}

		call.engine = engine;
		engine.waiting.push(call);
		this.startNext(engine);
	}

	private place(call: Call): Engine | undefined {
		const {entry} = call;
		const policies: Record<Policy, () => number> = {
			ours() {
				const vm = entry.router.choose({service: 'service'}, call.excluded)?.member.vm;
				return entry.members.findIndex(member => member.vm === vm);
			},
			random: () => this.random.nextInt(this.engines.length),
			'round robin': () => entry.next++ % this.engines.length,
			'reports only': () => this.lessReported(entry),
		};
		return this.engines[policies[this.scenario.policy]()];
	}

	/** Two random choices on the last reports, as before this change. */
	private lessReported(entry: Entry): number {
		const loadAt = (index: number): number => {
			const report = entry.members[index]?.sight.report;
			return (report?.running ?? 0) + (report?.queued ?? 0);
		};

		const [a, b] = [this.random.nextInt(this.engines.length), this.random.nextInt(this.engines.length)];
		return loadAt(a) <= loadAt(b) ? a : b;
	}

	private startNext(engine: Engine): void {
		while (engine.running.size < this.scenario.capacity) {
			const call = engine.waiting.shift();
			if (!call) {
				return;
			}

			engine.running.add(call);
			// The sum of two exponential times: a spread as of answers of different lengths.
			const half = this.scenario.meanServiceMs / 2;
			const serviceMs = engine.factor * (this.exponential(half) + this.exponential(half));
			this.events.push(this.nowMs + serviceMs, () => {
				this.end(call, 'good', 'answered');
			});
		}
	}

	private end(call: Call, outcome: CallResult['outcome'], attempt: AttemptResultKind = 'refused'): void {
		if (call.done) {
			return;
		}

		call.done = true;
		const {engine, entry} = call;
		this.results.push({
			workspace: call.workspace, arrivedAtMs: call.arrivedAtMs, latencyMs: this.nowMs - call.arrivedAtMs, outcome,
		});
		call.finish?.(attempt);
		entry.admission.withdraw(call);
		entry.admission.release(call, this.nowMs, outcome === 'good');
		if (engine) {
			if (!engine.running.delete(call)) {
				engine.waiting = engine.waiting.filter(item => item !== call);
			}

			this.startNext(engine);
		}

		if (this.scenario.policy === 'ours') {
			this.pump(entry);
		}
	}

	private drawWorkspace(): string {
		let at = this.random.nextInt(1e6) / 1e6;
		for (const {name, part} of this.scenario.workspaces) {
			at -= part;
			if (at < 0) {
				return name;
			}
		}

		return this.scenario.workspaces[0]!.name;
	}

	private exponential(mean: number): number {
		return -Math.log(1 - (this.random.nextInt(1e9) / 1e9)) * mean;
	}
}
