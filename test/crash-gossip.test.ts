/** How gateways tell each other of prompt parts that an upstream survived, when their messages are late. */
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {createPromptPartId} from '../src/ids/prompt-part-id.ts';
import type {CrashDatagram} from '../src/messages/crash-datagram.ts';
import {CrashGossip} from '../src/peers/crash-gossip.ts';
import {PromptQuarantine} from '../src/quarantine/prompt-quarantine.ts';
import type {PeerInfo} from '../src/messages/peers-exchange.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';

const part = createPromptPartId('bad');

it('guards against a survival that never gets old: passed on in late datagrams, it does not go round for ever', async () => {
	const clock = install();
	const peers = Array.from({length: 12}, (_, index): PeerInfo => ({
		vm: `g-${index}`, startedAtMs: 1, role: 'gateway', zone: 'z', region: 'r', address: `10.0.0.${index}:1`,
	}));
	const receivers = new Map<string, (datagram: CrashDatagram) => void>();
	let sent = 0;
	const gossips = peers.map((self, index) => {
		const quarantine = new PromptQuarantine({
			log: createSilentLogger(), hasTurn: () => false, tell(news) {
				gossip.tell(news);
			},
		});
		const gossip: CrashGossip = new CrashGossip({
			zone: 'z', port: 1, random: new RandomSource(index + 1), holds: () => [], others: () => peers.filter(peer => peer !== self), mergeNews(news) {
				quarantine.mergeNews(news);
			},
			datagrams: {
				on(kind: string, schema: unknown, handler: unknown) {
					receivers.set(self.address.split(':')[0]!, handler as (datagram: CrashDatagram) => void);
				},
				send(message: unknown, {host}: {host: string}) {
					sent++;
					setTimeout(() => {
						receivers.get(host)!(message as CrashDatagram);
					}, 300);
				},
			},
		});
		gossip.start();
		return gossip;
	});
	try {
		gossips[0]!.tell({survivals: [{part, atMs: performance.now()}]});
		await clock.tickAsync(10_000);
		const before = sent;
		await clock.tickAsync(10_000);
		expect(sent).to.equal(before);
	} finally {
		for (const gossip of gossips) {
			gossip.stop();
		}

		clock.uninstall();
	}
});
