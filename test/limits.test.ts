/** Property tests of admission control, fair queueing, concurrency limits and retry budgets. */
import type http from 'node:http';
import {PassThrough} from 'node:stream';
import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import type {Priority} from '../src/configuration/documents.ts';
import {AdmissionManager, type AdmissionRequest, type ShedError} from '../src/limits/admission-manager.ts';
import {type AdmissionCall, AdmissionQueue} from '../src/limits/admission-queue.ts';
import {ConcurrencyLimit, initialLimit} from '../src/limits/concurrency-limit.ts';
import {FairQueue} from '../src/limits/fair-queue.ts';
import {isQueueFull} from '../src/limits/is-queue-full.ts';
import {PriorityQueue, priorityWeights} from '../src/limits/priority-queue.ts';
import {RetryBudget} from '../src/limits/retry-budget.ts';
import {RandomSource} from '../src/runtime/random-source.ts';

const priority = fc.constantFrom<Priority>('high', 'normal', 'low');
const weight = fc.double({min: 0.05, max: 50, noNaN: true});

it('backlogged workspaces get their share within one quantum', () => {
	fc.assert(fc.property(fc.array(weight, {minLength: 2, maxLength: 8}), fc.integer({min: 1, max: 400}), (weights, takes) => {
		const queue = new FairQueue<{workspace: string; priority: Priority}>(name => ({weight: weights[Number(name)] ?? 1, max_concurrent: 1e9}));
		for (const [name] of weights.entries()) {
			for (let index = 0; index <= takes; index++) {
				queue.push({workspace: String(name), priority: 'normal'});
			}
		}

		const takenBy = weights.map(() => 0);
		const round = 1 / Math.max(...weights);
		for (let take = 0; take < takes; take++) {
			const name = Number(queue.shift(() => 0)?.workspace);
			takenBy[name] = (takenBy[name] ?? 0) + 1;
			const takenPerWeight = weights.map((own, index) => (takenBy[index] ?? 0) / own);
			const excess = weights.flatMap((own, a) => weights.map((other, b) =>
				Math.abs((takenPerWeight[a] ?? 0) - (takenPerWeight[b] ?? 0)) - Math.max(1 / own, 1 / other) - round));
			expect(Math.max(...excess)).to.be.at.most(1e-6);
		}
	}), {seed: 1101, numRuns: 200});
});

it('a waiting call of any priority gets a turn within one cycle of turns', () => {
	const cycle = priorityWeights.high + priorityWeights.normal + priorityWeights.low;
	fc.assert(fc.property(fc.array(fc.array(priority, {maxLength: 3}), {minLength: 60, maxLength: 120}), priority, (steps, watched) => {
		const queue = new PriorityQueue<{priority: Priority; watched: boolean}>();
		queue.push({priority: watched, watched: true});
		let takes = 0;
		for (const arrivals of steps) {
			for (const item of arrivals) {
				queue.push({priority: item, watched: false});
			}

			takes++;
			if (queue.shift()?.watched) {
				expect(takes).to.be.at.most(cycle);
				return;
			}
		}

		expect.fail(`the ${watched} call still waits after ${takes} turns`);
	}), {seed: 1102, numRuns: 500});
});

const step = fc.oneof(
	{
		weight: 4, arbitrary: fc.record({
			kind: fc.constant('offer' as const), workspace: fc.constantFrom('a', 'b', 'c'), priority, deadlineMs: fc.integer({min: 1, max: 3000}),
		}),
	},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('release' as const), pick: fc.nat(), answered: fc.boolean()})},
	fc.record({kind: fc.constant('withdraw' as const), pick: fc.nat()}),
	fc.record({kind: fc.constant('wait' as const), ms: fc.integer({min: 0, max: 900})}),
	fc.record({kind: fc.constant('limit' as const), limit: fc.integer({min: 1, max: 6})}),
);

it('admission never exceeds its limits, settles each call once and gets every slot back', () => {
	fc.assert(fc.property(fc.array(step, {minLength: 1, maxLength: 120}), steps => {
		const limit = {current: 3, recordAnswer: () => undefined};
		const maxConcurrent = {a: 2, b: 4, c: 100};
		const queue = new AdmissionQueue<AdmissionCall>({limit, shareOf: name => ({weight: name === 'a' ? 5 : 1, max_concurrent: maxConcurrent[name as 'a']}), maxWaitMs: 1000});
		let nowMs = 0;
		const waiting = new Set<AdmissionCall>();
		const running = new Set<AdmissionCall>();
		const dispatch = (): void => {
			const runningBefore = running.size;
			for (const {call, shed} of queue.dispatch(nowMs)) {
				expect(waiting.delete(call), 'each call is settled once').to.equal(true);
				if (!shed) {
					expect(nowMs, 'no slot is granted after the deadline').to.be.below(call.deadlineAtMs);
					expect(nowMs - call.arrivedAtMs, 'wait time').to.be.at.most(1000);
					running.add(call);
				}
			}

			expect(queue.running).to.equal(running.size);
			expect(running.size, 'calls with a slot').to.be.at.most(Math.max(runningBefore, limit.current));
			for (const [name, max] of Object.entries(maxConcurrent)) {
				expect([...running].filter(call => call.workspace === name).length).to.be.at.most(max);
			}
		};

		const pickOf = (calls: Set<AdmissionCall>, pick: number): AdmissionCall | undefined => [...calls][pick % Math.max(1, calls.size)];
		const handlers = {
			offer(item: {workspace: string; priority: Priority; deadlineMs: number}) {
				const call = {
					workspace: item.workspace, priority: item.priority, arrivedAtMs: nowMs, deadlineAtMs: nowMs + item.deadlineMs,
				};
				if (!queue.offer(call, nowMs)) {
					waiting.add(call);
				}
			},
			release({pick, answered}: {pick: number; answered: boolean}) {
				const call = pickOf(running, pick);
				if (call) {
					queue.release(call, nowMs, answered);
					queue.release(call, nowMs, answered);
					running.delete(call);
				}
			},
			withdraw({pick}: {pick: number}) {
				const call = pickOf(waiting, pick);
				if (call) {
					expect(queue.withdraw(call)).to.equal(true);
					waiting.delete(call);
				}
			},
			wait({ms}: {ms: number}) {
				nowMs += ms;
			},
			limit(item: {limit: number}) {
				limit.current = item.limit;
			},
		};
		for (const item of steps) {
			handlers[item.kind](item as never);
			dispatch();
			expect(queue.waiting).to.equal(waiting.size);
		}

		while (running.size > 0) {
			handlers.release({pick: 0, answered: true});
			dispatch();
		}

		expect([queue.running, queue.waiting], 'nothing waits while slots are free').to.deep.equal([0, 0]);
	}), {seed: 1103, numRuns: 500});
});

it('retries stay within a tenth of first tries plus the reserve and its refill', () => {
	const kinds = fc.oneof(fc.constant('first'), fc.constant('retry'), fc.integer({min: 1, max: 3000}));
	fc.assert(fc.property(fc.array(kinds, {maxLength: 2000}), steps => {
		const clock = install({toFake: ['performance']});
		try {
			const budget = new RetryBudget();
			let first = 0;
			let retries = 0;
			for (const step of steps) {
				if (step === 'first') {
					first++;
					budget.recordFirstTry();
				} else if (step === 'retry') {
					retries += budget.tryTake() ? 1 : 0;
				} else {
					clock.tick(step);
				}

				expect(retries).to.be.at.most((0.1 * first) + 10 + (performance.now() / 1000) + 1e-6);
			}
		} finally {
			clock.uninstall();
		}
	}), {seed: 1104, numRuns: 200});
});

it('the limits of several entries converge to what the agents accept, whatever they start with', () => {
	fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 40}), {minLength: 2, maxLength: 6}), entryCounts => {
		const capacity = 40;
		const limits = entryCounts.map(entryCount => {
			const limit = new ConcurrencyLimit();
			// Each entry is given its own number of entries, so that the initial limits range from 1 to 40.
			limit.setCapacity(capacity, entryCount);
			return limit;
		});
		const random = new RandomSource(1105);
		const meanLimits = limits.map(() => 0);
		for (let round = 0; round < 400; round++) {
			// Each call in flight is equally likely to be the one that a full agent refuses.
			const calls = limits.flatMap(limit => Array.from({length: limit.current}, () => limit));
			let admitted = calls.length;
			for (; isQueueFull(admitted - 1, capacity); admitted--) {
				calls[random.nextInt(calls.length)]?.recordOverload();
			}

			for (const limit of limits) {
				for (let answer = 0; answer < limit.current; answer++) {
					limit.recordAnswer(limit.current);
				}
			}

			for (const [index, limit] of limits.entries()) {
				meanLimits[index] = (meanLimits[index] ?? 0) + (round < 200 ? 0 : limit.current / 200);
			}
		}

		const total = limits.reduce((sum, limit) => sum + limit.current, 0);
		expect(total).to.be.within(capacity * 0.9, (capacity * 1.5) + entryCounts.length);
		expect(Math.max(...meanLimits), 'mean limits').to.be.at.most((2 * Math.min(...meanLimits)) + 2);
	}), {seed: 1105, numRuns: 100});
});

it('a service without usable upstream keeps its limit, so that its calls are not shed as overloaded', () => {
	const limit = new ConcurrencyLimit();
	limit.setCapacity(0, 1);
	expect(limit.current).to.equal(initialLimit);
	limit.setCapacity(16, 2);
	limit.setCapacity(0, 2);
	expect(limit.current).to.equal(8);
});

it('the limit follows the capacity at once when upstreams come and go', () => {
	const limit = new ConcurrencyLimit();
	limit.setCapacity(8, 2);
	limit.setCapacity(192, 2);
	expect(limit.current).to.equal(96);
	limit.recordOverload();
	limit.setCapacity(96, 2);
	expect(limit.current).to.equal(47);
});

function createManager(capacity: number): AdmissionManager {
	return new AdmissionManager({
		shareOf: () => ({weight: 1, max_concurrent: 100}), capacityOf: () => ({capacity, entries: 1}), maxWaitMs: 1000, random: new RandomSource(1106),
	});
}

async function withClock(run: (clock: Clock) => Promise<void>): Promise<void> {
	const clock = install({toFake: ['setTimeout', 'clearTimeout', 'performance']});
	try {
		await run(clock);
	} finally {
		clock.uninstall();
	}
}

const createRequest = (deadlineMs: number): AdmissionRequest => ({
	workspace: 'desk', service: 'assistant', priority: 'normal', deadlineAtMs: performance.now() + deadlineMs,
});

function startCall(manager: AdmissionManager, deadlineMs: number, res = new PassThrough()) {
	const state = {started: false, shed: undefined as string | undefined, res};
	const run = async (): Promise<void> => {
		try {
			await manager.run(createRequest(deadlineMs), res as unknown as http.ServerResponse, async () => {
				state.started = true;
				return new Promise<void>(() => undefined); // eslint-disable-line no-promise-executor-return -- the work hangs
			});
		} catch (err) {
			state.shed = (err as ShedError).reason;
		}
	};

	void run();
	return state;
}

it('a slot comes back at the deadline and when the caller is gone, even when the work hangs', async () => {
	await withClock(async clock => {
		const manager = createManager(1);
		const first = startCall(manager, 500);
		const second = startCall(manager, 5000);
		await clock.tickAsync(400);
		expect([first.started, second.started]).to.deep.equal([true, false]);
		await clock.tickAsync(200);
		expect(second.started).to.equal(true);
		const third = startCall(manager, 5000);
		await clock.tickAsync(10);
		expect(third.started).to.equal(false);
		second.res.destroy();
		await clock.tickAsync(1);
		expect([third.started, manager.running]).to.deep.equal([true, 1]);
		third.res.destroy();
		await clock.tickAsync(1);
		expect([manager.running, manager.waiting]).to.deep.equal([0, 0]);
	});
});

it('a waiting call is shed at its wait bound or deadline and never starts, and a caller that leaves stops waiting', async () => {
	await withClock(async clock => {
		const manager = createManager(1);
		startCall(manager, 60_000);
		await clock.tickAsync(1);
		const longDeadline = startCall(manager, 30_000);
		const shortDeadline = startCall(manager, 300);
		const disconnecting = startCall(manager, 30_000);
		const disconnected = startCall(manager, 30_000, new PassThrough().destroy());
		disconnecting.res.destroy();
		await clock.tickAsync(301);
		expect([shortDeadline.shed, longDeadline.shed, manager.waiting]).to.deep.equal(['deadline', undefined, 1]);
		await clock.tickAsync(700);
		expect([longDeadline.shed, manager.waiting, manager.running]).to.deep.equal(['wait_exceeded', 0, 1]);
		expect([longDeadline, shortDeadline, disconnecting, disconnected].some(({started}) => started)).to.equal(false);
	});
});
