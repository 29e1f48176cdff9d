/** Prompts of many parts: what gateways keep and tell of their crashes, and whether they find the cause. */
import process from 'node:process';
import v8 from 'node:v8';
import vm from 'node:vm';
import {type Clock, install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {createPromptPartId, type PromptPartId} from '../src/ids/prompt-part-id.ts';
import {crashDatagramSchema} from '../src/messages/crash-datagram.ts';
import type {PeerInfo} from '../src/messages/peers-exchange.ts';
import {CrashGossip} from '../src/peers/crash-gossip.ts';
import {PromptQuarantine} from '../src/quarantine/prompt-quarantine.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {testInstance} from './support/direct-fixtures.ts';

/** Maximum size of a datagram that fits into one packet, in bytes. */
const maxPacketBytes = 1400;

const bytesPerMegabyte = 1_000_000;

async function withClock(action: (clock: Clock) => Promise<void>): Promise<void> {
	const clock = install({toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance']});
	try {
		await action(clock);
	} finally {
		clock.uninstall();
	}
}

const parts = (count: number, name: string): PromptPartId[] => Array.from({length: count}, (_, at) => createPromptPartId(`${name}${at}`));

/** Gateways that exchange datagrams without delay; `sizes` receives the size of each in bytes. */
function startGateways(count: number, sizes: number[]): PromptQuarantine[] {
	const peers = Array.from({length: count}, (_, at): PeerInfo => ({
		vm: `g-${at}`, startedAtMs: 1, role: 'gateway', zone: 'z', region: 'r', address: `10.0.0.${at}:1`,
	}));
	const receivers = new Map<string, (message: unknown) => void>();
	return peers.map((self, at) => {
		const quarantine: PromptQuarantine = new PromptQuarantine({
			log: createSilentLogger(), hasTurn: () => false, tell(news) {
				gossip.tell(news);
			},
		});
		const gossip = new CrashGossip({
			zone: 'z', port: 1, random: new RandomSource(at + 1), holds: () => quarantine.holds, others: () => peers.filter(peer => peer !== self), mergeNews(news) {
				quarantine.mergeNews(news);
			},
			datagrams: {
				on(_kind, schema, handler) {
					receivers.set(self.address.split(':')[0]!, message => {
						handler(schema.parse(message), {host: '', port: 1});
					});
				},
				send(message, {host}) {
					sizes.push(JSON.stringify(crashDatagramSchema.parse(message)).length);
					setTimeout(() => {
						receivers.get(host)!(message);
					}, 1);
				},
			},
		});
		gossip.start();
		return quarantine;
	});
}

for (const [count, place] of [[20, 17], [300, 250], [1500, 1400]] as const) {
	it(`guards against a crashing part that only one gateway knows of: of ${count} parts, the one at place ${place} is held by all after crashes at different gateways`, async () => {
		await withClock(async clock => {
			const sizes: number[] = [];
			const gateways = startGateways(4, sizes);
			const shared = parts(count - 1, 'shared-');
			const call = shared.toSpliced(place, 0, createPromptPartId('bad'));
			for (let at = 0; at < 4; at++) {
				gateways[at]!.recordSurvival(testInstance({id: 'i-ok'}), shared);
			}

			await clock.tickAsync(1000);
			for (let at = 0; at < 3; at++) {
				gateways[at]!.recordCrash({id: `crash-${at}`, atMs: performance.now(), calls: [call, shared]}, testInstance({id: `i-${at}`}));
				await clock.tickAsync(1000);
			}

			expect(gateways.map(({holds}) => holds.map(({part}) => part))).to.deep.equal(gateways.map(() => ['bad']));
			expect(gateways.map(gateway => [gateway.admit(call).kind, gateway.admit(shared).kind])).to.deep.equal(gateways.map(() => ['refuse', 'pass']));
			expect(Math.max(...sizes)).to.be.at.most(maxPacketBytes);
		});
	});
}

v8.setFlagsFromString('--expose-gc');
const collectGarbage = vm.runInNewContext('gc') as () => void;

it('guards against state that grows with what callers send: after a million distinct parts in crashes and survivals the memory is bounded, and the next cause is found', async () => {
	await withClock(async clock => {
		const quarantine = new PromptQuarantine({log: createSilentLogger(), hasTurn: () => false, tell: () => undefined});
		const survivor = createPromptPartId('often-survived');
		const crash = (id: string, calls: PromptPartId[][]) => {
			quarantine.recordCrash({id, atMs: performance.now(), calls}, testInstance({id}));
		};

		collectGarbage();
		const before = process.memoryUsage().heapUsed;
		for (let at = 0; at < 200; at++) {
			for (let call = 0; call < 5; call++) {
				quarantine.recordSurvival(testInstance({id: 'i-ok'}), [survivor, ...parts(500, `ok-${at}-${call}-`)]);
			}

			await clock.tickAsync(250);
			crash(`c-${at}`, Array.from({length: 5}, (_, call) => [survivor, ...parts(500, `c-${at}-${call}-`)]));
			await clock.tickAsync(50);
		}

		collectGarbage();
		expect((process.memoryUsage().heapUsed - before) / bytesPerMegabyte).to.be.at.most(64);
		for (let at = 0; at < 3; at++) {
			crash(`last-${at}`, [[survivor, ...parts(500, `last-${at}-`), createPromptPartId('bad')]]);
			await clock.tickAsync(100);
		}

		expect(quarantine.admit([createPromptPartId('bad')]).kind).to.equal('refuse');
		expect(quarantine.admit([survivor]).kind).to.equal('pass');
	});
});

it('guards against a judgement that holds the gateway up: crashes of many long calls are judged within a tenth of a second', async () => {
	await withClock(async clock => {
		const quarantine = new PromptQuarantine({log: createSilentLogger(), hasTurn: () => false, tell: () => undefined});
		const calls = Array.from({length: 16}, (_, call) => [...parts(600, 'shared-'), createPromptPartId(`own-${call}`)]);
		let slowestMs = 0;
		for (let at = 0; at < 10; at++) {
			const startedAt = process.hrtime.bigint();
			quarantine.recordCrash({id: `c-${at}`, atMs: performance.now(), calls: calls.map(list => [...list, createPromptPartId(`call-${at}`)])}, testInstance({id: `i-${at}`}));
			await clock.tickAsync(60);
			slowestMs = Math.max(slowestMs, Number(process.hrtime.bigint() - startedAt) / 1_000_000);
		}

		expect(slowestMs).to.be.at.most(100);
	});
});
