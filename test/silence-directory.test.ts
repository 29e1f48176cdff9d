/** What a process believes of the source of the directory and of those that tell it of changes after it was paused itself. */
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {z} from 'zod';
import {Directory} from '../src/directory/directory.ts';
import {DirectoryWatcher} from '../src/directory/directory-watcher.ts';
import {DatagramPort} from '../src/links/datagram-port.ts';
import {PeerClient} from '../src/links/peer-client.ts';
import type {PeerInfo, PeersExchange} from '../src/messages/peers-exchange.ts';
import {DirectoryChecks} from '../src/peers/directory-checks.ts';
import type {DirectoryPuller} from '../src/peers/directory-puller.ts';
import {PeerGroup} from '../src/peers/peer-group.ts';
import {PeerList} from '../src/peers/peer-list.ts';
import {rankForWatch, WatchCoverage} from '../src/peers/watch-duty.ts';
import {WatchManager} from '../src/peers/watch-manager.ts';
import {createSilentLogger, type Logger} from '../src/runtime/logger.ts';
import {PauseDetector} from '../src/runtime/pause-detector.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {blockAfter} from './support/block-after.ts';
import {Processes} from './support/processes.ts';
import {sharedPort} from './support/loopback-ports.ts';

const port = sharedPort;
const log = createSilentLogger();
const processes = new Processes();
const puller = {pull: async () => true} as unknown as DirectoryPuller;

const self = infoOf('own', '127.0.1.54');
const late = infoOf('late', '127.0.1.53');

let worker = '';
let clock: PauseDetector;
let datagrams: DatagramPort;
/** Called after each message is sent. */
let onSent: (kind: unknown) => void;

function infoOf(vm: string, host: string): PeerInfo {
	return {
		vm, startedAtMs: 1, role: 'gateway', zone: 'z', region: 'r', address: `${host}:80`,
	};
}

async function sleep(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

before(async () => {
	worker = await processes.startLateWorker('127.0.1.53', port);
});

after(() => {
	processes.stop();
});

beforeEach(async () => {
	clock = new PauseDetector();
	onSent = () => undefined;
	datagrams = new DatagramPort(log);
	const send = datagrams.send.bind(datagrams);
	datagrams.send = (message, to) => {
		send(message, to);
		onSent((message as unknown[])[0]);
	};

	await datagrams.start({host: '127.0.1.54', port});
});

afterEach(() => {
	clock.stop();
	datagrams.close();
});

/** Blocks the event loop soon after the first message of a kind was sent, so that the answer comes meanwhile; resolves when it has ended. */
async function blockAfterSending(kind: string, forMs: number, onFirst?: () => void): Promise<void> {
	return new Promise(resolve => {
		onSent = sent => {
			if (sent === kind) {
				onSent = () => undefined;
				onFirst?.();
				blockAfter(20, forMs);
				setTimeout(resolve, 20 + forMs);
			}
		};
	});
}

it('guards against a pause that passes for partners that are gone: the source is not read before they were asked again', async () => {
	let unconfirmed = 0;
	const checks = new DirectoryChecks({
		self, others: () => [late], directory: new Directory(log), puller, datagrams, port, random: new RandomSource(1), log, clock, ownWatch: () => 'none', onUnconfirmed() {
			unconfirmed++;
		},
	});
	checks.start();
	await blockAfterSending('check', 1700);
	expect(checks.ageMs, 'the age counts on in the pause').to.be.at.least(1700);
	await sleep(1000);
	checks.stop();
	expect(unconfirmed).to.equal(0);
	expect(checks.ageMs).to.be.lessThan(1000);
});

it('guards against a pause that passes for a lost datagram: no connection is used for an answer that has arrived', async () => {
	let requests = 0;
	const list = new PeerList(self, log);
	list.recordAlive(late);
	const group = new PeerGroup({
		self,
		list,
		seeds: () => [],
		links: {
			async rpc(address: string, {params}: {params: PeersExchange}) {
				requests++;
				return {...params, self: late};
			},
		} as unknown as PeerClient,
		datagrams,
		port,
		directory: new Directory(log),
		random: new RandomSource(1),
		log,
		puller,
		coverage: new WatchCoverage(),
		isSourceFailing: () => false,
		onMessage: () => undefined,
	});
	group.start();
	let requestsBefore = 0;
	await blockAfterSending('sync', 1000, () => {
		requestsBefore = requests;
	});
	await sleep(50);
	group.stop();
	expect(requests).to.equal(requestsBefore);
}).timeout(20_000);

it('guards against a pause that passes for watchers that are gone: none takes over before there was time to hear from another one', async () => {
	const fake = install();
	let pausedMs = 0;
	try {
		const all = Array.from({length: 8}, (item, index) => infoOf(`vm-${index}`, `127.0.1.${60 + index}`));
		const ranking = rankForWatch('z', all);
		const last = all.find(({vm}) => vm === ranking.at(-1))!;
		const others = all.filter(info => info !== last);
		const coverage = new WatchCoverage();
		const listening = {
			get listeningMs() {
				return performance.now() - pausedMs;
			},
		};
		const manager = new WatchManager({
			self: last, others: () => others, coverage, watchers: [], log, clock: listening,
		});
		const hear = (count: number) => {
			for (const vm of ranking.slice(0, count)) {
				coverage.record(vm, 0);
			}
		};

		hear(4);
		manager.start();
		await fake.tickAsync(1000);
		expect(manager.isWatching).to.equal(false);
		coverage.remove(ranking[0]!);
		await fake.tickAsync(600);
		pausedMs = 6000;
		fake.jump(pausedMs);
		await fake.tickAsync(100);
		expect(manager.isWatching, 'after the pause').to.equal(false);
		hear(4);
		await fake.tickAsync(8000);
		expect(manager.isWatching, 'once the watchers are heard of').to.equal(false);
		await fake.tickAsync(12_000);
		expect(manager.isWatching, 'when nothing is heard of them').to.equal(true);
		manager.stop();
	} finally {
		fake.uninstall();
	}
});

it('guards against a pause that passes for an outage of the source: an answer that has arrived is taken', async () => {
	const links = new PeerClient(clock);
	const warnings: string[] = [];
	const warn = ((fields: {event: string}) => {
		warnings.push(fields.event);
	}) as Logger['warn'];
	const answer = async (afterMs: number, signal: AbortSignal) => {
		await links.rpc(worker, {method: 'test', params: {afterMs}}, z.unknown(), {timeoutMs: 9000, signal});
		return {revision: 1, changes: []};
	};

	const watcher = new DirectoryWatcher({
		part: 'versions',
		source: {
			read: async (part, signal) => answer(0, signal),
			watch: async (part, after, waitMs, signal) => answer(waitMs, signal),
		},
		directory: new Directory(log),
		watchWaitMs: () => 1000,
		random: new RandomSource(1),
		log: Object.assign(createSilentLogger(), {warn}),
	});
	watcher.start();
	await sleep(1000);
	blockAfter(0, 1900);
	await sleep(2200);
	watcher.stop();
	await links.close();
	expect(warnings).to.deep.equal([]);
});
