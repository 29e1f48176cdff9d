/** How the stagers of a service get the manifest of a new version: who reads the origin, how often, and how soon all have it. */
import {setTimeout as sleep} from 'node:timers/promises';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {digestOf} from '../src/ids/digest.ts';
import type {Manifest} from '../src/rollout/manifest.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {ManifestFetcher} from '../src/staging/manifest-fetcher.ts';

const regions = ['a', 'b', 'c'];
const perRegion = 22;
const manifest: Manifest = {
	model: 'm', version: '2', chunk_bytes: 1, total_bytes: 1, chunks: [digestOf(new Uint8Array(1))],
};

/** The delay between two attempts of a stager, in milliseconds: without a manifest, and after an error. */
const attemptDelayMs = {without: 100, failed: 400};

const latencyMs = 5;
const peerTimeoutMs = 700;

type Stager = {readonly vm: string; readonly region: string; held: Manifest | undefined; heldAtMs: number; fetcher: ManifestFetcher<{readonly vm: string; readonly region: string}>};

type Outcome = {
	/** The times of all requests to the origin, in milliseconds. */
	readonly reads: readonly number[];
	readonly stagers: readonly Stager[];
};

/** Lets a group of stagers fetch a manifest from an origin that refuses connections until `returnsAtMs`. */
async function fetchInGroup({returnsAtMs, untilMs, dead = [], cut = () => false, alter = () => manifest}: {
	readonly returnsAtMs: number;
	readonly untilMs: number;
	readonly dead?: readonly string[];
	/** Returns whether a stager can't reach the origin. */
	readonly cut?: (stager: Stager) => boolean;
	/** Alters the answers of the origin, by their number. */
	readonly alter?: (answer: number) => Manifest;
}): Promise<Outcome> {
	const clock = install();
	try {
		const reads: number[] = [];
		const stagers = regions.flatMap(region => Array.from({length: perRegion}, (_, at): Stager => ({
			vm: `${region}-${at}`, region, held: undefined, heldAtMs: Number.POSITIVE_INFINITY, fetcher: undefined!,
		})));
		const byVm = new Map(stagers.map(stager => [stager.vm, stager]));
		const isDead = (vm: string) => dead.includes(vm);
		for (const [seed, stager] of stagers.entries()) {
			stager.fetcher = new ManifestFetcher({
				self: {vm: stager.vm, region: stager.region},
				others: () => stagers.filter(other => other !== stager).map(({vm, region}) => ({vm, region})),
				async askPeer({vm}, query) {
					if (isDead(vm)) {
						await sleep(peerTimeoutMs);
						throw new Error('no response');
					}

					await sleep(latencyMs);
					return byVm.get(vm)!.fetcher.answer(query);
				},
				async readOrigin() {
					const number = reads.push(performance.now());
					await sleep(latencyMs);
					if (performance.now() < returnsAtMs || cut(stager)) {
						throw new Error('connection refused');
					}

					return alter(number);
				},
				held: () => stager.held,
				random: new RandomSource(seed),
				log: createSilentLogger(),
			});
			if (!isDead(stager.vm)) {
				void runStager(stager);
			}
		}

		await clock.tickAsync(untilMs);
		return {reads, stagers: stagers.filter(({vm}) => !isDead(vm))};
	} finally {
		clock.uninstall();
	}
}

async function runStager(stager: Stager): Promise<void> {
	while (!stager.held) {
		let delayMs = attemptDelayMs.without;
		try {
			stager.held = await stager.fetcher.fetch('m', 2);
		} catch {
			delayMs = attemptDelayMs.failed;
		}

		if (stager.held) {
			stager.heldAtMs = performance.now();
		} else {
			await sleep(delayMs);
		}
	}
}

const lastHeldAtMs = ({stagers}: Outcome) => Math.max(...stagers.map(({heldAtMs}) => heldAtMs));

it('guards against an origin that every stager asks for a manifest once it refuses connections, and again when it returns', async () => {
	const outcome = await fetchInGroup({returnsAtMs: 6000, untilMs: 9000});
	expect(outcome.reads.filter(atMs => atMs < 6000).length).to.be.lessThan(6 * 30);
	expect(outcome.reads.filter(atMs => atMs >= 6000 - latencyMs).length).to.be.lessThan(10);
	expect(lastHeldAtMs(outcome)).to.be.lessThan(6000 + 800);
});

it('a manifest that the origin sends at once is read by few stagers and held by all soon', async () => {
	const outcome = await fetchInGroup({returnsAtMs: 0, untilMs: 3000});
	expect(outcome.reads.length).to.be.at.most(regions.length);
	expect(lastHeldAtMs(outcome)).to.be.lessThan(500);
});

it('guards against a group that waits for stagers that have died: others read the manifest in their place', async () => {
	for (let seed = 0; seed < 10; seed++) {
		const random = new RandomSource(seed);
		const dead = regions.flatMap(region => random.sample(Array.from({length: perRegion}, (_, at) => `${region}-${at}`), perRegion / 2));
		const outcome = await fetchInGroup({returnsAtMs: 0, untilMs: 12_000, dead});
		expect(lastHeldAtMs(outcome), `seed ${seed}`).to.be.lessThan(5000);
		expect(outcome.reads.length, `seed ${seed}`).to.be.lessThan(20);
	}
});

it('guards against a region without a manifest because it cannot reach the origin: its stagers get it from another region', async () => {
	const outcome = await fetchInGroup({returnsAtMs: 0, untilMs: 12_000, cut: ({region}) => region === 'a'});
	expect(lastHeldAtMs(outcome)).to.be.lessThan(3000);
});

it('guards against a model that one wrong digit in a manifest takes out of service: no stager takes an altered one, and all have the right one soon', async () => {
	const altered = {...manifest, chunks: [digestOf(new Uint8Array(2))]};
	for (const wrong of [[1], [2], [1, 2], [1, 3, 5]]) {
		const outcome = await fetchInGroup({returnsAtMs: 0, untilMs: 6000, alter: answer => (wrong.includes(answer) ? {...altered, total_bytes: answer} : manifest)});
		expect(outcome.stagers.every(({held}) => held === manifest), `answers ${wrong.join(', ')}`).to.equal(true);
		expect(lastHeldAtMs(outcome), `answers ${wrong.join(', ')}`).to.be.lessThan(2000);
	}
});
