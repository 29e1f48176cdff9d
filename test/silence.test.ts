/** What callers get when this process, or an upstream, pauses while answers are under way. */
import {expect} from 'chai';
import {createServiceId} from '../src/ids/service-id.ts';
import {createPromptPartId} from '../src/ids/prompt-part-id.ts';
import type {RouteKind} from '../src/directory/directory-types.ts';
import {
	callGateway, sendSignedResponse, startTestGateway, startUpstream, testConfiguration, type TestGateway, testInstance, type TestResponse, type TestUpstream, type UpstreamHandler,
} from './support/direct-fixtures.ts';
import {waitFor} from './support/fleet.ts';
import {Processes, type StreamWorker} from './support/processes.ts';

/** How long the event loop or an upstream pauses, in milliseconds; more than any stall timeout. */
const pauseMs = 1600;

const processes = new Processes();
const gateways: TestGateway[] = [];

after(() => {
	processes.stop();
});

afterEach(() => {
	for (const gateway of gateways.splice(0)) {
		gateway.close();
	}
});

async function start(kind: RouteKind, workerCount: number, options: {timeoutMs?: number; attempts?: number; retrySlack?: number} = {}): Promise<{gateway: TestGateway; workers: StreamWorker[]}> {
	const {timeoutMs = 8000, attempts = 3, retrySlack} = options;
	const workers = await Promise.all(Array.from({length: workerCount}, async () => processes.startStreamWorker()));
	const service = createServiceId(kind === 'stream' ? 'models' : 'desk');
	const held = kind === 'stream'
		? [{
			model: 'm', version: 1, fromLayer: 0, toLayer: 16,
		}]
		: [];
	const configuration = testConfiguration(1, {
		kind, isResumable: kind === 'stream', timeoutMs, aimMs: 1000, attempts, targets: [{service, weight: 1}],
	});
	const instances = workers.map(({address}, at) => testInstance({
		id: `i-${at}`, address, service, slots: 16, held,
	}));
	const gateway = await startTestGateway(configuration, instances, {retrySlack});
	gateways.push(gateway);
	return {gateway, workers};
}

/** Sends calls, `query` telling the worker how to answer. */
async function callAll(gateway: TestGateway, count: number, query: string, headers: Record<string, string> = {}): Promise<TestResponse[]> {
	return Promise.all(Array.from({length: count}, async (_, at) => callGateway(gateway.url, {
		path: `/p/x?${query}`, headers: {'attempt-id': `id-${at}`, 'deadline-ms': '8000', ...headers},
	})));
}

const streamHeaders = {model: 'm', 'token-usage': '100,50'};

/** Blocks the event loop of this process after a time, as a machine without free processors does: timers that are due run before sockets are read. */
function blockAfter(ms: number, forMs = pauseMs): void {
	setTimeout(() => {
		setImmediate(() => {
			Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, forMs);
		});
	}, ms);
}

function expectWhole(responses: readonly TestResponse[], events: number): void {
	const last = `data: t${events}`;
	const cut = responses.filter(({status, complete, body}) => status !== 200 || !complete || !body.includes(last));
	expect(cut.map(({status, complete, body}) => ({status, complete, events: body.split('\n\n').length - 1}))).to.deep.equal([]);
}

async function countRuns(workers: readonly StreamWorker[]): Promise<number> {
	const runs = await Promise.all(workers.map(async worker => worker.runs()));
	return runs.flatMap(item => Object.values(item)).reduce((sum, count) => sum + count, 0);
}

it('guards against a pause of the gateway that passes for silence of its upstreams: streams go on where they are', async () => {
	const {gateway, workers} = await start('stream', 2);
	blockAfter(400);
	const responses = await callAll(gateway, 20, 'events=20&gap=100', streamHeaders);
	expectWhole(responses, 20);
	expect(await countRuns(workers)).to.equal(20);
});

it('guards against a pause of the gateway that passes for silence before the first event: no call is sent twice', async () => {
	const {gateway, workers} = await start('stream', 2);
	blockAfter(100);
	const responses = await callAll(gateway, 10, 'events=3&gap=50&after=300', streamHeaders);
	expectWhole(responses, 3);
	expect(await countRuns(workers)).to.equal(10);
});

it('guards against a pause of the gateway that passes for a dead connection: calls that connect meanwhile go to their upstream', async () => {
	const {gateway, workers} = await start('idempotent', 1, {attempts: 1});
	const responses = callAll(gateway, 10, 'bytes=10');
	for (let at = 0; at < 8; at++) {
		blockAfter(1 + at, 400);
	}

	const statuses = await responses;
	expect(statuses.map(({status}) => status)).to.deep.equal(Array.from({length: 10}, () => 200));
	expect(await countRuns(workers)).to.equal(10);
});

it('guards against an answer that is ready and thrown away: a pause across the timeout of its route does not end the call', async () => {
	const {gateway, workers} = await start('once', 1, {timeoutMs: 2000});
	const calls = callAll(gateway, 10, 'bytes=800&after=800', {'deadline-ms': '2000'});
	await waitFor('all calls run', async () => await countRuns(workers) === 10);
	blockAfter(0, 2400);
	const responses = await calls;
	expect(responses.map(({status}) => status)).to.deep.equal(Array.from({length: 10}, () => 200));
});

it('guards against a silent upstream that is left for nothing: without another one, the stream goes on when the upstream does', async () => {
	const {gateway, workers} = await start('stream', 1);
	const responses = await callAll(gateway, 10, `events=6&gap=50&pause-at=3&pause=${pauseMs}`, streamHeaders);
	expectWhole(responses, 6);
	expect(await countRuns(workers)).to.equal(10);
});

it('guards against a silent upstream that is left for nothing: without a retry in the budget, the stream goes on when the upstream does', async () => {
	const {gateway, workers} = await start('stream', 2, {retrySlack: 0});
	const responses = await callAll(gateway, 3, `events=6&gap=50&pause-at=3&pause=${pauseMs}`, streamHeaders);
	expectWhole(responses, 6);
	expect(await countRuns(workers)).to.equal(3);
});

it('guards against a silent upstream that is left for nothing: a call without an answer so far waits for it, too', async () => {
	const {gateway, workers} = await start('idempotent', 1);
	const responses = await callAll(gateway, 10, `bytes=10&after=${pauseMs}`);
	expect(responses.map(({status}) => status)).to.deep.equal(Array.from({length: 10}, () => 200));
	expect(await countRuns(workers)).to.equal(10);
});

it('guards against an upstream that is left for one that is no better: if both are silent, the first to go on answers', async () => {
	const {gateway, workers} = await start('stream', 2, {attempts: 2});
	const responses = await callAll(gateway, 6, `events=6&gap=50&after=${pauseMs + 1200}`, {...streamHeaders, 'deadline-ms': '7000'});
	expectWhole(responses, 6);
	expect(await countRuns(workers)).to.be.at.most(12);
});

it('guards against two answers in one: a stream that another upstream resumes has each event once, also if the silent one goes on', async () => {
	const {gateway, workers} = await start('stream', 2);
	const responses = await callAll(gateway, 12, `events=8&gap=60&pause-at=3&pause=${pauseMs}`, streamHeaders);
	expectWhole(responses, 8);
	const events = Array.from({length: 8}, (_, at) => `id: ${at + 1}\ndata: t${at + 1}\n\n`).join('');
	expect(responses.map(({body}) => body)).to.deep.equal(responses.map(() => events));
	expect(await countRuns(workers)).to.be.at.most(24);
});

it('guards against a held prompt part that reaches a second upstream because the first one is silent', async () => {
	const {gateway, workers} = await start('stream', 2);
	const responses = callAll(gateway, 1, `events=6&gap=50&pause-at=3&pause=${pauseMs}`, {...streamHeaders, 'prompt-prefix': 'aa:60,bb:40'});
	setTimeout(() => {
		for (let crash = 0; crash < 3; crash++) {
			const crashed = testInstance({id: `i-crashed-${crash}`});
			gateway.quarantine.recordCrash({id: `${crashed.id}@1`, atMs: performance.now() - (crash * 100), calls: [[createPromptPartId('aa')]]}, crashed);
		}
	}, 700);
	expectWhole(await responses, 6);
	expect(gateway.quarantine.holds).to.have.lengthOf(1);
	expect(await countRuns(workers)).to.equal(1);
});

const lateEnds: Readonly<Record<string, {end: UpstreamHandler; expected: readonly [number, string]}>> = {
	'breaks off': {
		end(req) {
			req.socket.destroy();
		},
		expected: [500, 'failed'],
	},
	answers: {
		end(req, res) {
			sendSignedResponse(req, res, 200, 'ok');
		},
		expected: [200, 'ok'],
	},
};

for (const [name, {end, expected}] of Object.entries(lateEnds)) {
	it(`guards against a failure that hides a better answer: the second upstream fails, the silent one ${name}`, async () => {
		const upstreams = await Promise.all([
			startUpstream((...args) => {
				setTimeout(() => {
					end(...args);
				}, 900);
			}),
			startUpstream((req, res) => {
				sendSignedResponse(req, res, 500, 'failed');
			}),
		]);
		const instances = upstreams.map(({address}, at) => testInstance({id: `i-${at}`, address}));
		const gateway = await startTestGateway(testConfiguration(1, {kind: 'idempotent', timeoutMs: 3000}), instances);
		gateways.push(gateway);
		// The second one is suspect, so that the first one gets the call first.
		gateway.tracker.recordOutcome('i-1', false);
		gateway.tracker.recordOutcome('i-1', false);
		const response = await callGateway(gateway.url, {headers: {'deadline-ms': '2500'}});
		for (const upstream of upstreams) {
			upstream.close();
		}

		expect(upstreams.map(({requests}) => requests.length)).to.deep.equal([1, 1]);
		expect([response.status, response.body]).to.deep.equal(expected);
	});
}

/** What the second upstream sends to a stream of which the caller has events 1 to 3, while the first one is silent. */
const secondAnswers: Readonly<Record<string, UpstreamHandler>> = {
	'refuses it with 404'(req, res) {
		sendSignedResponse(req, res, 404, 'none');
	},
	'sends a comment and nothing else'(req, res) {
		res.writeHead(200, {
			'attempt-id': String(req.headers['attempt-id']), 'response-seal': 's', 'content-type': 'text/event-stream', 'weight-versions': '1',
		});
		res.write(': alive\n\n');
	},
};

async function startPair(first: UpstreamHandler, others: readonly UpstreamHandler[]): Promise<{gateway: TestGateway; upstreams: TestUpstream[]}> {
	const upstreams = await Promise.all([first, ...others].map(async handler => startUpstream(handler)));
	const service = createServiceId('models');
	const configuration = testConfiguration(1, {
		kind: 'stream', isResumable: true, timeoutMs: 6000, aimMs: 1000, attempts: 3, targets: [{service, weight: 1}],
	});
	const gateway = await startTestGateway(configuration, upstreams.map(({address}, at) => testInstance({
		id: `i-${at}`, address, service, slots: 16, held: [{
			model: 'm', version: 1, fromLayer: 0, toLayer: 16,
		}],
	})));
	for (const at of others.keys()) {
		// The others look slower, so that the first one gets the call first.
		gateway.tracker.inFlight.add(`i-${at + 1}`, 2000);
	}

	gateways.push(gateway);
	return {gateway, upstreams};
}

const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;

/** Sends events 1 to 3, and after a silence what `end` writes. */
function streamWithSilence(silentMs: number, end: string): UpstreamHandler {
	return (req, res) => {
		res.writeHead(200, {
			'attempt-id': String(req.headers['attempt-id']), 'response-seal': 's', 'content-type': 'text/event-stream', 'weight-versions': '1',
		});
		res.write([1, 2, 3].map(id => event(id)).join(''));
		setTimeout(() => {
			res.end(end);
		}, silentMs);
	};
}

const streamCall = {headers: {...streamHeaders, 'deadline-ms': '6000'}};

for (const [name, answer] of Object.entries(secondAnswers)) {
	it(`guards against a stream that is left for no answer: the second upstream ${name}`, async () => {
		const {gateway, upstreams} = await startPair(streamWithSilence(2000, event(4)), [answer]);
		const response = await callGateway(gateway.url, streamCall);
		expect(upstreams.map(({requests}) => requests.length)).to.deep.equal([1, 1]);
		expect([response.complete, response.body, gateway.faults.count]).to.deep.equal([true, [1, 2, 3, 4].map(id => event(id)).join(''), 0]);
		for (const upstream of upstreams) {
			upstream.close();
		}
	});
}

it('guards against a stream that goes on after events in doubt: an impossible ID of the upstream that sent them cuts it, whatever a second one does', async () => {
	const {gateway, upstreams} = await startPair(streamWithSilence(1600, event(2)), [(req, res) => {
		setTimeout(() => {
			streamWithSilence(0, event(4))(req, res, '');
		}, 1000);
	}]);
	const response = await callGateway(gateway.url, streamCall);
	expect(upstreams.map(({requests}) => requests.length)).to.deep.equal([1, 1]);
	expect([response.complete, response.body]).to.deep.equal([false, [1, 2, 3].map(id => event(id)).join('')]);
	for (const upstream of upstreams) {
		upstream.close();
	}
});

it('guards against a silent upstream that makes its call visit all others: after three refusals it asks no more', async () => {
	const refuse: UpstreamHandler = (req, res) => {
		res.writeHead(429, {'attempt-id': String(req.headers['attempt-id']), 'not-executed': '1'}).end();
	};

	const {gateway, upstreams} = await startPair(streamWithSilence(4500, event(4)), Array.from({length: 8}, () => refuse));
	const response = await callGateway(gateway.url, streamCall);
	expect(response.complete).to.equal(true);
	expect(upstreams.slice(1).reduce((sum, {requests}) => sum + requests.length, 0)).to.be.within(1, 3);
	for (const upstream of upstreams) {
		upstream.close();
	}
});
