/** A short seeded soak: instances leave, ask for quiet, crash and are reborn, while a store lists old entries or none; callers go on. */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import type {Instance} from '../src/directory/directory-types.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {SignallingUpstream} from '../standins/signalling-upstream.ts';
import {
	callGateway, startTestGateway, testConfiguration, testInstance,
} from './support/direct-fixtures.ts';

/** Seeds of the run; `SIGNALS_SEEDS=1,2,3` sets others by hand. */
const seeds = (process.env.SIGNALS_SEEDS ?? '28').split(',').map(Number);

const upstreamCount = 5;
const lengthMs = 9000;
const callIntervalMs = 8;
const actionIntervalMs = 250;

type Member = {readonly upstream: SignallingUpstream; entry: Instance};

for (const seed of seeds) {
	it(`guards against calls that instances do not want, in any order of signals, crashes and listings (seed ${seed})`, async () => {
		const random = new RandomSource(seed);
		const members: Member[] = [];
		for (let at = 0; at < upstreamCount; at++) {
			const upstream = new SignallingUpstream(`i-${at}`);
			await upstream.start();
			members.push({upstream, entry: testInstance({id: upstream.id, address: upstream.address, startedAtMs: Date.now()})});
		}

		const gateway = await startTestGateway(testConfiguration(1), members.map(({entry}) => entry));
		let revision = 10;
		let runs = upstreamCount;
		const list = (entries: readonly Instance[]) => {
			revision++;
			gateway.directory.replaceInstances({revision, changes: entries.map(instance => ({revision, change: {kind: 'instance', instance}}))});
			gateway.tracker.retainOnly(new Set(entries.map(({id}) => id)));
		};

		const restart = async (member: Member, id: string) => {
			const startedAtMs = Date.now();
			await member.upstream.restart(id);
			member.entry = {...member.entry, id, startedAtMs};
		};

		const actions: ReadonlyArray<(member: Member) => Promise<void> | void> = [
			({upstream}) => {
				upstream.isLeaving = true;
				upstream.refusesCalls = random.nextInt(2) === 0;
			},
			({upstream}) => {
				upstream.retryAfter = String(0.7 + (random.nextInt(10) / 10));
				setTimeout(() => {
					upstream.retryAfter = undefined;
				}, 400);
			},
			async member => restart(member, member.upstream.id),
			async member => restart(member, `i-${runs++}`),
			() => {
				list(members.map(({entry}) => entry));
			},
			() => {
				// A store that has lost some of the entries.
				list(members.map(({entry}) => entry).filter(() => random.nextInt(3) > 0));
			},
		];

		const statuses = new Map<number, number>();
		const call = async () => {
			const {status} = await callGateway(gateway.url);
			statuses.set(status, (statuses.get(status) ?? 0) + 1);
		};

		const calls: Array<Promise<void>> = [];
		const startMs = performance.now();
		let nextActionMs = actionIntervalMs;
		while (performance.now() - startMs < lengthMs) {
			if (performance.now() - startMs > nextActionMs) {
				nextActionMs += actionIntervalMs;
				await actions[random.nextInt(actions.length)]!(members[random.nextInt(upstreamCount)]!);
			}

			calls.push(call());
			await sleep(callIntervalMs);
		}

		await Promise.all(calls);
		gateway.close();
		for (const {upstream} of members) {
			upstream.close();
		}

		expect(members.flatMap(({upstream}) => upstream.violations)).to.deep.equal([]);
		expect([...statuses.keys()].filter(status => ![200, 502, 503, 504].includes(status))).to.deep.equal([]);
		expect(statuses.get(200) ?? 0).to.be.greaterThan(100);
	}).timeout(lengthMs * 3);
}
