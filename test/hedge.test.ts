/** What callers and instances see of second attempts of late calls. */
import type http from 'node:http';
import {expect} from 'chai';
import type {Route} from '../src/directory/directory-types.ts';
import {createServiceId} from '../src/ids/service-id.ts';
import {
	callGateway, sendSignedResponse, startTestGateway, startUpstream, testConfiguration, type TestGateway, testInstance, type TestUpstream, type UpstreamHandler,
} from './support/direct-fixtures.ts';
import {waitFor} from './support/fleet.ts';

/** Calls that are sent before one is late, so that the usual times are known. */
const primingCalls = 48;

const closers: Array<() => void> = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

/** `cancelled` has the instances whose requests were closed before their response. */
type Fleet = {readonly gateway: TestGateway; readonly upstreams: readonly TestUpstream[]; readonly results: string[]; readonly cancelled: readonly number[]};

type FleetOptions = {readonly route?: Partial<Route>; readonly hedgeRatio?: number};

/** Starts a gateway and two instances of a plain service or of engines. */
async function startFleet(handlers: readonly UpstreamHandler[], cancelled: readonly number[], {route = {}, hedgeRatio = 0.1}: FleetOptions): Promise<Fleet> {
	const results: string[] = [];
	const upstreams = await Promise.all(handlers.map(async handler => startUpstream(handler)));
	const service = createServiceId(route.kind === 'stream' ? 'models' : 'desk');
	const held = route.kind === 'stream'
		? [{
			model: 'm', version: 1, fromLayer: 0, toLayer: 16,
		}]
		: [];
	const instances = upstreams.map(({address}, at) => testInstance({
		id: `i-${at}`, address, service, slots: 16, held,
	}));
	const gateway = await startTestGateway(testConfiguration(1, {
		kind: 'idempotent', timeoutMs: 4000, aimMs: 1000, targets: [{service, weight: 1}], ...route,
	}), instances, {
		hedgeRatio, onHedge(result) {
			results.push(result);
		},
	});
	closers.push(() => {
		gateway.close();
		for (const upstream of upstreams) {
			upstream.close();
		}
	});
	return {
		gateway, upstreams, results, cancelled,
	};
}

async function call({gateway}: Fleet, path: string, headers: Record<string, string> = {}) {
	return callGateway(gateway.url, {path, headers: {'attempt-id': path, 'deadline-ms': '4000', ...headers}});
}

/** Sends calls that take the usual time, one after another. */
async function prime(fleet: Fleet, headers: Record<string, string> = {}): Promise<void> {
	for (let at = 0; at < primingCalls; at++) {
		await call(fleet, '/p/usual', headers);
	}

	fleet.results.splice(0);
}

type Respond = (req: http.IncomingMessage, res: http.ServerResponse, at: number) => void;

/** Starts two instances of which the one that gets the first attempt of a late call takes `firstMs`, and the other one `secondMs`. */
async function startLateFleet({firstMs, secondMs, respond}: {firstMs: number; secondMs: number; respond: Respond}, options: FleetOptions = {}): Promise<Fleet> {
	let lateAttempts = 0;
	const cancelled: number[] = [];
	const handlers = [0, 1].map((at): UpstreamHandler => (req, res) => {
		const isLate = req.url === '/p/late';
		lateAttempts += Number(isLate);
		res.on('close', () => {
			if (!res.writableFinished) {
				cancelled.push(at);
			}
		});
		setTimeout(() => {
			if (!res.destroyed) {
				respond(req, res, at);
			}
		}, isLate ? (lateAttempts === 1 ? firstMs : secondMs) : 10);
	});
	return startFleet(handlers, cancelled, options);
}

const respondPlain: Respond = (req, res, at) => {
	sendSignedResponse(req, res, 200, `answer of ${at}`);
};

function lateRequests({upstreams}: Fleet) {
	return upstreams.flatMap(({requests}) => requests.filter(({url}) => url === '/p/late'));
}

function countInFlight({gateway}: Fleet): number {
	return ['i-0', 'i-1'].reduce((sum, id) => sum + gateway.tracker.inFlight.countsAt(id).calls, 0);
}

it('guards against two answers, and work that goes on for nobody: the slower attempt of a late call is cancelled at once, and the caller gets one whole answer', async () => {
	const fleet = await startLateFleet({firstMs: 350, secondMs: 10, respond: respondPlain});
	await prime(fleet);
	const startedAtMs = performance.now();
	const response = await call(fleet, '/p/late');
	const elapsedMs = performance.now() - startedAtMs;
	expect(lateRequests(fleet)).to.have.lengthOf(2);
	expect(response).to.include({status: 200, complete: true});
	expect(elapsedMs).to.be.below(350);
	expect(countInFlight(fleet)).to.equal(0);
	expect(fleet.results).to.deep.equal(['sent', 'won']);
	await waitFor('the slower attempt is closed', () => fleet.cancelled.length > 0);
	expect(fleet.cancelled).to.deep.equal([response.body === 'answer of 0' ? 1 : 0]);
});

it('guards against a second attempt that replaces an answer: the first one answers if it is earlier, and the second one is cancelled', async () => {
	const fleet = await startLateFleet({firstMs: 200, secondMs: 350, respond: respondPlain});
	await prime(fleet);
	const response = await call(fleet, '/p/late');
	expect(lateRequests(fleet)).to.have.lengthOf(2);
	expect(response).to.include({status: 200, complete: true});
	expect(countInFlight(fleet)).to.equal(0);
	expect(fleet.results).to.deep.equal(['sent', 'cancelled']);
});

it('guards against an error that hides an answer: if the second attempt fails, the caller gets the answer of the first one', async () => {
	const fleet = await startLateFleet({
		firstMs: 300, secondMs: 10, respond(req, res, at) {
			const isSecond = req.url === '/p/late' && countInFlight(fleet) === 2;
			sendSignedResponse(req, res, isSecond ? 500 : 200, `answer of ${at}`);
		},
	});
	await prime(fleet);
	const response = await call(fleet, '/p/late');
	expect(lateRequests(fleet)).to.have.lengthOf(2);
	expect(response).to.include({status: 200, complete: true});
	expect(fleet.results).to.deep.equal(['sent']);
});

it('guards against a silent instance that is waited for: without known times, the silence itself leads to a second attempt, and is not limited with those of late calls', async () => {
	const fleet = await startLateFleet({firstMs: 2000, secondMs: 10, respond: respondPlain}, {hedgeRatio: 0});
	const startedAtMs = performance.now();
	expect(await call(fleet, '/p/late')).to.include({status: 200, complete: true});
	expect(performance.now() - startedAtMs).to.be.within(400, 1500);
	expect(lateRequests(fleet)).to.have.lengthOf(2);
	expect(fleet.results).to.deep.equal([]);
});

for (const {title, route, hedgeRatio} of [
	{title: 'a call that may run only once', route: {kind: 'once'} as const, hedgeRatio: 0.2},
	{title: 'a call without an attempt left', route: {attempts: 1}, hedgeRatio: 0.2},
	{title: 'any call unless the operator allows it', route: {}, hedgeRatio: 0},
	{title: 'a call beyond the limit', route: {}, hedgeRatio: 0.01},
]) {
	it(`guards against a second attempt of ${title}`, async () => {
		const fleet = await startLateFleet({firstMs: 350, secondMs: 10, respond: respondPlain}, {route, hedgeRatio});
		await prime(fleet);
		expect(await call(fleet, '/p/late')).to.include({status: 200, complete: true});
		expect(lateRequests(fleet)).to.have.lengthOf(1);
		expect(fleet.results).to.deep.equal(hedgeRatio === 0.01 ? ['hedge_limit'] : []);
	});
}

const streamRoute: Partial<Route> = {kind: 'stream', isResumable: true};
const streamHeaders = {model: 'm', 'token-usage': '100,50'};

/** Responds with two events; the second one comes after a pause that is shorter than the stall timeout. */
function respondStream(pauseMs: number): Respond {
	return (req, res, at) => {
		res.writeHead(200, {'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's.1', 'content-type': 'text/event-stream'});
		res.write(`id: 1\ndata: t1 of ${at}\n\n`);
		setTimeout(() => {
			res.end(`id: 2\ndata: t2 of ${at}\n\n`);
		}, req.url === '/p/late' ? pauseMs : 0);
	};
}

it('guards against a stream of two instances: one that is late before its first event is replaced as a whole', async () => {
	const fleet = await startLateFleet({firstMs: 800, secondMs: 10, respond: respondStream(50)}, {route: streamRoute});
	await prime(fleet, streamHeaders);
	const response = await call(fleet, '/p/late', streamHeaders);
	expect(fleet.results).to.deep.equal(['sent', 'won']);
	expect(response).to.include({status: 200, complete: true});
	expect(response.body.match(/of \d/g)).to.deep.equal(response.body.startsWith('id: 1\ndata: t1 of 0') ? ['of 0', 'of 0'] : ['of 1', 'of 1']);
});

it('guards against a stream that is replaced after its first event was passed on: a pause in it is not lateness', async () => {
	const fleet = await startLateFleet({firstMs: 10, secondMs: 10, respond: respondStream(700)}, {route: streamRoute});
	await prime(fleet, streamHeaders);
	const response = await call(fleet, '/p/late', streamHeaders);
	expect(response).to.include({status: 200, complete: true});
	expect(lateRequests(fleet)).to.have.lengthOf(1);
	expect(fleet.results).to.deep.equal([]);
});
