/** The limit of starts at one cold instance, without sockets: whoever grants them, no second has more of them than the instance can take. */
import {expect} from 'chai';
import fc from 'fast-check';
import {splitColdRate, startValidityMs} from '../src/placement/cold-quota.ts';
import {EvenShare} from '../src/placement/even-share.ts';
import {StartLimiter} from '../src/placement/start-limiter.ts';
import {warmShare} from '../src/placement/warm-share.ts';

const simulatedMs = 9000;
const stepMs = 4;
const msPerSecond = 1000;
/** How long a call is under way at most after it was written, in milliseconds. */
const transitMs = 20;

/** One gateway of a simulation; its times are when its present run started, and its next restart. */
type Gateway = {share: EvenShare; restartsAtMs: number; isCutOff: (nowMs: number) => boolean};

type Scenario = {
	gateways: number; rate: number; overage: number; slack: number; hasStager: boolean; burstMs: number; cutOffShare: number; restartIntervalMs: number; seed: number;
};

/** Small deterministic generator, so that a failing run can be repeated from its seed. */
function createRandom(seed: number): () => number {
	let state = seed + 1;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

/** Plays greedy gateways that ask at each moment of their bursts, and returns when their calls arrive, in milliseconds. */
function playArrivals({gateways: count, rate, overage, slack, hasStager, burstMs, cutOffShare, restartIntervalMs, seed}: Scenario): number[] {
	const random = createRandom(seed);
	const quota = splitColdRate(rate, {overage, slack});
	const wallStartMs = 1_700_000_000_000;
	const startRun = (nowMs: number, uptimeMs: number) => ({share: new EvenShare(wallStartMs + nowMs, random()), restartsAtMs: nowMs + uptimeMs});
	const gateways: Gateway[] = Array.from({length: count}, () => {
		const cutOffAtMs = random() * simulatedMs;
		const isAlwaysCutOff = random() < cutOffShare;
		return {
			...startRun(-random() * 4000, 4000 + (random() * restartIntervalMs)), isCutOff: nowMs => isAlwaysCutOff || (nowMs > cutOffAtMs && nowMs < cutOffAtMs + 800),
		};
	});
	let limiter = new StartLimiter(0);
	const arrivals: number[] = [];
	for (let nowMs = 0; nowMs < simulatedMs; nowMs += stepMs) {
		if (random() < stepMs / restartIntervalMs) {
			limiter = new StartLimiter(nowMs);
		}

		for (const [rank, gateway] of gateways.entries()) {
			if (nowMs >= gateway.restartsAtMs) {
				Object.assign(gateway, startRun(nowMs, random() * restartIntervalMs));
			}

			if (nowMs % msPerSecond >= burstMs) {
				continue;
			}

			const isGranted = hasStager && !gateway.isCutOff(nowMs)
				? limiter.claim(nowMs, quota.granted).isAllowed
				: gateway.share.tryStart(wallStartMs + nowMs, {rank, known: count, count}, hasStager ? quota.unansweredPerSecond : quota.alonePerSecond).isAllowed;
			if (isGranted) {
				arrivals.push(nowMs + (random() * (startValidityMs + transitMs)));
			}
		}
	}

	return arrivals.toSorted((a, b) => a - b);
}

function mostWithinOneSecond(arrivals: readonly number[]): number {
	let first = 0;
	let most = 0;
	for (const [last, atMs] of arrivals.entries()) {
		while (atMs - arrivals[first]! >= msPerSecond) {
			first++;
		}

		most = Math.max(most, last - first + 1);
	}

	return most;
}

it('guards against crashes of cold instances: no second has more starts than allowed while 1 to 99 gateways start, end, restart, lose the stager and burst at the turn of a second', () => {
	fc.assert(fc.property(fc.record({
		gateways: fc.integer({min: 1, max: 99}),
		rate: fc.integer({min: 1, max: 60}),
		overage: fc.constantFrom(1, 1.5, 2),
		slack: fc.integer({min: 3, max: 10}),
		hasStager: fc.boolean(),
		burstMs: fc.constantFrom(40, 300, 1000),
		cutOffShare: fc.constantFrom(0, 0.1, 0.5, 0.9, 1),
		restartIntervalMs: fc.constantFrom(100, 2000, 1e9),
		seed: fc.integer({min: 1, max: 1_000_000}),
	}), scenario => {
		expect(mostWithinOneSecond(playArrivals(scenario))).to.be.at.most((scenario.rate * scenario.overage) + scenario.slack);
	}), {seed: 62, numRuns: 250});
});

it('guards against cold instances that get far fewer calls than they can take: greedy gateways get nearly the published rate from a stager, and over half of it without one', () => {
	const scenario = {
		gateways: 36, rate: 14, overage: 1.5, slack: 5, burstMs: 1000, cutOffShare: 0, restartIntervalMs: 1e9, seed: 5,
	};
	const perSecond = (hasStager: boolean) => playArrivals({...scenario, hasStager}).length * msPerSecond / simulatedMs;
	expect(perSecond(true)).to.be.within(12, 14.5);
	expect(perSecond(false)).to.be.within(7, 14.5);
});

it('guards against gateways that all ask again in the same moment: each refused claim is given a later time', () => {
	const limiter = new StartLimiter(0);
	const waits = Array.from({length: 4}, () => limiter.claim(10, {intervalMs: 70, toleranceMs: 0}).waitMs);
	expect(waits).to.deep.equal([60, 130, 200, 270]);
	expect(limiter.claim(70, {intervalMs: 70, toleranceMs: 0}).isAllowed).to.equal(true);
	expect(limiter.claim(71, {intervalMs: 70, toleranceMs: 0})).to.deep.equal({isAllowed: false, waitMs: 69});
});

it('guards against shares that are not numbers: a rate that leaves nothing for gateways without an answer refuses them for a finite time', () => {
	const quota = splitColdRate(1, {overage: 0, slack: 0});
	expect(quota.granted.intervalMs).to.be.within(1000, 1200);
	expect(new EvenShare(0, 0.5).tryStart(1_000_000, {rank: 0, known: 1, count: 1}, quota.unansweredPerSecond)).to.deep.equal({isAllowed: false, waitMs: 200});
});

it('guards against a crowd at an instance that has just become warm: its share rises without a step from the last of what held it back', () => {
	expect([0, 999, 1000].map(nowMs => warmShare(nowMs, 500, 1000, Number.NEGATIVE_INFINITY))).to.deep.equal([0.35, 0.35, 0.35]);
	const shares = Array.from({length: 40}, (_, at) => warmShare(1000 + (at * 100), 500, 1000, Number.NEGATIVE_INFINITY));
	expect(shares.every((share, at) => at === 0 || (share >= shares[at - 1]! && share - shares[at - 1]! < 0.04))).to.equal(true);
	expect(shares.at(-1)).to.equal(1);
});
