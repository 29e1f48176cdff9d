/** Seeded discrete-event simulation of entries, agents and engines. Runs the real admission and routing code on a virtual clock. */
import type {Priority} from '../src/configuration/documents.ts';
import {AdmissionQueue, type AdmissionCall} from '../src/limits/admission-queue.ts';
import {ConcurrencyLimit} from '../src/limits/concurrency-limit.ts';
import {isQueueFull} from '../src/limits/is-queue-full.ts';
import type {Member} from '../src/membership/member.ts';
import {UpstreamRouter, type AttemptResultKind} from '../src/routing/upstream-router.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {EventQueue} from './event-queue.ts';

/** How an upstream is chosen for a call: the real admission and routing code (`ours`), or a baseline that forwards every call immediately. */
export type Policy = 'ours' | 'random' | 'round robin' | 'reports only';

/** The parameters of a simulation run. */
export type Scenario = {
	readonly policy: Policy;
	readonly seed: number;
	/** Offered load as a multiple of the total capacity. */
	readonly load: number;
	readonly entries: number;
	readonly agents: number;
	/** Number of calls that one engine runs concurrently. */
	readonly capacity: number;
	readonly meanServiceMs: number;
	readonly deadlineMs: number;
	readonly seconds: number;
	/** Mean interval between two reports of an agent, in milliseconds. */
	readonly reportIntervalMs: number;
	/** Age of the data in a report when the entry receives it, in milliseconds. */
	readonly reportDelayMs: number;
	/** Service time of the first engine as a multiple of that of the others. */
	readonly slowFactor: number;
	/** Workspaces with their share of the offered calls and their admission weight. */
	readonly workspaces: ReadonlyArray<{readonly name: string; readonly share: number; readonly weight: number}>;
};

/** The result of one call. */
export type CallResult = {readonly workspace: string; readonly arrivedAtMs: number; readonly latencyMs: number; readonly outcome: 'good' | 'late' | 'shed'};

/** The results of a simulation run. */
export type ModelResult = {readonly results: readonly CallResult[]; readonly refusals: number; readonly retries: number; readonly ejections: number};

type Call = AdmissionCall & {readonly entry: Entry; readonly excluded: Set<string>; done: boolean; endAttempt?: (result: AttemptResultKind) => void; engine?: Engine};

type Engine = {readonly vm: string; readonly slowFactor: number; running: Set<Call>; waiting: Call[]};

/** An entry with its view of the members; `nextIndex` is the position of the round-robin baseline. */
type Entry = {readonly admission: AdmissionQueue<Call>; readonly limit: ConcurrencyLimit; readonly router: UpstreamRouter; members: Member[]; nextIndex: number};

/** Maximum time that a call waits for admission before it is shed, in milliseconds. */
const maxAdmissionWaitMs = 1000;

/** Simulates one scenario. */
export class RoutingModel {
	private nowMs = 0;
	private readonly events = new EventQueue();
	private readonly random: RandomSource;
	private readonly engines: Engine[];
	private readonly entries: Entry[];
	private readonly results: CallResult[] = [];
	private refusals = 0;

	constructor(private readonly scenario: Scenario) {
		this.random = new RandomSource(scenario.seed);
		this.engines = Array.from({length: scenario.agents}, (item, index) => ({
			vm: `vm-${index}`, slowFactor: index === 0 ? scenario.slowFactor : 1, running: new Set(), waiting: [],
		}));
		this.entries = Array.from({length: scenario.entries}, (item, index) => this.createEntry(index));
	}

	/** Runs the simulation to its end. Replaces `performance.now` meanwhile, because the code under test reads the clock itself. */
	run(): ModelResult {
		const originalNow = performance.now;
		performance.now = () => this.nowMs;
		try {
			this.scheduleReports();
			this.scheduleArrival();
			for (let event = this.events.pop(); event; event = this.events.pop()) {
				this.nowMs = event.atMs;
				event.run();
			}
		} finally {
			performance.now = originalNow;
		}

		const sum = (getCount: (router: UpstreamRouter) => number): number => this.entries.reduce((total, {router}) => total + getCount(router), 0);
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
			admission: new AdmissionQueue({limit, maxWaitMs: maxAdmissionWaitMs, shareOf: name => ({weight: weights.get(name) ?? 1, max_concurrent: 10_000})}),
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
			nextIndex: index,
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
				this.scheduleReport(entry, index, engine, this.random.nextInt(this.scenario.reportIntervalMs));
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
			this.events.push(atMs + this.scenario.reportDelayMs, () => {
				entry.members = entry.members.with(index, this.createMember(engine.vm, running, queued));
			});
			this.scheduleReport(entry, index, engine, atMs + this.random.jitter(this.scenario.reportIntervalMs));
		});
	}

	private scheduleArrival(): void {
		const {load, agents, capacity, meanServiceMs} = this.scenario;
		const atMs = this.nowMs + this.drawExponential(meanServiceMs / (load * agents * capacity));
		if (atMs > this.endMs) {
			return;
		}

		this.events.push(atMs, () => {
			this.receiveCall();
			this.scheduleArrival();
		});
	}

	private receiveCall(): void {
		const entry = this.entries[this.random.nextInt(this.entries.length)]!;
		const call: Call = {
			entry, workspace: this.drawWorkspace(), priority: 'normal' satisfies Priority, arrivedAtMs: this.nowMs,
			deadlineAtMs: this.nowMs + this.scenario.deadlineMs, excluded: new Set(), done: false,
		};
		this.events.push(call.deadlineAtMs, () => {
			this.endCall(call, 'late', 'abandoned');
		});
		if (this.scenario.policy !== 'ours') {
			this.forward(call);
			return;
		}

		this.events.push(call.arrivedAtMs + maxAdmissionWaitMs, () => {
			if (entry.admission.withdraw(call, 'wait_exceeded')) {
				this.endCall(call, 'shed');
			}
		});
		if (entry.admission.offer(call, this.nowMs)) {
			this.endCall(call, 'shed');
		} else {
			this.dispatchWaiting(entry);
		}
	}

	private dispatchWaiting(entry: Entry): void {
		for (const {call, shed} of entry.admission.dispatch(this.nowMs)) {
			if (shed) {
				this.endCall(call, 'shed');
			} else {
				this.forward(call);
			}
		}
	}

	private forward(call: Call): void {
		const engine = this.chooseEngine(call);
		if (!engine) {
			this.endCall(call, 'shed');
			return;
		}

		const {router} = call.entry;
		call.endAttempt = router.beginAttempt(engine.vm, 'service');
		if (this.scenario.policy === 'ours' && isQueueFull(engine.running.size + engine.waiting.length, this.scenario.capacity)) {
			this.refusals++;
			call.endAttempt('overloaded');
			call.excluded.add(engine.vm);
			if (call.excluded.size < 3 && router.tryTakeRetry('service')) {
				this.forward(call);
			} else {
				this.endCall(call, 'shed');
			}

			return;
		}

		call.engine = engine;
		engine.waiting.push(call);
		this.startNext(engine);
	}

	private chooseEngine(call: Call): Engine | undefined {
		const {entry} = call;
		const policies: Record<Policy, () => number> = {
			ours() {
				const vm = entry.router.choose({service: 'service'}, call.excluded)?.member.vm;
				return entry.members.findIndex(member => member.vm === vm);
			},
			random: () => this.random.nextInt(this.engines.length),
			'round robin': () => entry.nextIndex++ % this.engines.length,
			'reports only': () => this.chooseByReports(entry),
		};
		return this.engines[policies[this.scenario.policy]()];
	}

	/** Draws two engines at random and chooses the one with the lower reported load, without counting the entry's own calls. */
	private chooseByReports(entry: Entry): number {
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
			// The sum of two exponential variables (an Erlang distribution) varies like the lengths of responses.
			const halfMeanMs = this.scenario.meanServiceMs / 2;
			const serviceMs = engine.slowFactor * (this.drawExponential(halfMeanMs) + this.drawExponential(halfMeanMs));
			this.events.push(this.nowMs + serviceMs, () => {
				this.endCall(call, 'good', 'answered');
			});
		}
	}

	private endCall(call: Call, outcome: CallResult['outcome'], attemptResult: AttemptResultKind = 'refused'): void {
		if (call.done) {
			return;
		}

		call.done = true;
		const {engine, entry} = call;
		this.results.push({
			workspace: call.workspace, arrivedAtMs: call.arrivedAtMs, latencyMs: this.nowMs - call.arrivedAtMs, outcome,
		});
		call.endAttempt?.(attemptResult);
		entry.admission.withdraw(call);
		entry.admission.release(call, this.nowMs, outcome === 'good');
		if (engine) {
			if (!engine.running.delete(call)) {
				engine.waiting = engine.waiting.filter(item => item !== call);
			}

			this.startNext(engine);
		}

		if (this.scenario.policy === 'ours') {
			this.dispatchWaiting(entry);
		}
	}

	private drawWorkspace(): string {
		let remaining = this.random.nextInt(1e6) / 1e6;
		for (const {name, share} of this.scenario.workspaces) {
			remaining -= share;
			if (remaining < 0) {
				return name;
			}
		}

		return this.scenario.workspaces[0]!.name;
	}

	private drawExponential(mean: number): number {
		return -Math.log(1 - (this.random.nextInt(1e9) / 1e9)) * mean;
	}
}
