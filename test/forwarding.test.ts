/** Forwarding over loopback: what callers get and what upstreams see when answers are lost, spoilt, refused or late. */
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {createServiceId} from '../src/ids/service-id.ts';
import {
	callGateway, sendSignedResponse, startTestGateway, startUpstream, testConfiguration, type TestGateway, testInstance, type TestUpstream, type UpstreamHandler,
} from './support/direct-fixtures.ts';

const open: Array<{close: () => void}> = [];

afterEach(() => {
	for (const part of open.splice(0)) {
		part.close();
	}
});

async function start(route: Parameters<typeof testConfiguration>[1], answers: readonly UpstreamHandler[]): Promise<{gateway: TestGateway; upstreams: TestUpstream[]}> {
	const upstreams: TestUpstream[] = [];
	for (const answer of answers) {
		upstreams.push(await startUpstream(answer));
	}

	const isStream = route?.kind === 'stream';
	const targets = [{service: createServiceId(isStream ? 'models' : 'desk'), weight: 1}];
	const gateway = await startTestGateway(testConfiguration(1, {targets, ...route}), upstreams.map(({address}, at) => testInstance({
		id: `i-${at}`, address, service: targets[0]!.service, held: isStream
			? [{
				model: 'm', version: 1, fromLayer: 0, toLayer: 16,
			}]
			: [],
	})));
	open.push(...upstreams, gateway);
	return {gateway, upstreams};
}

const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;

/** Answers a stream from the asked event on; breaks off after `breakAfter` in the middle of an event. */
function stream(last: number, breakAfter?: number): UpstreamHandler {
	return (req, res) => {
		const from = Number(req.headers['last-event-id'] ?? 0) + 1;
		res.writeHead(200, {
			'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's', 'content-type': 'text/event-stream', 'weight-versions': '1',
		});
		for (let id = from; id <= (breakAfter ?? last); id++) {
			res.write(event(id));
		}

		if (breakAfter === undefined) {
			res.end();
		} else {
			res.write('id: 99\nda');
			setTimeout(() => res.destroy(), 30);
		}
	};
}

const streamCall = {headers: {model: 'm', 'token-usage': '100,50', 'deadline-ms': '900'}};

it('guards against a second run: a call that may run once is not sent again after its connection broke', async () => {
	const {gateway, upstreams} = await start({kind: 'once'}, [req => req.socket.destroy(), req => req.socket.destroy()]);
	const answer = await callGateway(gateway.url);
	expect(answer.status).to.equal(502);
	expect(upstreams[0]!.requests.length + upstreams[1]!.requests.length).to.equal(1);
});

it('guards against a lost call: one that an upstream refused unrun goes to another', async () => {
	const refuse: UpstreamHandler = (req, res) => {
		res.writeHead(503, {'not-executed': '1', 'attempt-id': req.headers['attempt-id'] as string}).end();
	};

	const {gateway} = await start({kind: 'once'}, [refuse, (req, res, body) => {
		sendSignedResponse(req, res, 200, `ran ${body}`);
	}]);
	for (let at = 0; at < 4; at++) {
		const answer = await callGateway(gateway.url);
		expect([answer.status, answer.body]).to.deep.equal([200, 'ran b']);
	}
});

it('guards against a false promise: 503 without the upstream\'s word becomes 502 without a signature', async () => {
	const {gateway} = await start({kind: 'once'}, [(req, res) => {
		sendSignedResponse(req, res, 503, 'busy');
	}]);
	const answer = await callGateway(gateway.url);
	expect(answer.status).to.equal(502);
	expect(answer.headers['response-seal']).to.equal(undefined);
});

it('guards against a wrong promise: 421 of every upstream is a refusal with a time to return, never passed on', async () => {
	const {gateway} = await start({kind: 'once'}, [(req, res) => {
		res.writeHead(421).end();
	}]);
	const answer = await callGateway(gateway.url);
	expect(answer.status).to.equal(503);
	expect(Number(answer.headers['retry-after'])).to.be.greaterThan(0);
});

it('guards against mixed answers: an answer with another call\'s id, without signature or with an encoding reaches nobody', async () => {
	const heads = [{'attempt-id': 'other', 'response-seal': 's'}, {'attempt-id': 'id-1'}, {'attempt-id': 'id-1', 'response-seal': 's', 'content-encoding': 'gzip'}];
	for (const head of heads) {
		const {gateway} = await start({kind: 'once'}, [(_, res) => {
			res.writeHead(200, head as Record<string, string>).end('x');
		}]);
		const answer = await callGateway(gateway.url);
		expect([answer.status, answer.body.includes('x"')]).to.deep.equal([502, false]);
	}
});

it('guards against an incomplete answer that looks whole: a body that ends early is repeated where that is safe', async () => {
	let calls = 0;
	const cut: UpstreamHandler = (req, res) => {
		calls++;
		if (calls > 1) {
			sendSignedResponse(req, res, 200, 'whole');
			return;
		}

		res.writeHead(200, {'attempt-id': 'id-1', 'response-seal': 's', 'content-length': 100});
		res.write('part');
		setTimeout(() => res.destroy(), 20);
	};

	const {gateway} = await start({kind: 'idempotent'}, [cut, cut]);
	const answer = await callGateway(gateway.url, {method: 'GET', body: ''});
	expect([answer.status, answer.body, calls]).to.deep.equal([200, 'whole', 2]);
});

it('guards against an answer without a length that a reset ended: it is not passed on as whole, one that ends in order is', async () => {
	for (const [isReset, status] of [[true, 502], [false, 200]] as const) {
		const {gateway} = await start({kind: 'once'}, [req => {
			req.socket.write('HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nResponse-Seal: s\r\nConnection: close\r\n\r\npart');
			setTimeout(() => {
				if (isReset) {
					req.socket.resetAndDestroy();
				} else {
					req.socket.end();
				}
			}, 30);
		}]);
		const answer = await callGateway(gateway.url);
		expect(answer.status).to.equal(status);
	}
});

it('guards against an answer that looks more complete than the upstream made it: without a length there, it has none here', async () => {
	const {gateway} = await start({kind: 'once'}, [req => {
		req.socket.end('HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nResponse-Seal: s\r\nConnection: close\r\n\r\npart');
	}]);
	const {status, headers, body} = await callGateway(gateway.url);
	expect([status, headers['content-length'], headers['transfer-encoding'], headers.connection, body]).to.deep.equal([200, undefined, undefined, 'close', 'part']);
});

it('guards against missing and doubled events: a resumable stream goes on at another upstream after its last whole event', async () => {
	const breaks = stream(6, 3);
	let first = true;
	const answer: UpstreamHandler = (req, res, body) => {
		(first ? breaks : stream(6))(req, res, body);
		first = false;
	};

	const {gateway} = await start({kind: 'stream', isResumable: true}, [answer, answer]);
	const got = await callGateway(gateway.url, streamCall);
	expect(got.body).to.equal([1, 2, 3, 4, 5, 6].map(id => event(id)).join(''));
	expect(got.complete).to.equal(true);
});

it('guards against a cut stream that looks whole: one that may not be resumed ends without its last chunk', async () => {
	const {gateway, upstreams} = await start({kind: 'stream', isResumable: false}, [stream(6, 3), stream(6, 3)]);
	const got = await callGateway(gateway.url, streamCall);
	expect([got.complete, got.body]).to.deep.equal([false, [1, 2, 3].map(id => event(id)).join('')]);
	expect(upstreams[0]!.requests.length + upstreams[1]!.requests.length).to.equal(1);
});

it('guards against work for nobody: an upstream sees its connection close soon after the caller left', async () => {
	let closedAtMs = 0;
	const {gateway} = await start({kind: 'stream', isResumable: true}, [(_, res) => {
		res.on('close', () => {
			closedAtMs = performance.now();
		});
	}]);
	const leftAtMs = performance.now() + 100;
	const [left] = await Promise.allSettled([callGateway(gateway.url, {...streamCall, disconnectAfterMs: 100})]);
	expect(left.status).to.equal('rejected');
	await sleep(300);
	expect(closedAtMs).to.be.within(leftAtMs - 50, leftAtMs + 250);
});

it('guards against leaked keys and forged tenants: the upstream sees the holder and never the key', async () => {
	const {gateway, upstreams} = await start({kind: 'once'}, [(req, res) => {
		sendSignedResponse(req, res, 200, 'ok');
	}]);
	await callGateway(gateway.url, {headers: {tenant: 'other', 'expect-instance': 'i-9', 'deadline-ms': '500'}});
	const {headers} = upstreams[0]!.requests[0]!;
	expect([headers.tenant, headers['api-key'], headers['expect-instance']]).to.deep.equal(['w1', undefined, 'i-0']);
	expect(Number(headers['deadline-ms'])).to.be.within(300, 500);
});

it('guards against wrong refusals: 503 without a configuration, 404 without a route, 401 without a known key, 431 and 413 over the limits', async () => {
	const bare = await startTestGateway(undefined, []);
	open.push(bare);
	const unknown = await callGateway(bare.url);
	expect(unknown.status).to.equal(503);
	const {gateway, upstreams} = await start({kind: 'once'}, [(req, res) => {
		sendSignedResponse(req, res, 200, 'ok');
	}]);
	const statuses = [
		await callGateway(gateway.url, {path: '/q/x'}),
		await callGateway(gateway.url, {headers: {'api-key': 'nobody'}}),
		await callGateway(gateway.url, {headers: {'x-long': 'y'.repeat(3000)}}),
		await callGateway(gateway.url, {body: 'z'.repeat(20_000)}),
	].map(({status}) => status);
	expect(statuses).to.deep.equal([404, 401, 431, 413]);
	expect(upstreams[0]!.requests.length).to.equal(0);
});

it('guards against calls held past the route\'s timeout: they end at it, with 504 since they may have run', async () => {
	const {gateway} = await start({kind: 'once', timeoutMs: 200}, [() => undefined]);
	const startedMs = performance.now();
	const answer = await callGateway(gateway.url);
	expect(answer.status).to.equal(504);
	expect(performance.now() - startedMs).to.be.within(150, 600);
});

it('guards against lost callers of a dead upstream: a refused connect goes elsewhere and the instance is taken out', async () => {
	const {gateway, upstreams} = await start({kind: 'once'}, [(req, res) => {
		sendSignedResponse(req, res, 200, 'ok');
	}, (req, res) => {
		sendSignedResponse(req, res, 200, 'ok');
	}]);
	upstreams[0]!.close();
	for (let at = 0; at < 4; at++) {
		const answer = await callGateway(gateway.url);
		expect(answer.status).to.equal(200);
	}

	expect(gateway.tracker.isUsable('i-0')).to.equal(false);
});

it('guards against old weights at a slow engine: a stream that has not begun when its version expires is taken back', async () => {
	let leftAtMs = Number.POSITIVE_INFINITY;
	const {gateway, upstreams} = await start({kind: 'stream', isResumable: true, aimMs: 800}, [req => {
		req.socket.on('close', () => {
			leftAtMs = performance.now();
		});
	}]);
	// Version 1 may begin for another 400 ms.
	gateway.directory.adopt({
		versions: [{
			model: 'm', version: 2, ageMs: 7350, isAssumed: false,
		}], instancesRevision: 0,
	});
	const calledAtMs = performance.now();
	const answer = await callGateway(gateway.url, streamCall);
	expect(answer.status).to.equal(502);
	expect(upstreams[0]!.requests.length).to.equal(1);
	await sleep(30);
	expect(leftAtMs - calledAtMs).to.be.lessThan(650);
});

it('guards against a begun stream that counts as a late call: it goes on elsewhere also when its upstream told no version and its aim is over', async () => {
	const breaking: UpstreamHandler = (req, res) => {
		res.writeHead(200, {'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's', 'content-type': 'text/event-stream'});
		res.write(event(1));
		setTimeout(() => res.destroy(), 60);
	};

	// The first instance is the only idle one; the other has more calls than late ones may join.
	const {gateway, upstreams} = await start({
		kind: 'stream', isResumable: true, aimMs: 150, timeoutMs: 2000,
	}, [breaking, stream(3)]);
	for (let call = 0; call < 4; call++) {
		gateway.tracker.inFlight.add('i-1', 300);
	}

	const answer = await callGateway(gateway.url, {...streamCall, headers: {...streamCall.headers, 'deadline-ms': '1900'}});
	expect([answer.complete, answer.body]).to.deep.equal([true, [1, 2, 3].map(id => event(id)).join('')]);
	expect(upstreams.map(({requests}) => requests.length)).to.deep.equal([1, 1]);
});
