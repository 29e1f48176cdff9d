/** Second attempts of late calls: when they are made, and that they stay within their limit. */
import {readFileSync} from 'node:fs';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import {
	findLateAfter, findObstacle, findSelectionObstacle, type HedgeConditions, type HedgeSelection,
} from '../src/forwarding/decide-hedge.ts';
import {checkSettings} from '../src/checks/check-file.ts';
import {Directory} from '../src/directory/directory.ts';
import {HedgeLimit} from '../src/forwarding/hedge-limit.ts';
import {LatencyHistory} from '../src/forwarding/latency-history.ts';
import {ServiceHedging} from '../src/forwarding/service-hedging.ts';
import {WindowedRetryBudget} from '../src/forwarding/windowed-retry-budget.ts';
import {VersionExpiry} from '../src/placement/version-expiry.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {observedNow, testRoute} from './support/direct-fixtures.ts';

const windowMs = 10_000;

function createHedging(ratio = () => 0.05): ServiceHedging {
	const retryBudget = new WindowedRetryBudget({ratio: 0.2, slack: 100, windowMs}, () => 1);
	return new ServiceHedging({
		service: 'desk', history: new LatencyHistory(), retryBudget, windowMs, ratio, isChangingVersion: () => false,
	});
}

const plainClass = {route: testRoute({kind: 'idempotent'}), promptTokens: 0, predictedMs: 0};

/** Records times as measured at calls that arrive every 20 ms, and returns how many of them were late. */
function countLate(hedging: ServiceHedging, times: readonly number[], fromMs = 0): number {
	let late = 0;
	for (const [at, ms] of times.entries()) {
		const nowMs = fromMs + (at * 20);
		late += Number(ms > (hedging.findLateAfterMs(plainClass, nowMs) ?? Number.POSITIVE_INFINITY));
		hedging.recordFirstByte(plainClass, ms, nowMs);
	}

	return late;
}

/** Times that vary evenly between 80 and 120 ms. */
const evenTimes = Array.from({length: 1000}, (_, at) => 80 + (at * 17 % 41));

const quietConditions: HedgeConditions = {
	refusedBeforeMs: Number.POSITIVE_INFINITY, isChangingVersion: false, isWithinLimit: true, hasSpareRetry: true,
};

const goodSelection: HedgeSelection = {
	waitedMs: 300, usualMs: 100, secondMs: 100, hasFreeSlot: true, instanceAgeMs: 60_000,
};

it('guards against extra work where it helps nobody: while all calls take about as long, none counts as late', () => {
	expect(countLate(createHedging(), evenTimes)).to.equal(0);
});

it('guards against a tail that is left alone: while a few calls in a hundred take far longer, these count as late and no others', () => {
	const hedging = createHedging();
	const times = evenTimes.map((ms, at) => (at % 50 === 49 ? 1000 : ms));
	expect(countLate(hedging, times)).to.be.within(18, 20);
	const lateAfterMs = hedging.findLateAfterMs(plainClass, 20_000)!;
	expect(lateAfterMs).to.be.within(200, 300);
	expect(hedging.findSelectionObstacle(plainClass, lateAfterMs, {startedAtMs: 1, predictedMs: 0, hasFreeSlot: true}, 20_000)).to.equal(undefined);
});

it('guards against a flood of second attempts when everything becomes slow: the delay follows', () => {
	const hedging = createHedging();
	countLate(hedging, evenTimes);
	const fromMs = evenTimes.length * 20;
	const slowTimes = evenTimes.map(ms => ms * 8);
	expect(countLate(hedging, slowTimes.slice(0, 200), fromMs)).to.be.below(60);
	expect(countLate(hedging, slowTimes.slice(200), fromMs + (200 * 20))).to.be.below(800 * 0.03);
});

it('guards against an estimate that its own effect lowers: late attempts that were cancelled count with the time that they have taken', () => {
	const hedging = createHedging();
	countLate(hedging, evenTimes);
	const before = hedging.findLateAfterMs(plainClass, 20_000)!;
	for (let at = 0; at < 200; at++) {
		const nowMs = 20_000 + (at * 20);
		hedging.recordFirstByte(plainClass, at % 5 === 0 ? hedging.findLateAfterMs(plainClass, nowMs)! : 100, nowMs);
	}

	expect(hedging.findLateAfterMs(plainClass, 24_000)).to.be.at.least(before);
});

it('guards against a setting that needs a restart: the ratio in force decides, and 0 turns second attempts off', () => {
	let ratio = 0;
	const hedging = createHedging(() => ratio);
	countLate(hedging, evenTimes);
	expect(hedging.findLateAfterMs(plainClass, 20_000)).to.equal(undefined);
	expect(hedging.findObstacle(undefined, 20_000)).to.equal('hedge_limit');
	ratio = 0.1;
	expect(hedging.findLateAfterMs(plainClass, 20_000)).to.be.a('number');
});

it('guards against a limit that an operator mistypes: a ratio above 0.2, or that is no number, is a finding', () => {
	const example = readFileSync('examples/gateway.ini', 'utf8');
	const check = (ratio: string) => checkSettings(example.replace('[limits]\n', `[limits]\nhedge_ratio = ${ratio}\n`), 'gateway.ini');
	expect(check('0.2')).to.deep.equal([]);
	expect(check('0.21').map(({key, reason}) => `${key} ${reason}`)).to.deep.equal(['limits.hedge_ratio must be at most 0.2']);
	expect(check('-0.1')).to.have.lengthOf(1);
	expect(check('5 %')).to.have.lengthOf(1);
});

it('guards against second attempts during a rollout: a model is changing for as long as calls may start on its older version', () => {
	const clock = install({toFake: ['performance', 'Date']});
	try {
		const directory = new Directory(createSilentLogger());
		const expiry = new VersionExpiry(directory, 8000, () => 0);
		expect(expiry.isChanging('m')).to.equal(false);
		directory.apply({revision: 1, changes: [{revision: 1, change: {kind: 'version', model: 'm', version: 2}}]}, observedNow());
		expect(expiry.isChanging('m')).to.equal(true);
		clock.tick(8001);
		expect(expiry.isChanging('m')).to.equal(false);
	} finally {
		clock.uninstall();
	}
});

it('guards against a delay that is taken from another kind, size or forecast: classes are separate, and unknown ones have none', () => {
	const hedging = createHedging();
	const streamClass = {route: testRoute({kind: 'stream', prefix: '/s/'}), promptTokens: 1000, predictedMs: 200};
	countLate(hedging, evenTimes);
	expect(hedging.findLateAfterMs(streamClass, 0)).to.equal(undefined);
	for (let at = 0; at < 100; at++) {
		hedging.recordFirstByte(streamClass, 200, at);
	}

	expect(hedging.findLateAfterMs({...streamClass, predictedMs: 400}, 100)! / hedging.findLateAfterMs(streamClass, 100)!).to.be.closeTo(2, 0.01);
	expect(hedging.findLateAfterMs({...streamClass, promptTokens: 5000}, 100)).to.equal(hedging.findLateAfterMs(streamClass, 100));
	expect(hedging.findLateAfterMs({...streamClass, route: testRoute({prefix: '/t/'})}, 100)).to.equal(undefined);
});

it('guards against memory that grows with routes, and times of the past: classes are bounded, and a class without calls is forgotten', () => {
	const history = new LatencyHistory();
	for (let at = 0; at < 5000; at++) {
		history.record(`route-${at}`, at, at);
	}

	expect(history.size).to.equal(256);
	for (let at = 0; at < 100; at++) {
		history.record('route', 100, 5000);
	}

	expect(history.quantilesOf('route', 5000)?.usual).to.be.within(100, 116);
	expect(history.quantilesOf('route', 305_000)).to.equal(undefined);
});

it('guards against second attempts that make an overload or a rollout worse: each condition turns them off by itself', () => {
	expect(findObstacle(quietConditions)).to.equal(undefined);
	expect(findObstacle({...quietConditions, refusedBeforeMs: 500})).to.equal('overloaded');
	expect(findObstacle({...quietConditions, isChangingVersion: true})).to.equal('version_changing');
	expect(findObstacle({...quietConditions, isWithinLimit: false})).to.equal('hedge_limit');
	expect(findObstacle({...quietConditions, hasSpareRetry: false})).to.equal('retries_short');
	expect(findSelectionObstacle(goodSelection)).to.equal(undefined);
	expect(findSelectionObstacle({...goodSelection, waitedMs: findLateAfter({usual: 100, slow: 110}), secondMs: 115})).to.equal(undefined);
	expect(findSelectionObstacle({...goodSelection, hasFreeSlot: false})).to.equal('no_free_slot');
	expect(findSelectionObstacle({...goodSelection, instanceAgeMs: 1000})).to.equal('instance_new');
	expect(findSelectionObstacle({...goodSelection, secondMs: 210})).to.equal('not_earlier');
});

it('guards against second attempts after a refusal: the service counts as overloaded for a while, and not for longer', () => {
	const hedging = createHedging();
	for (let at = 0; at < 100; at++) {
		hedging.recordCall(at);
	}

	expect(hedging.findObstacle(undefined, 100)).to.equal(undefined);
	hedging.recordRefusal(100);
	expect(hedging.findObstacle(undefined, 2000)).to.equal('overloaded');
	expect(hedging.findObstacle(undefined, 2200)).to.equal(undefined);
});

it('guards against second attempts that take the retries of failed calls: half of the budget is left for these', () => {
	const hedging = createHedging(() => 0.2);
	for (let at = 0; at < 1000; at++) {
		hedging.recordCall(at);
	}

	let taken = 0;
	while (hedging.findObstacle(undefined, 1000) === undefined) {
		expect(hedging.tryTake(1000)).to.equal(true);
		taken++;
	}

	// The retry budget allows 70 retries: 0.7 of its slack, since it counts no calls here.
	expect(taken).to.equal(35);
	expect(hedging.findObstacle(undefined, 1000)).to.equal('retries_short');
});

it('guards against extra work beyond the limit: for any sequence of calls, all gateways together stay within the share, in total and in each window that ends with a second attempt', () => {
	const step = fc.record({
		gateway: fc.nat({max: 4}), elapsedMs: fc.nat({max: 4000}), calls: fc.nat({max: 30}), late: fc.nat({max: 30}),
	});
	fc.assert(fc.property(fc.array(step, {maxLength: 80}), fc.double({min: 0, max: 0.2, noNaN: true}), (steps, ratio) => {
		const gateways = Array.from({length: 5}, () => ({limit: new HedgeLimit(windowMs), calls: [] as number[], sent: [] as number[]}));
		let nowMs = 0;
		for (const {gateway, elapsedMs, calls: callCount, late} of steps) {
			const {limit, calls, sent} = gateways[gateway]!;
			nowMs += elapsedMs;
			const fromMs = nowMs - windowMs;
			for (let at = 0; at < callCount; at++) {
				limit.recordCall(nowMs);
				calls.push(nowMs);
			}

			for (let at = 0; at < late && limit.allows(ratio, nowMs); at++) {
				limit.recordSent(nowMs);
				sent.push(nowMs);
				expect(countSince(sent, fromMs)).to.be.at.most(countSince(calls, fromMs) * ratio);
			}

			const total = (name: 'calls' | 'sent') => gateways.reduce((sum, item) => sum + item[name].length, 0);
			expect(total('sent')).to.be.at.most(total('calls') * ratio);
		}
	}));
});

function countSince(times: readonly number[], fromMs: number): number {
	return times.filter(time => time >= fromMs).length;
}
