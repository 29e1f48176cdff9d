/**
 * Simulates calls of a plain service through several gateways, with the selection and the second attempts of late calls that gateways use.
 * Time is virtual, and each gateway knows only its own calls and the load in responses to them.
 */
import type {Route} from '../src/directory/directory-types.ts';
import {LatencyHistory} from '../src/forwarding/latency-history.ts';
import {ServiceHedging} from '../src/forwarding/service-hedging.ts';
import {createServiceId} from '../src/ids/service-id.ts';
import {type Candidate, selectPlainInstance} from '../src/placement/select-instance.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {EventQueue} from './event-queue.ts';

const msPerSecond = 1000;

/** One-way latency between gateways and instances, in milliseconds. */
const latencyMs = 0.5;

/** How long the load in a response is used, in milliseconds. */
const reportedLoadTtlMs = 600;

const windowMs = 10_000;

/** The calls of the first seconds are not counted, because the usual times are not known yet, in milliseconds. */
const warmUpMs = 60_000;

const service = createServiceId('desk');

const route: Route = {
	name: 'read', host: 'a.example', prefix: '/', kind: 'idempotent', timeoutMs: 1500, aimMs: 300, attempts: 2, priority: 1, isPublic: true, isResumable: false,
	targets: [{service, weight: 1}],
};

const attemptClass = {route, promptTokens: 0, predictedMs: 0};

/** The parameters of a run. */
export type HedgingScenario = {
	readonly seed: number;
	readonly hedgeRatio: number;
	readonly gateways: number;
	readonly instances: number;
	readonly slots: number;
	/** Mean work of a call, in milliseconds. */
	readonly workMs: number;
	readonly callsPerSecond: number;
	/** Share of the calls that may run again. */
	readonly idempotentShare: number;
	readonly seconds: number;
	/** Returns how much longer than usual work takes at an instance that begins it now. */
	readonly paceAt: (instance: number, nowMs: number) => number;
};

/** The results of a run, of the calls that may run again. */
export type HedgingResult = {
	readonly times: number[];
	refused: number;
	/** All calls of the service, and the second attempts. */
	calls: number;
	sent: number;
	/** Slot time of all attempts, and of those that were cancelled, in milliseconds. */
	busyMs: number;
	cancelledMs: number;
};

type Attempt = {readonly gateway: Gateway; readonly instance: number; readonly call: Call; readonly startedAtMs: number; beganAtMs: number; isDone: boolean; isLate: boolean};

type Call = {readonly arrivedAtMs: number; readonly isIdempotent: boolean; attempts: Attempt[]; isAnswered: boolean};

type Gateway = {readonly hedging: ServiceHedging; readonly own: number[]; readonly reported: Array<{calls: number; atMs: number}>};

/** One run. */
export class HedgingModel {
	private readonly queue = new EventQueue();
	private readonly random: RandomSource;
	private readonly gateways: readonly Gateway[];
	private readonly running: Array<Set<Attempt>>;
	private readonly waiting: Attempt[][];
	private nowMs = 0;
	private readonly result: HedgingResult = {
		times: [], refused: 0, calls: 0, sent: 0, busyMs: 0, cancelledMs: 0,
	};

	constructor(private readonly scenario: HedgingScenario) {
		const {seed, gateways, instances, hedgeRatio} = scenario;
		this.random = new RandomSource(seed);
		this.running = Array.from({length: instances}, () => new Set());
		this.waiting = Array.from({length: instances}, () => []);
		this.gateways = Array.from({length: gateways}, () => ({
			hedging: new ServiceHedging({
				service, history: new LatencyHistory(), retryBudget: {hasSpareRetry: true, tryTake: () => true}, windowMs, ratio: () => hedgeRatio, isChangingVersion: () => false,
			}),
			own: Array.from({length: instances}, () => 0),
			reported: Array.from({length: instances}, () => ({calls: 0, atMs: Number.NEGATIVE_INFINITY})),
		}));
	}

	/** Simulates the whole scenario. */
	run(): HedgingResult {
		this.scheduleNextCall();
		for (let event = this.queue.pop(); event && event.atMs < this.scenario.seconds * msPerSecond; event = this.queue.pop()) {
			this.nowMs = event.atMs;
			event.run();
		}

		return this.result;
	}

	private after(ms: number, run: () => void): void {
		this.queue.push(this.nowMs + ms, run);
	}

	/** Returns a random number above 0 and at most 1. */
	private uniform(): number {
		return (this.random.nextInt(1_000_000) + 1) / 1_000_000;
	}

	private get isCounted(): boolean {
		return this.nowMs >= warmUpMs;
	}

	private scheduleNextCall(): void {
		this.after(-Math.log(this.uniform()) * msPerSecond / this.scenario.callsPerSecond, () => {
			this.scheduleNextCall();
			this.receive();
		});
	}

	private receive(): void {
		const gateway = this.gateways[this.random.nextInt(this.gateways.length)]!;
		const isIdempotent = this.uniform() <= this.scenario.idempotentShare;
		gateway.hedging.recordCall(this.nowMs);
		this.result.calls += Number(this.isCounted);
		const call: Call = {
			arrivedAtMs: this.nowMs, isIdempotent, attempts: [], isAnswered: false,
		};
		const selected = this.select(gateway, call);
		if (selected) {
			this.send(gateway, call, selected.instance);
		} else {
			this.result.refused += Number(this.isCounted && isIdempotent);
		}
	}

	private select(gateway: Gateway, call: Call): {readonly instance: number; readonly hasFreeSlot: boolean} | undefined {
		const tried = new Set(call.attempts.map(({instance}) => instance));
		const candidates = gateway.own.flatMap((own, instance): Candidate[] => (tried.has(instance)
			? []
			: [{
				id: String(instance), isLocal: true, load: {calls: own + this.othersAt(gateway, instance), unreadTokens: 0, slowness: 1}, slots: this.scenario.slots, isSuspect: false,
				startWindowMs: Number.POSITIVE_INFINITY,
			}]));
		const placement = selectPlainInstance(candidates, bound => this.random.nextInt(bound));
		if (placement.kind === 'refuse') {
			gateway.hedging.recordRefusal(this.nowMs);
			return undefined;
		}

		const {load, slots} = candidates.find(({id}) => id === placement.id)!;
		return {instance: Number(placement.id), hasFreeSlot: load.calls < slots};
	}

	private othersAt(gateway: Gateway, instance: number): number {
		const {calls, atMs} = gateway.reported[instance]!;
		return this.nowMs - atMs < reportedLoadTtlMs ? calls : 0;
	}

	private send(gateway: Gateway, call: Call, instance: number): void {
		const attempt: Attempt = {
			gateway, instance, call, startedAtMs: this.nowMs, beganAtMs: 0, isDone: false, isLate: false,
		};
		call.attempts.push(attempt);
		gateway.own[instance]!++;
		const lateAfterMs = gateway.hedging.findLateAfterMs(attemptClass, this.nowMs);
		if (call.isIdempotent && lateAfterMs !== undefined) {
			this.after(lateAfterMs, () => {
				this.handleLate(attempt);
			});
		}

		this.after(latencyMs, () => {
			if (!attempt.isDone) {
				this.waiting[instance]!.push(attempt);
				this.beginNext(instance);
			}
		});
	}

	private beginNext(instance: number): void {
		while (this.running[instance]!.size < this.scenario.slots && this.waiting[instance]!.length > 0) {
			const attempt = this.waiting[instance]!.shift()!;
			attempt.beganAtMs = this.nowMs;
			this.running[instance]!.add(attempt);
			this.after(this.scenario.workMs * (0.8 + (0.4 * this.uniform())) * this.scenario.paceAt(instance, this.nowMs), () => {
				if (this.release(attempt)) {
					this.after(latencyMs, () => {
						this.handleAnswer(attempt);
					});
				}
			});
		}
	}

	/** Frees the slot of an attempt; returns whether it had one. */
	private release(attempt: Attempt): boolean {
		const {instance, beganAtMs} = attempt;
		const hadSlot = this.running[instance]!.delete(attempt);
		if (hadSlot) {
			this.result.busyMs += this.isCounted ? this.nowMs - beganAtMs : 0;
			this.beginNext(instance);
		}

		return hadSlot;
	}

	private handleAnswer(attempt: Attempt): void {
		const {call, gateway, instance} = attempt;
		if (attempt.isDone) {
			return;
		}

		this.end(attempt);
		gateway.reported[instance] = {calls: Math.max(0, this.running[instance]!.size + this.waiting[instance]!.length - gateway.own[instance]!), atMs: this.nowMs};
		gateway.hedging.recordFirstByte(attemptClass, this.nowMs - attempt.startedAtMs, this.nowMs);
		call.isAnswered = true;
		if (this.isCounted && call.isIdempotent) {
			this.result.times.push(this.nowMs - call.arrivedAtMs);
		}

		for (const other of call.attempts) {
			if (!other.isDone) {
				this.cancel(other);
			}
		}
	}

	private end(attempt: Attempt): void {
		attempt.isDone = true;
		attempt.gateway.own[attempt.instance]!--;
	}

	private cancel(attempt: Attempt): void {
		const {gateway, instance, isLate, startedAtMs} = attempt;
		this.end(attempt);
		if (isLate) {
			gateway.hedging.recordFirstByte(attemptClass, this.nowMs - startedAtMs, this.nowMs);
		}

		this.after(latencyMs, () => {
			const {beganAtMs} = attempt;
			this.waiting[instance] = this.waiting[instance]!.filter(item => item !== attempt);
			if (this.release(attempt) && this.isCounted) {
				this.result.cancelledMs += this.nowMs - beganAtMs;
			}
		});
	}

	private handleLate(attempt: Attempt): void {
		const {gateway, call, startedAtMs} = attempt;
		if (attempt.isDone) {
			return;
		}

		attempt.isLate = true;
		if (call.attempts.length >= route.attempts || gateway.hedging.findObstacle(undefined, this.nowMs)) {
			return;
		}

		const selected = this.select(gateway, call);
		const waitedMs = this.nowMs - startedAtMs;
		const selection = selected && {predictedMs: 0, hasFreeSlot: selected.hasFreeSlot, startedAtMs: 0};
		if (selection && !gateway.hedging.findSelectionObstacle(attemptClass, waitedMs, selection, this.nowMs) && gateway.hedging.tryTake(this.nowMs)) {
			this.result.sent += Number(this.isCounted);
			this.send(gateway, call, selected.instance);
		}
	}
}
