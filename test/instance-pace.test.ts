/** Instances whose work takes longer or shorter from moment to moment: what their reported pace does to the calls. */
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {platformCodec} from '../platform/call-headers.ts';
import {predictFirstEventMs} from '../src/placement/engine-forecast.ts';
import {InstanceSignals} from '../src/placement/instance-signals.ts';
import {InstanceTracker} from '../src/placement/instance-tracker.ts';
import {PaceRecords} from '../src/placement/pace-records.ts';
import {selectPlainInstance} from '../src/placement/select-instance.ts';
import {ObservationRelay} from '../src/peers/engine-observation.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {testEngineTiming, testInstance} from './support/direct-fixtures.ts';

const log = createSilentLogger();

/** A simulated plain service. */
type Simulation = {
	readonly gateways: number; readonly callsPerSecond: number; readonly seconds: number; readonly seed: number;
	/** What an instance reports in a response; it takes the pace of now and of a while ago. */
	readonly reportedPace: (nowPace: number, oldPace: number) => number | undefined;
};

const instanceCount = 5;
const slots = 6;
const workMs = 61;
const redrawMs = 100;
/** Chances in a hundred that an instance is slow in the next interval: if it is slow, and if it is not. */
const slowChances = {ifSlow: 85, ifUsual: 1};

type RunningCall = {leftMs: number; readonly startedAtMs: number; readonly onEnd: () => void};

/** Plays plain calls on noisy instances, and returns the 99th percentile of their times, in milliseconds. */
function playNoisyService({gateways, callsPerSecond, seconds, seed, reportedPace}: Simulation): number {
	const clock = install();
	try {
		const random = new RandomSource(seed);
		const noiseRandom = new RandomSource(-seed);
		const upstreams = Array.from({length: instanceCount}, (_, at) => ({
			instance: testInstance({id: `i-${at}`, slots}), pace: 1, oldPace: 1, calls: [] as RunningCall[],
		}));
		const trackers = Array.from({length: gateways}, () => new InstanceTracker(log, new InstanceSignals({log, random, gatewayCount: () => gateways})));
		const times: number[] = [];
		for (let ms = 0; ms < seconds * 1000; ms++) {
			clock.tick(1);
			for (const upstream of upstreams) {
				if (ms % redrawMs === 0) {
					upstream.oldPace = upstream.pace;
					upstream.pace = noiseRandom.nextInt(100) < (upstream.pace > 2 ? slowChances.ifSlow : slowChances.ifUsual) ? 3 + (noiseRandom.nextInt(30) / 10) : 0.9 + (noiseRandom.nextInt(20) / 100);
				}

				for (const call of upstream.calls.slice(0, slots)) {
					call.leftMs -= 1 / upstream.pace;
				}

				const ended = upstream.calls.filter(({leftMs}) => leftMs <= 0);
				upstream.calls = upstream.calls.filter(({leftMs}) => leftMs > 0);
				for (const {startedAtMs, onEnd} of ended) {
					times.push(ms - startedAtMs);
					onEnd();
				}
			}

			if (random.nextInt(1000) < callsPerSecond) {
				const tracker = trackers[random.nextInt(gateways)]!;
				const candidates = upstreams.map(({instance: {id}}) => ({
					id, isLocal: true, load: tracker.getLoad(id), slots, isSuspect: false, startWindowMs: Number.POSITIVE_INFINITY,
				}));
				const placement = selectPlainInstance(candidates, bound => random.nextInt(bound));
				const upstream = upstreams.find(({instance}) => placement.kind === 'place' && instance.id === placement.id)!;
				const inFlight = tracker.inFlight.add(upstream.instance.id, 0);
				upstream.calls.push({
					leftMs: workMs, startedAtMs: ms, onEnd() {
						tracker.inFlight.remove(inFlight);
						const pace = reportedPace(upstream.pace, upstream.oldPace);
						const load = [Math.min(slots, upstream.calls.length), Math.max(0, upstream.calls.length - slots), slots, ...(pace === undefined ? [] : [pace * 100])];
						tracker.recordHead(upstream.instance, {status: 200, headers: platformCodec.readResponseHeaders(200, ['Instance-Load', load.join(',')])});
					},
				});
			}
		}

		return times.toSorted((a, b) => a - b)[Math.floor(times.length * 0.99)]!;
	} finally {
		clock.uninstall();
	}
}

const reports = {
	none: () => undefined,
	present: (nowPace: number) => nowPace,
	stale: (_: number, oldPace: number) => oldPace,
};

/** Returns the mean 99th percentile over several runs with the same noise, for each kind of report. */
function compareReports(gateways: number, callsPerSecond: number): Record<keyof typeof reports, number> {
	const seeds = [1, 2, 3, 4];
	const p99 = (reportedPace: Simulation['reportedPace']) => seeds.reduce((sum, seed) => sum + playNoisyService({
		gateways, callsPerSecond, seconds: 40, seed, reportedPace,
	}), 0) / seeds.length;
	return {none: p99(reports.none), present: p99(reports.present), stale: p99(reports.stale)};
}

it('guards against calls at plain instances that are slow at the moment: the 99th percentile falls if paces are used, and does not rise if they are out of date or rarely heard', () => {
	const often = compareReports(1, 200);
	expect(often.present).to.be.lessThan(often.none * 0.85);
	expect(often.stale).to.be.lessThan(often.none * 1.05);
	const rarely = compareReports(14, 50);
	expect(rarely.present).to.be.lessThan(rarely.none * 1.05);
	expect(rarely.stale).to.be.lessThan(rarely.none * 1.05);
});

it('guards against a pace that is believed for too long: it counts less the older it is, older reports change nothing, and extremes are bounded', () => {
	const paces = new PaceRecords();
	paces.recordOwn('i', 3, 1000);
	expect([1000, 1200, 1400, 9000].map(nowMs => paces.paceAt('i', nowMs))).to.deep.equal([3, 2, 1, 1]);
	paces.recordTold('i', {pace: 5, ageMs: 250}, 1200);
	expect(paces.paceAt('i', 1200), 'an older report').to.equal(2);
	paces.recordTold('i', {pace: 1000, ageMs: 0}, 1200);
	expect(paces.paceAt('i', 1200)).to.equal(8);
	expect(paces.ownReport('i', 1200), 'what others told is not passed on').to.deep.equal({pace: 3, ageMs: 200});
	expect(paces.ownReport('i', 1400)).to.equal(undefined);
	expect(paces.paceAt('other', 0)).to.equal(1);
});

it('guards against an older report that replaces a newer one at the stager, and against a cold time that gateways pass on for ever', () => {
	const relay = new ObservationRelay();
	expect(relay.current(0)).to.equal(undefined);
	relay.record({pace: [2, 10], coldMs: 500}, 1000);
	relay.record({pace: [4, 100], coldMs: 50}, 1001);
	expect(relay.current(1100)).to.deep.equal({pace: [2, 110], coldMs: 400});
	expect(relay.current(1500)).to.equal(undefined);
});

it('guards against paces that are misread: the fourth figure is percent, and one that is no number, 0, negative or absurd is left out and reported', () => {
	const read = (text: string) => platformCodec.readResponseHeaders(200, ['Instance-Load', text]);
	expect(read('2,1,6,150')).to.deep.include({load: {calls: 3, slots: 6, pace: 1.5}, unreadableSignals: []});
	expect(read('2,1,6')).to.deep.include({load: {calls: 3, slots: 6}, unreadableSignals: []});
	for (const text of ['x', '0', '-50', '1e9', '99999', '']) {
		expect(read(`2,1,6,${text}`), text).to.deep.include({load: {calls: 3, slots: 6}, unreadableSignals: [`instance-load: ${text}`]});
	}
});

it('guards against a momentary pace that decides on a long wait: it changes a short forecast by nearly its whole amount, and a long one by little', () => {
	const ratio = (calls: number) => {
		const load = {calls, unreadTokens: 0, slowness: 1};
		return predictFirstEventMs(testEngineTiming, {...load, pace: 2}, 100) / predictFirstEventMs(testEngineTiming, load, 100);
	};

	expect(ratio(0)).to.be.within(1.7, 2);
	expect(ratio(60)).to.be.within(1, 1.1);
	expect(predictFirstEventMs(testEngineTiming, {
		calls: 0, unreadTokens: 0, slowness: 1, pace: 1,
	}, 100)).to.equal(predictFirstEventMs(testEngineTiming, {calls: 0, unreadTokens: 0, slowness: 1}, 100));
});
