/** The delay that transfers of weights add to calls on the link of their VM, with faked time. */
import {type Clock, install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {LinkDelay} from '../src/rollout/link-delay.ts';
import {TransferPacer} from '../src/rollout/transfer-pacer.ts';
import {maxRoundTripMs, UploadThrottle} from '../src/rollout/upload-throttle.ts';
import type {LinkTraffic} from './support/simulated-network.ts';
import {withStagerFleet} from './support/stager-fleet.ts';

const sampleMs = 10;

const traffic: LinkTraffic = {
	isVmLinkShared: true, windowBytes: 32_768, requestBytes: 400, headBytes: 300, datagramBytes: 200, overhead: 1.03,
};

/** The quantile of a list. */
function quantile(values: readonly number[], share: number): number {
	return values.toSorted((a, b) => a - b)[Math.floor(share * (values.length - 1))]!;
}

/** The waits of a small packet at the link of each VM while weights are rolled out and calls use a quarter of each link, in milliseconds. */
async function rolloutWaits(): Promise<number[][]> {
	const waits: number[][] = [];
	const options = {
		perZone: 12, seed: 1, callShare: 0.25, originMegabits: 3.07, traffic,
	};
	await withStagerFleet(options, async (fleet, until) => {
		await until(18_000);
		fleet.start(1);
		fleet.name(2);
		while (fleet.vms.some(vm => !vm.heldAtMs.has('2'))) {
			await until(performance.now() + sampleMs);
			for (const [at, {self}] of fleet.vms.entries()) {
				(waits[at] ??= []).push(fleet.network.queueMs(`up/${self.vm}`));
			}
		}
	});
	return waits;
}

it('guards against calls that wait behind weights: uploads leave the links to calls', async () => {
	const waits = await rolloutWaits();
	expect(Math.max(...waits.map(list => quantile(list, 0.5)))).to.be.below(maxRoundTripMs / 2);
	expect(Math.max(...waits.map(list => quantile(list, 0.95)))).to.be.below(2.5 * maxRoundTripMs);
});

function withClock(run: (clock: Clock, linkDelay: LinkDelay) => void): void {
	const clock = install({toFake: ['setInterval', 'clearInterval', 'performance'], now: 5000});
	try {
		run(clock, new LinkDelay());
	} finally {
		clock.uninstall();
	}
}

/** Asks other VMs, whose answers take the given times. */
function exchange(clock: Clock, linkDelay: LinkDelay, roundTripsMs: readonly number[]): void {
	for (const at of roundTripsMs.keys()) {
		linkDelay.recordSent(`${at}`);
	}

	const startedAtMs = performance.now();
	for (const [at, ms] of [...roundTripsMs.entries()].toSorted(([, a], [, b]) => a - b)) {
		clock.tick(startedAtMs + ms - performance.now());
		linkDelay.recordAnswer(`${at}`);
	}
}

it('guards against uploads that are slowed down for the links of other VMs, of lost answers or of few: the own link is part of most round trips', () => {
	withClock((clock, linkDelay) => {
		exchange(clock, linkDelay, [5, 8, 150, 160]);
		expect(linkDelay.currentMs).to.equal(5);
		clock.tick(1000);
		expect(linkDelay.currentMs).to.equal(undefined);
		exchange(clock, linkDelay, [150, 160]);
		expect(linkDelay.currentMs).to.equal(undefined);
		exchange(clock, linkDelay, [150, 155, 160]);
		expect(linkDelay.currentMs).to.equal(150);
		linkDelay.recordSent('lost');
		clock.tick(10);
		linkDelay.recordSent('lost');
		clock.tick(2100);
		expect(linkDelay.currentMs).to.equal(undefined);
	});
});

it('guards against answers that are noticed only when they arrive: notices that wait for long count before', () => {
	withClock((clock, linkDelay) => {
		for (const host of ['a', 'b', 'c']) {
			linkDelay.recordSent(host);
		}

		clock.tick(400);
		expect(linkDelay.currentMs).to.equal(400);
	});
});

it('guards against uploads that stay slow: they yield only while there are calls and packets wait', () => {
	withClock((clock, linkDelay) => {
		const pacer = new TransferPacer(() => 1000);
		let hasCalls = true;
		const throttle = new UploadThrottle({pacer, linkDelay, hasCalls: () => hasCalls});
		throttle.start();
		exchange(clock, linkDelay, [150, 155, 160]);
		clock.tick(100);
		expect(pacer.share).to.equal(0.5);
		hasCalls = false;
		clock.tick(100);
		expect(pacer.share).to.equal(1);
		hasCalls = true;
		exchange(clock, linkDelay, [1, 1, 1]);
		clock.tick(100);
		expect(pacer.share).to.equal(1);
		throttle.stop();
	});
});
