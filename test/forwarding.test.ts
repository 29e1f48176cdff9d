/** Tests forwarding over loopback: what callers and upstreams receive when responses are lost, altered, refused or late. */
import {Buffer} from 'node:buffer';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {UpstreamExchange} from '../src/forwarding/upstream-exchange.ts';
import {createServiceId} from '../src/ids/service-id.ts';
import {
	callGateway, sendSignedResponse, startTestGateway, startUpstream, testConfiguration, testBoundary, type TestGateway, testInstance, type TestUpstream, type UpstreamHandler,
} from './support/direct-fixtures.ts';

const open: Array<{close: () => void}> = [];

afterEach(() => {
	for (const item of open.splice(0)) {
		item.close();
	}
});

async function start(route: Parameters<typeof testConfiguration>[1], handlers: readonly UpstreamHandler[]): Promise<{gateway: TestGateway; upstreams: TestUpstream[]}> {
	const upstreams: TestUpstream[] = [];
	for (const handler of handlers) {
		upstreams.push(await startUpstream(handler));
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

/** Returns a handler that streams events after the requested one; with `breakAfter`, it breaks off in the middle of the event after that one. */
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

it('guards against a second run: a call that may run only once is not retried after its connection breaks', async () => {
	const {gateway, upstreams} = await start({kind: 'once'}, [req => req.socket.destroy(), req => req.socket.destroy()]);
	const response = await callGateway(gateway.url);
	expect(response.status).to.equal(502);
	expect(upstreams[0]!.requests.length + upstreams[1]!.requests.length).to.equal(1);
});

it('guards against a lost call: a call that an upstream refused without running it is retried at another', async () => {
	const refuse: UpstreamHandler = (req, res) => {
		res.writeHead(503, {'not-executed': '1', 'attempt-id': req.headers['attempt-id'] as string}).end();
	};

	const {gateway} = await start({kind: 'once'}, [refuse, (req, res, body) => {
		sendSignedResponse(req, res, 200, `ran ${body}`);
	}]);
	for (let at = 0; at < 4; at++) {
		const response = await callGateway(gateway.url);
		expect([response.status, response.body]).to.deep.equal([200, 'ran b']);
	}
});

it('guards against a false "not run": a 503 whose upstream does not state that the call did not run becomes a 502 without a signature', async () => {
	const {gateway} = await start({kind: 'once'}, [(req, res) => {
		sendSignedResponse(req, res, 503, 'busy');
	}]);
	const response = await callGateway(gateway.url);
	expect(response.status).to.equal(502);
	expect(response.headers['response-seal']).to.equal(undefined);
});

it('guards against a 421 that is passed on: if every upstream responds with 421, the caller gets a 503 with a retry delay', async () => {
	const {gateway} = await start({kind: 'once'}, [(req, res) => {
		res.writeHead(421).end();
	}]);
	const response = await callGateway(gateway.url);
	expect(response.status).to.equal(503);
	expect(Number(response.headers['retry-after'])).to.be.greaterThan(0);
});

it('guards against mixed-up responses: a response with the ID of another call, without a signature or with a content encoding is not passed on', async () => {
	const heads = [{'attempt-id': 'other', 'response-seal': 's'}, {'attempt-id': 'id-1'}, {'attempt-id': 'id-1', 'response-seal': 's', 'content-encoding': 'gzip'}];
	for (const head of heads) {
		const {gateway} = await start({kind: 'once'}, [(_, res) => {
			res.writeHead(200, head as Record<string, string>).end('x');
		}]);
		const response = await callGateway(gateway.url);
		expect([response.status, response.body.includes('x"')]).to.deep.equal([502, false]);
	}
});

it('guards against a truncated response that looks complete: an idempotent call whose body ends early is retried', async () => {
	let calls = 0;
	const truncating: UpstreamHandler = (req, res) => {
		calls++;
		if (calls > 1) {
			sendSignedResponse(req, res, 200, 'whole');
			return;
		}

		res.writeHead(200, {'attempt-id': 'id-1', 'response-seal': 's', 'content-length': 100});
		res.write('part');
		setTimeout(() => res.destroy(), 20);
	};

	const {gateway} = await start({kind: 'idempotent'}, [truncating, truncating]);
	const response = await callGateway(gateway.url, {method: 'GET', body: ''});
	expect([response.status, response.body, calls]).to.deep.equal([200, 'whole', 2]);
});

it('guards against an unframed response that a reset cut off: it is not passed on, one that ends with a FIN is', async () => {
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
		const response = await callGateway(gateway.url);
		expect(response.status).to.equal(status);
	}
});

it('guards against an unframed response that a reset cuts off while its data is read: it is never passed on as complete', async () => {
	const upstream = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write('HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nResponse-Seal: s.1\r\n\r\n');
			const block = 'x'.repeat(2000);
			const timer = setInterval(() => {
				socket.write(block);
			}, 1);
			setTimeout(() => {
				clearInterval(timer);
				socket.write(block);
				socket.resetAndDestroy();
			}, 20);
		});
	});
	await new Promise<void>(resolve => {
		upstream.listen(0, '127.0.0.1', resolve);
	});
	const gateway = await startTestGateway(testConfiguration(1), [testInstance({id: 'i-0', address: `127.0.0.1:${(upstream.address() as AddressInfo).port}`, slots: 1000})]);
	open.push(gateway, upstream);
	for (let at = 0; at < 60; at++) {
		const response = await callGateway(gateway.url);
		expect(response.status).to.equal(502);
	}
});

it('guards against missing and duplicate events: a resumable stream resumes at another upstream after its last complete event', async () => {
	const breakingStream = stream(6, 3);
	let isFirst = true;
	const handler: UpstreamHandler = (req, res, body) => {
		(isFirst ? breakingStream : stream(6))(req, res, body);
		isFirst = false;
	};

	const {gateway} = await start({kind: 'stream', isResumable: true}, [handler, handler]);
	const response = await callGateway(gateway.url, streamCall);
	expect(response.body).to.equal([1, 2, 3, 4, 5, 6].map(id => event(id)).join(''));
	expect(response.complete).to.equal(true);
});

it('guards against a truncated stream that looks complete: a stream that may not be resumed ends without its final chunk', async () => {
	const {gateway, upstreams} = await start({kind: 'stream', isResumable: false}, [stream(6, 3), stream(6, 3)]);
	const response = await callGateway(gateway.url, streamCall);
	expect([response.complete, response.body]).to.deep.equal([false, [1, 2, 3].map(id => event(id)).join('')]);
	expect(upstreams[0]!.requests.length + upstreams[1]!.requests.length).to.equal(1);
});

it('guards against work without a caller: the connection to the upstream closes soon after the caller disconnects', async () => {
	let closedAtMs = 0;
	const {gateway} = await start({kind: 'stream', isResumable: true}, [(_, res) => {
		res.on('close', () => {
			closedAtMs = performance.now();
		});
	}]);
	const disconnectAtMs = performance.now() + 100;
	const [result] = await Promise.allSettled([callGateway(gateway.url, {...streamCall, disconnectAfterMs: 100})]);
	expect(result.status).to.equal('rejected');
	await sleep(300);
	expect(closedAtMs).to.be.within(disconnectAtMs - 50, disconnectAtMs + 250);
});

it('guards against leaked keys and forged tenants: the upstream gets the tenant that holds the key and never the key', async () => {
	const {gateway, upstreams} = await start({kind: 'once'}, [(req, res) => {
		sendSignedResponse(req, res, 200, 'ok');
	}]);
	await callGateway(gateway.url, {headers: {tenant: 'other', 'expect-instance': 'i-9', 'deadline-ms': '500'}});
	const {headers} = upstreams[0]!.requests[0]!;
	expect([headers.tenant, headers['api-key'], headers['expect-instance']]).to.deep.equal(['w1', undefined, 'i-0']);
	expect(Number(headers['deadline-ms'])).to.be.within(300, 500);
});

it('guards against wrong refusals: 503 without a configuration, 404 without a route, 401 without a known key, 431 and 413 over the limits', async () => {
	const unconfigured = await startTestGateway(undefined, []);
	open.push(unconfigured);
	const refused = await callGateway(unconfigured.url);
	expect(refused.status).to.equal(503);
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

it('guards against calls held past the timeout of the route: they end then, with 504 because they may have run', async () => {
	const {gateway} = await start({kind: 'once', timeoutMs: 200}, [() => undefined]);
	const startedMs = performance.now();
	const response = await callGateway(gateway.url);
	expect(response.status).to.equal(504);
	expect(performance.now() - startedMs).to.be.within(150, 600);
});

it('guards against calls lost to a dead upstream: after a refused connection the call goes to another one and the instance gets no more calls', async () => {
	const {gateway, upstreams} = await start({kind: 'once'}, [(req, res) => {
		sendSignedResponse(req, res, 200, 'ok');
	}, (req, res) => {
		sendSignedResponse(req, res, 200, 'ok');
	}]);
	upstreams[0]!.close();
	// Enough calls that the dead upstream is the first choice of one, whatever the random choices are.
	for (let at = 0; at < 20; at++) {
		const response = await callGateway(gateway.url);
		expect(response.status).to.equal(200);
	}

	expect(gateway.tracker.barrierAt(gateway.directory.instance('i-0')!)?.reason).to.equal('unreachable');
});

/** Tells a gateway that version 2 was named some time ago, in milliseconds. */
function nameVersion(gateway: TestGateway, ageMs: number): void {
	gateway.directory.mergeFromPeer({
		versions: [{
			model: 'm', version: 2, minAgeMs: ageMs, maxAgeMs: ageMs,
		}],
	}, performance.now());
}

it('guards against old weights at a slow engine: a stream that has not started when its version expires is aborted', async () => {
	let closedAtMs = Number.POSITIVE_INFINITY;
	const {gateway, upstreams} = await start({
		kind: 'stream', isResumable: true, aimMs: 800, timeoutMs: 3000,
	}, [req => {
		req.socket.on('close', () => {
			closedAtMs = performance.now();
		});
	}]);
	// Calls may start on version 1 for another 1000 ms.
	nameVersion(gateway, 6750);
	const calledAtMs = performance.now();
	const response = await callGateway(gateway.url, {headers: {...streamCall.headers, 'deadline-ms': '3000'}});
	expect(response.status).to.equal(502);
	expect(upstreams[0]!.requests.length).to.equal(1);
	await sleep(30);
	expect(closedAtMs - calledAtMs).to.be.lessThan(1250);
});

it('guards against old weights through a late gateway: a call whose version expires between its placement and its connection is not sent, and may be told so', async () => {
	const {gateway, upstreams} = await start({kind: 'stream', isResumable: true, aimMs: 800}, [stream(3), stream(3)]);
	// Calls may start on version 1 for another 400 ms.
	nameVersion(gateway, 7350);
	const {inFlight} = gateway.tracker;
	const add = inFlight.add.bind(inFlight);
	inFlight.add = (...params) => {
		for (const untilMs = performance.now() + 600; performance.now() < untilMs;) {
			// Blocks the event loop, as applying a large configuration does.
		}

		return add(...params);
	};

	const response = await callGateway(gateway.url, streamCall);
	expect(response.status).to.equal(503);
	expect(upstreams.map(({requests}) => requests.length)).to.deep.equal([0, 0]);
});

it('guards against old weights after a wrong belief: a waiting call is taken back at once when it turns out that its version has expired, a started one runs on', async () => {
	const arrived: string[] = [];
	let namedAtMs = Number.POSITIVE_INFINITY;
	const {gateway} = await start({kind: 'stream', isResumable: true, aimMs: 800}, [(req, res) => {
		const id = req.headers['attempt-id'] as string;
		arrived.push(id);
		if (id === 'id-started') {
			res.writeHead(200, {
				'attempt-id': id, 'response-seal': 's', 'content-type': 'text/event-stream', 'weight-versions': '1',
			});
			res.write(event(1));
			setTimeout(() => res.end(event(2)), 350);
		}

		if (arrived.length === 2) {
			setTimeout(() => {
				namedAtMs = performance.now();
				nameVersion(gateway, 8000);
			}, 100);
		}
	}]);
	nameVersion(gateway, 5000);
	const started = callGateway(gateway.url, {headers: {...streamCall.headers, 'attempt-id': 'id-started'}});
	const response = await callGateway(gateway.url, streamCall);
	expect(response.status).to.equal(502);
	expect(performance.now() - namedAtMs).to.be.within(0, 300);
	expect(await started).to.deep.include({status: 200, body: event(1) + event(2), complete: true});
});

it('guards against a false "may have run": a call that is taken back before its connection is established counts as not run', async () => {
	const closed: boolean[] = [];
	const server = net.createServer(socket => {
		socket.on('data', () => {
			closed.push(false);
		});
		socket.on('close', () => {
			closed.push(true);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	open.push(server);
	const outcome = await new Promise(resolve => {
		const exchange = new UpstreamExchange({
			host: '127.0.0.1', port: (server.address() as AddressInfo).port, method: 'POST', target: '/', headers: ['host', 'a'], body: undefined,
		}, {
			mayWrite: () => false,
			onWithheld() {
				resolve({kind: 'withheld', isWritten: exchange.isWritten});
			},
			onHeaders: () => undefined,
			onData: () => undefined,
			onEnd() {
				resolve({kind: 'end'});
			},
			onError(reason) {
				resolve({kind: 'error', reason});
			},
		}, testBoundary());
	});
	expect(outcome).to.deep.equal({kind: 'withheld', isWritten: false});
	await sleep(30);
	expect(closed).to.deep.equal([true]);
});

it('guards against a call that begins after it was given up: what its connection still held is dropped, not delivered to the upstream later', async () => {
	const sockets: net.Socket[] = [];
	const server = net.createServer({pauseOnConnect: true}, socket => {
		sockets.push(socket);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	open.push(server);
	const exchange = new UpstreamExchange({
		host: '127.0.0.1', port: (server.address() as AddressInfo).port, method: 'POST', target: '/', headers: ['host', 'a'], body: Buffer.alloc(8_000_000),
	}, {
		mayWrite: () => true, onWithheld: () => undefined, onHeaders: () => undefined, onData: () => undefined, onEnd: () => undefined, onError: () => undefined,
	}, testBoundary());
	while (!exchange.isWritten || sockets.length === 0) {
		await sleep(5);
	}

	exchange.abort();
	const wasReset = await new Promise(resolve => {
		sockets[0]!.on('error', () => {
			resolve(true);
		});
		sockets[0]!.on('end', () => {
			// Node.js may report a reset as an end; the socket has no peer then.
			resolve(sockets[0]!.remoteAddress === undefined);
		});
		sockets[0]!.resume();
	});
	expect(wasReset).to.equal(true);
});

it('guards against a started stream that is treated as a late call: it resumes at another upstream even if the first one reported no version and the target time has passed', async () => {
	const breakingHandler: UpstreamHandler = (req, res) => {
		res.writeHead(200, {'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's', 'content-type': 'text/event-stream'});
		res.write(event(1));
		setTimeout(() => res.destroy(), 60);
	};

	// Only the first instance is idle; the other one has too many calls to accept late ones.
	const {gateway, upstreams} = await start({
		kind: 'stream', isResumable: true, aimMs: 150, timeoutMs: 2000,
	}, [breakingHandler, stream(3)]);
	for (let call = 0; call < 4; call++) {
		gateway.tracker.inFlight.add('i-1', 300);
	}

	const response = await callGateway(gateway.url, {...streamCall, headers: {...streamCall.headers, 'deadline-ms': '1900'}});
	expect([response.complete, response.body]).to.deep.equal([true, [1, 2, 3].map(id => event(id)).join('')]);
	expect(upstreams.map(({requests}) => requests.length)).to.deep.equal([1, 1]);
});
