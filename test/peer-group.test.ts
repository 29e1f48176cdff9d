/** How two processes compare what they know: by datagrams, and over connections where those do not suffice. */
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Directory} from '../src/directory/directory.ts';
import type {DatagramPort} from '../src/links/datagram-port.ts';
import type {PeerClient} from '../src/links/peer-client.ts';
import type {PeerInfo, PeersExchange} from '../src/messages/peers-exchange.ts';
import type {DirectoryPuller} from '../src/peers/directory-puller.ts';
import {PeerGroup} from '../src/peers/peer-group.ts';
import {PeerList} from '../src/peers/peer-list.ts';
import {SyncRequests} from '../src/peers/sync-requests.ts';
import {WatchCoverage} from '../src/peers/watch-duty.ts';
import {ElapsedClock} from '../src/runtime/elapsed-clock.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {observedNow} from './support/direct-fixtures.ts';

const port = 7000;

async function sleep(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Processes that reach each other in memory. */
class FakeNetwork {
	readonly groups: PeerGroup[] = [];
	readonly lists: PeerList[] = [];
	/** Requests over connections so far. */
	requests = 0;
	losesDatagrams = false;
	readonly directories: Directory[] = [];
	/** How long datagrams, and requests and answers over connections, are under way, in milliseconds. */
	delaysMs = {datagram: 1, request: 0, answer: 0};
	/** Hosts that answer nothing. */
	readonly silent = new Set<string>();
	private readonly receivers = new Map<string, Map<string, (message: unknown) => void>>();

	async add(index: number): Promise<void> {
		const host = `10.0.0.${index}`;
		const handlers = new Map<string, (message: unknown) => void>();
		this.receivers.set(host, handlers);
		const self: PeerInfo = {
			vm: `vm-${index}`, startedAtMs: 1, role: 'gateway', zone: 'z', region: 'r', address: `${host}:80`,
		};
		const datagrams = {
			on(kind: string, schema: unknown, handler: (message: unknown) => void) {
				handlers.set(kind, handler);
			},
			send: (message: readonly unknown[], to: {host: string}) => {
				if (!this.losesDatagrams && !this.silent.has(to.host)) {
					setTimeout(() => this.receivers.get(to.host)?.get(message[0] as string)?.(message), this.delaysMs.datagram);
				}
			},
		};
		const links = {
			rpc: async (address: string, {params}: {params: PeersExchange}) => {
				this.requests++;
				const at = this.groups.findIndex((group, other) => `10.0.0.${other + 1}:80` === address);
				if (at === -1 || this.silent.has(address.split(':')[0]!)) {
					throw new Error('no response');
				}

				await sleep(this.delaysMs.request);
				const answer = this.groups[at]!.handleExchange(params);
				await sleep(this.delaysMs.answer);
				return answer;
			},
			replaceConnections: () => undefined,
		};
		const directory = new Directory(createSilentLogger(), new ElapsedClock(() => 250));
		this.directories.push(directory);
		const list = new PeerList(self, createSilentLogger());
		this.lists.push(list);
		this.groups.push(new PeerGroup({
			self,
			list,
			seeds: () => ['10.0.0.1:80'],
			links: links as unknown as PeerClient,
			datagrams: datagrams as unknown as DatagramPort,
			port,
			directory,
			random: new RandomSource(index),
			log: createSilentLogger(),
			puller: {pull: async () => undefined} as unknown as DirectoryPuller,
			coverage: new WatchCoverage(),
			isSourceFailing: () => false,
			onMessage: () => undefined,
		}));
	}
}

/** Runs an action with processes that have found each other. */
async function withGroup(size: number, action: (network: FakeNetwork, tick: (ms: number) => Promise<void>) => Promise<void>): Promise<void> {
	const clock = install();
	const network = new FakeNetwork();
	try {
		for (let index = 1; index <= size; index++) {
			await network.add(index);
		}

		for (const group of network.groups) {
			group.start();
		}

		await clock.tickAsync(10_000);
		expect(network.lists.map(({others}) => others.length)).to.deep.equal(network.lists.map(() => size - 1));
		await action(network, async ms => {
			await clock.tickAsync(ms);
		});
	} finally {
		for (const group of network.groups) {
			group.stop();
		}

		clock.uninstall();
	}
}

it('guards against connections between processes that have nothing to tell each other: at rest, datagrams suffice', async () => {
	await withGroup(12, async (network, tick) => {
		const before = network.requests;
		await tick(20_000);
		expect(network.requests - before).to.equal(0);
	});
});

it('guards against a change that is not found: with other lists on both sides, the lists are exchanged over a connection', async () => {
	await withGroup(6, async (network, tick) => {
		await network.add(7);
		network.lists[0]!.recordAlive({
			vm: 'vm-7', startedAtMs: 1, role: 'gateway', zone: 'z', region: 'r', address: '10.0.0.7:80',
		});
		await tick(5000);
		expect(network.lists.slice(0, 6).every(({others}) => others.some(({vm}) => vm === 'vm-7'))).to.equal(true);
	});
});

it('guards against peers that are lost because datagrams are: without them, exchanges go over connections', async () => {
	await withGroup(6, async (network, tick) => {
		network.losesDatagrams = true;
		const before = network.requests;
		await tick(20_000);
		expect(network.requests).to.be.greaterThan(before + 30);
		expect(network.lists.every(({others}) => others.length === 5)).to.equal(true);
	});
});

it('guards against a dead process that stays in the list: one that answers neither datagrams nor requests is removed', async () => {
	await withGroup(6, async (network, tick) => {
		network.groups[5]!.stop();
		network.silent.add('10.0.0.6');
		await tick(60_000);
		expect(network.lists.slice(0, 5).every(({others}) => others.every(({vm}) => vm !== 'vm-6'))).to.equal(true);
	});
});

for (const [kind, losesDatagrams, delaysMs] of [
	['datagrams', false, {datagram: 200, request: 0, answer: 0}],
	['messages between regions', false, {datagram: 1200, request: 1200, answer: 0}],
	['answers over connections', true, {datagram: 1, request: 0, answer: 800}],
] as const) {
	it(`guards against old weights when messages are late: ${kind} that took long make no version look younger to others`, async () => {
		await withGroup(6, async (network, tick) => {
			network.losesDatagrams = losesDatagrams;
			network.delaysMs = delaysMs;
			const namedAtMs = performance.now();
			network.directories[0]!.apply({revision: 5, changes: [{revision: 5, change: {kind: 'version', model: 'm', version: 2}}]}, observedNow());
			let beliefs: number[] = [];
			for (let at = 0; at < 200; at++) {
				await tick(50);
				beliefs = network.directories.flatMap(directory => directory.versionsOf('m').map(({earliestMs}) => earliestMs));
				expect(Math.max(...beliefs)).to.be.at.most(namedAtMs);
			}

			expect(beliefs).to.have.length(6);
			expect(Math.min(...beliefs)).to.be.greaterThan(namedAtMs - 1500);
		});
	});
}

it('guards against an answer to a request from before a restart: it bounds nothing, and one that is late or comes from elsewhere is told apart', () => {
	const [earlier, restarted] = [new SyncRequests(new RandomSource(1)), new SyncRequests(new RandomSource(2))];
	const number = earlier.add('10.0.0.1:80', 1000);
	restarted.add('10.0.0.1:80', 9000);
	earlier.add('10.0.0.2:80', 2000);
	expect(restarted.findSentMs('10.0.0.1:80', number)).to.equal(undefined);
	expect(earlier.findSentMs('10.0.0.1:80', number)).to.equal(1000);
	expect(earlier.findSentMs('10.0.0.2:80', number)).to.equal(undefined);
});
