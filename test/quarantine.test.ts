/** Prompt parts that crash upstreams: how a crash is told from a broken connection, and which calls are refused. */
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {type Clock, install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import {createServiceId} from '../src/ids/service-id.ts';
import {crashDatagramSchema} from '../src/messages/crash-datagram.ts';
import {CrashGossip} from '../src/peers/crash-gossip.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {createPromptPartId, type PromptPartId} from '../src/ids/prompt-part-id.ts';
import {type Crash, CrashDetector} from '../src/quarantine/crash-detector.ts';
import type {KnownCrash} from '../src/quarantine/crash-evidence.ts';
import {findCrashingParts} from '../src/quarantine/find-crashing-parts.ts';
import type {Hold} from '../src/quarantine/hold.ts';
import {type CrashNews, PromptQuarantine} from '../src/quarantine/prompt-quarantine.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {
	callGateway, startTestGateway, testConfiguration, type TestGateway, testInstance, type TestResponse,
} from './support/direct-fixtures.ts';

const open: Array<{close: () => void}> = [];

afterEach(() => {
	for (const item of open.splice(0)) {
		item.close();
	}
});

const part = (text: string): PromptPartId => createPromptPartId(text);

async function sleep(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

it('guards against taking a reset connection for a crash: an upstream that accepts connections or does not react has not crashed, one that refuses them has, with the parts of all its calls', async () => {
	const crashes: Crash[] = [];
	const detector = new CrashDetector({
		probe: async ({id}) => (id === 'i-alive' ? 'accepts' : (id === 'i-cut-off' ? 'silent' : 'refuses')), onCrash: crash => crashes.push(crash), log: createSilentLogger(),
	});
	for (const [id, name] of [['i-alive', 'a'], ['i-cut-off', 'a'], ['i-dead', 'b'], ['i-dead', 'c']] as const) {
		detector.recordBroken(testInstance({id}), [part(name)]);
	}

	await sleep(30);
	detector.recordBroken(testInstance({id: 'i-dead'}), [part('late')]);
	await sleep(30);
	expect(crashes.map(({id, calls}) => ({id, parts: calls.flat()}))).to.deep.equal([
		{id: 'i-dead@1', parts: ['b', 'c']}, {id: 'i-dead@1', parts: ['b', 'c', 'late']},
	]);
});

/** How long an engine is down after a crash, in milliseconds. */
const restartMs = 250;

/** An engine that crashes as soon as it begins to answer a call with the part `bad`. */
async function startEngine(log: string[]): Promise<{address: string; close: () => void}> {
	const server = http.createServer((req, res) => {
		const isBad = String(req.headers['prompt-prefix']).includes('bad:');
		log.push(isBad ? 'bad' : 'sound');
		if (String(req.headers['prompt-prefix']).includes('slow:')) {
			req.once('close', () => log.push('closed'));
			return;
		}

		res.writeHead(200, {
			'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's', 'content-type': 'text/event-stream', 'weight-versions': '1',
		});
		res.write('id: 1\ndata: t\n\n');
		setTimeout(() => {
			if (isBad) {
				crash();
			} else {
				res.end();
			}
		}, 20);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	let restartTimer: NodeJS.Timeout | undefined;
	const crash = () => {
		if (server.listening) {
			log.push('crash');
			server.close();
			server.closeAllConnections();
			restartTimer = setTimeout(() => server.listen(port, '127.0.0.1'), restartMs);
		}
	};

	return {
		address: `127.0.0.1:${port}`, close() {
			clearTimeout(restartTimer);
			server.close();
			server.closeAllConnections();
		},
	};
}

/** Starts a gateway in front of eight engines; `log` receives what reaches them. */
async function startModels(log: string[]): Promise<TestGateway> {
	const engines = await Promise.all(Array.from({length: 8}, async () => startEngine(log)));
	const service = createServiceId('models');
	const configuration = testConfiguration(1, {kind: 'stream', isResumable: true, targets: [{service, weight: 1}]});
	const limits = {...configuration.limits, headerBytes: 16_384};
	const gateway = await startTestGateway({...configuration, limits}, engines.map(({address}, at) => testInstance({
		id: `i-${at}`, address, service, slots: 16, held: [{
			model: 'm', version: 1, fromLayer: 0, toLayer: 16,
		}],
	})));
	open.push(...engines, gateway);
	return gateway;
}

async function callModel(gateway: TestGateway, id: string, prefix: string): Promise<TestResponse> {
	return callGateway(gateway.url, {
		headers: {
			model: 'm', 'attempt-id': id, 'token-usage': '100,50', 'prompt-prefix': prefix,
		},
	});
}

it('guards against a prompt part that crashes one engine after the other: after the fifth crash at most three calls with it reach an engine, and sound calls are answered', async () => {
	const log: string[] = [];
	const gateway = await startModels(log);
	await callModel(gateway, 'before', 'shared:40,own0:9');
	for (let at = 0; at < 25; at++) {
		await Promise.all([callModel(gateway, `bad-${at}`, `shared:40,bad:20,own${at}:9`), callModel(gateway, `sound-${at}`, `shared:40,own${at}:9`)]);
		await sleep(20);
	}

	const fifthCrash = log.flatMap((entry, at) => (entry === 'crash' ? [at] : []))[4] ?? log.length;
	expect(log.slice(fifthCrash).filter(entry => entry === 'bad').length).to.be.at.most(3);
	await sleep(restartMs);
	const answers = await Promise.all(Array.from({length: 20}, async (_, at) => callModel(gateway, `after-${at}`, `shared:40,after${at}:9`)));
	expect(answers.filter(({status, complete}) => status === 200 && complete)).to.have.length(20);
});

for (const place of [17, 40, 400]) {
	it(`guards against a crashing part that is not looked at: as part ${place + 1} of a prompt it is held, too`, async () => {
		const log: string[] = [];
		const gateway = await startModels(log);
		const shared = Array.from({length: place}, (_, at) => `s${at}:40`).join(',');
		for (let at = 0; at < 15; at++) {
			await Promise.all([callModel(gateway, `bad-${at}`, `${shared},bad:20,t:9,own${at}:9`), callModel(gateway, `sound-${at}`, `${shared},t:9,own${at}:9`)]);
			await sleep(20);
		}

		const fifthCrash = log.flatMap((entry, at) => (entry === 'crash' ? [at] : []))[4] ?? log.length;
		expect(log.slice(fifthCrash).filter(entry => entry === 'bad').length).to.be.at.most(3);
		await sleep(restartMs);
		const answers = await Promise.all(Array.from({length: 10}, async (_, at) => callModel(gateway, `after-${at}`, `${shared},after${at}:9`)));
		expect(answers.filter(({status, complete}) => status === 200 && complete)).to.have.length(10);
	});
}

it('guards against calls under way that crash further engines: when their part is held, they end as possibly run and their connections close', async () => {
	const log: string[] = [];
	const gateway = await startModels(log);
	await callModel(gateway, 'before', 'shared:40,own0:9');
	await sleep(300);
	const slow = callModel(gateway, 'slow', 'shared:40,bad:20,slow:9,own:9');
	for (let at = 0; at < 3; at++) {
		await callModel(gateway, `bad-${at}`, `shared:40,bad:20,own${at}:9`);
		await sleep(60);
	}

	const {status, headers} = await slow;
	expect([status, headers['response-seal'], log.includes('closed')]).to.deep.equal([502, undefined, true]);
});

/** Returns crashes one second apart, each given by its broken calls, such as `'x bad, y'`. */
function crashesOf(texts: readonly string[], gapMs = 1000): KnownCrash[] {
	return texts.map((text, at) => {
		const calls = text.split(', ').map(call => call.split(' ').map(name => part(name)));
		return {atMs: at * gapMs, calls: new Map(calls.map(parts => [parts.join(' '), parts])), parts: new Set(calls.flat())};
	});
}

function blame(crashes: readonly KnownCrash[], survivals: Record<string, number> = {}) {
	return findCrashingParts({crashes, lastSurvivalMs: name => survivals[name], blamed: new Set()}).map(({part: name, rivals}) => [name, ...rivals].join(' | '));
}

it('guards against sound calls that are blamed for the company they keep: the part of every crash explains them, and its neighbours go free', () => {
	expect(blame(crashesOf(['x bad, rare', 'x bad, rare', 'x bad, rare, y', 'x bad, y', 'x bad, y']), {x: 3500})).to.deep.equal(['bad']);
	expect(blame(crashesOf(['x bad, y', 'x bad, y']))).to.deep.equal([]);
});

it('guards against a failed rack that is taken for a crashing part: crashes at the same moment count once', () => {
	expect(blame(crashesOf(['a', 'a', 'a', 'a', 'a', 'a', 'a'], 5))).to.deep.equal([]);
});

it('guards against refusing what engines answer: a part with a known survival needs six crashes since the last one', () => {
	expect(blame(crashesOf(['a', 'a', 'a', 'a', 'a']), {a: -1})).to.deep.equal([]);
	expect(blame(crashesOf(['a', 'a', 'a', 'a', 'a', 'a']), {a: -1})).to.deep.equal(['a']);
});

it('guards against blaming the wrong one of two parts that always come together: only calls with both are refused, and of two others the one of fewer calls', () => {
	expect(blame(crashesOf(['x bad', 'x bad', 'x bad']))).to.deep.equal(['bad | x']);
	expect(blame(crashesOf(['x bad, x', 'x bad', 'x bad']))).to.deep.equal(['bad | x']);
	expect(blame(crashesOf(['aa zz, aa', 'aa zz', 'aa zz, aa q']))).to.deep.equal(['zz | aa']);
});

it('guards against blame without a reason: no part is blamed that was in fewer than three crashes since its last survival', () => {
	const name = fc.constantFrom('a', 'b', 'c', 'd', 'e');
	const crash = fc.array(fc.array(name, {minLength: 1, maxLength: 3}), {minLength: 1, maxLength: 4}).map(calls => calls.map(parts => parts.join(' ')).join(', '));
	fc.assert(fc.property(fc.array(crash, {maxLength: 12}), fc.dictionary(name, fc.integer({min: -1, max: 12_000})), (texts, survivals) => {
		const crashes = crashesOf(texts);
		for (const {part: blamed} of findCrashingParts({crashes, lastSurvivalMs: id => survivals[id], blamed: new Set()})) {
			const since = crashes.filter(({atMs, parts}) => parts.has(blamed) && atMs > (survivals[blamed] ?? -1));
			expect(since.length).to.be.at.least(blamed in survivals ? 6 : 3);
		}
	}), {seed: 24, numRuns: 500});
});

/** Runs an action with a faked clock. */
async function withClock(action: (clock: Clock) => Promise<void>): Promise<void> {
	const clock = install({toFake: ['setTimeout', 'clearTimeout', 'performance']});
	try {
		await action(clock);
	} finally {
		clock.uninstall();
	}
}

const engine = testInstance({id: 'i-1'});

/** Creates a quarantine; it collects what it tells in `told`. */
function createQuarantine(hasTurn = true): {quarantine: PromptQuarantine; told: Array<Partial<CrashNews>>} {
	const told: Array<Partial<CrashNews>> = [];
	const quarantine = new PromptQuarantine({log: createSilentLogger(), hasTurn: () => hasTurn, tell: news => told.push(news)});
	return {quarantine, told};
}

/** Records crashes of calls with one part, a second apart. */
async function crashTimes(quarantine: PromptQuarantine, clock: Clock, count: number, name = 'bad'): Promise<void> {
	for (let at = 0; at < count; at++) {
		quarantine.recordCrash({id: `crash-${name}-${performance.now()}`, atMs: performance.now(), calls: [[part(name)]]}, engine);
		await clock.tickAsync(1000);
	}
}

it('guards against trials that crash engines again and again: one gateway tries one call, after 10 s, then after four times as long', async () => {
	await withClock(async clock => {
		const {quarantine} = createQuarantine();
		const {quarantine: other} = createQuarantine(false);
		for (const each of [quarantine, other]) {
			await crashTimes(each, clock, 3);
			expect(each.admit([part('bad')])).to.deep.include({kind: 'refuse', part: 'bad'});
			await clock.tickAsync(10_000);
		}

		expect(other.admit([part('bad')]).kind).to.equal('refuse');
		expect([quarantine.admit([part('bad')]).kind, quarantine.admit([part('bad')]).kind]).to.deep.equal(['trial', 'refuse']);
		await crashTimes(quarantine, clock, 1);
		await clock.tickAsync(35_000);
		expect(quarantine.admit([part('bad')]).kind).to.equal('refuse');
		await clock.tickAsync(10_000);
		expect(quarantine.admit([part('bad')]).kind).to.equal('trial');
	});
});

it('guards against refusing sound calls for long: a call that was under way and is survived releases the part here and at other gateways', async () => {
	await withClock(async clock => {
		const {quarantine, told} = createQuarantine();
		const {quarantine: other} = createQuarantine();
		await crashTimes(quarantine, clock, 3);
		other.mergeNews({crashes: [], survivals: [], holds: quarantine.holds});
		expect(other.admit([part('bad')]).kind).to.equal('refuse');
		quarantine.recordSurvival(engine, [part('bad')]);
		await clock.tickAsync(500);
		other.mergeNews({crashes: [], holds: [], survivals: told.flatMap(({survivals}) => survivals ?? [])});
		expect([quarantine.admit([part('bad')]).kind, other.admit([part('bad')]).kind]).to.deep.equal(['pass', 'pass']);
	});
});

it('guards against a hold that its own cause ends: a call that ends just before its engine crashes is no survival', async () => {
	await withClock(async clock => {
		const {quarantine} = createQuarantine();
		await crashTimes(quarantine, clock, 3);
		quarantine.recordSurvival(engine, [part('bad')]);
		await clock.tickAsync(50);
		quarantine.recordCrash({id: 'last', atMs: performance.now(), calls: []}, engine);
		await clock.tickAsync(1000);
		expect(quarantine.admit([part('bad')]).kind).to.equal('refuse');
	});
});

it('guards against state that grows with what callers send: after 20,000 parts and 2,000 crashes little is held and told, and the latest part is still found', async () => {
	await withClock(async clock => {
		const {quarantine, told} = createQuarantine();
		for (let at = 0; at < 2000; at++) {
			quarantine.recordSurvival(engine, [part(`ok-${at}`)]);
			quarantine.recordCrash({id: `c-${at}`, atMs: performance.now(), calls: Array.from({length: 10}, (_, call) => [part(`p-${at % 100}-${call}`)])}, testInstance({id: `i-${at}`}));
			await clock.tickAsync(60);
		}

		await crashTimes(quarantine, clock, 3);
		const heldParts: readonly Hold[] = quarantine.holds;
		expect(heldParts.length).to.be.at.most(64);
		expect(quarantine.admit([part('bad')]).kind).to.equal('refuse');
		expect(Math.max(...told.map(({survivals = [], crashes = []}) => survivals.length + crashes.length))).to.be.at.most(64);
	});
});

it('guards against a crash whose reset is lost: a call that falls silent at an engine which refuses connections counts as broken off by a crash', async () => {
	const silent = http.createServer(() => {
		silent.close();
	});
	await new Promise<void>(resolve => {
		silent.listen(0, '127.0.0.1', resolve);
	});
	const service = createServiceId('models');
	const configuration = testConfiguration(1, {
		kind: 'stream', isResumable: true, timeoutMs: 5000, targets: [{service, weight: 1}],
	});
	const gateway = await startTestGateway(configuration, [testInstance({
		id: 'i-silent', service, slots: 16, address: `127.0.0.1:${(silent.address() as AddressInfo).port}`, held: [{
			model: 'm', version: 1, fromLayer: 0, toLayer: 16,
		}],
	})]);
	open.push(gateway, {
		close() {
			silent.closeAllConnections();
		},
	});
	await callGateway(gateway.url, {
		headers: {
			model: 'm', 'token-usage': '100,50', 'prompt-prefix': 'shared:40,own:9', 'deadline-ms': '5000',
		},
	});
	await sleep(100);
	expect(gateway.crashes).to.have.length(1);
});

it('guards against old facts that no gateway can read: after days, an expired hold is told no more, and long ages are shortened', async () => {
	await withClock(async clock => {
		const sent: unknown[] = [];
		const {quarantine} = createQuarantine();
		await crashTimes(quarantine, clock, 3);
		const [hold] = quarantine.holds;
		await clock.tickAsync(3 * 86_400_000);
		expect([quarantine.holds.length, quarantine.admit([part('bad')]).kind]).to.deep.equal([0, 'pass']);
		const gossip = new CrashGossip({
			zone: 'z', port: 1, random: new RandomSource(1), holds: () => quarantine.holds, mergeNews: () => undefined,
			others: () => [{
				vm: 'g', startedAtMs: 1, role: 'gateway', zone: 'z', region: 'r', address: '127.0.0.1:1',
			}],
			datagrams: {on: () => undefined, send: message => sent.push(message)},
		});
		gossip.tell({crashes: [{id: 'c', atMs: 0, calls: [[part('a')]]}], survivals: [{part: part('a'), atMs: 0}], holds: [hold!]});
		await clock.tickAsync(10);
		expect(sent).to.have.length(1);
		expect(() => crashDatagramSchema.parse(sent[0])).not.to.throw();
		await crashTimes(quarantine, clock, 3);
		expect(quarantine.admit([part('bad')]).kind).to.equal('refuse');
	});
});
