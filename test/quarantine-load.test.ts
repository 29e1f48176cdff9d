/** Calls that crash engines, at fleets of few and many gateways: what engines and sound callers see. */
import {expect} from 'chai';
import {playQuarantine, type QuarantineScenario} from '../bench/quarantine-model.ts';
import {initRendezvousHash} from '../src/runtime/rendezvous.ts';

/** At most this share of sound calls may be refused because of a held part. */
const maxSoundRefusedShare = 0.01;

/** At most this many calls with a part may reach engines later than 3 s after the fifth crash. */
const maxLateCalls = 3;

const load: Omit<QuarantineScenario, 'seed' | 'gateways' | 'engines' | 'callsPerSecond'> = {
	lengthMs: 16_000, sharedParts: 180, crashing: [{fromMs: 0, toMs: 16_000, share: 0.04}], otherCrashes: [], restartsAtMs: [7000],
};

const sizes = [{gateways: 3, engines: 10, callsPerSecond: 60}, {gateways: 7, engines: 10, callsPerSecond: 120}, {gateways: 99, engines: 109, callsPerSecond: 780}];

before(async () => initRendezvousHash());

for (const size of sizes) {
	it(`guards against a part that crashes engines for long at ${size.gateways} gateways, also if it comes before anything was answered`, async () => {
		const result = await playQuarantine({...load, ...size, seed: 24});
		expect(result.lateCrashingCalls).to.be.at.most(maxLateCalls);
		expect(result.soundRefused).to.be.at.most(result.soundCalls * maxSoundRefusedShare);
	});
}

it('guards against refusing sound calls when engines crash for other reasons', async () => {
	const otherCrashes = [3000, 6000, 6500, 10_000].map(atMs => ({atMs, share: 0.2}));
	const result = await playQuarantine({
		...load, ...sizes[1]!, crashing: [], otherCrashes, seed: 24,
	});
	expect(result.soundRefused).to.be.at.most(result.soundCalls * maxSoundRefusedShare);
});

it('guards against datagrams that grow with the fleet: what a gateway sends for a crash does not depend on their number', async () => {
	const few = await playQuarantine({...load, ...sizes[1]!, seed: 25});
	const many = await playQuarantine({
		...load, ...sizes[1]!, gateways: 99, seed: 25,
	});
	expect(many.datagramsPerGateway).to.be.at.most(2 * few.datagramsPerGateway);
});
