/** What one call's bytes may cost: that call, and nothing else in the process. */
import net, {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {platformCodec} from '../platform/call-headers.ts';
import {type CallBoundary} from '../src/forwarding/call-boundary.ts';
import {UpstreamExchange} from '../src/forwarding/upstream-exchange.ts';
import {createServiceId} from '../src/ids/service-id.ts';
import type {WireCodec} from '../src/forwarding/wire-codec.ts';
import {
	callGateway, sendSignedResponse, startTestGateway, startUpstream, testBoundary, testConfiguration, type TestGateway, testInstance, type TestResponse,
} from './support/direct-fixtures.ts';

const open: Array<{close: () => void}> = [];

afterEach(() => {
	for (const item of open.splice(0)) {
		item.close();
	}
});

/** Starts an upstream that answers each request with the bytes that the function returns, and closes the connection. */
async function startRawUpstream(nextAnswer: () => string): Promise<string> {
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.end(nextAnswer(), 'latin1');
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	open.push(server);
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Calls the gateway; undefined if the connection ends without a response. */
async function tryCall(gateway: TestGateway): Promise<TestResponse | undefined> {
	try {
		return await callGateway(gateway.url, {headers: {'deadline-ms': '300'}});
	} catch {
		return undefined;
	}
}

const soundAnswer = 'HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nResponse-Seal: s.1\r\nInstance-Load: 1,0,6\r\nContent-Length: 2\r\n\r\nok';

/** Characters that stand for each class that a parser tells apart. */
const wrongCharacters = ['\u0000', '\t', '\n', '\r', ' ', '"', '0', '9', ':', 'x', '\u007F', '\u0080', '\u00FF'];

it('guards against an answer that ends the process: with any one byte of its head wrong, the caller gets the answer, an error that is true, or nothing', async () => {
	const head = soundAnswer.slice(0, soundAnswer.indexOf('\r\n\r\n'));
	const answers = [...head].flatMap((_, at) => wrongCharacters.map(character => `${soundAnswer.slice(0, at)}${character}${soundAnswer.slice(at + 1)}`));
	let next = 0;
	const address = await startRawUpstream(() => answers[next++]!);
	const gateway = await startTestGateway(testConfiguration(1), [testInstance({id: 'i-0', address})]);
	open.push(gateway);
	const statuses = new Map<number, number>();
	for (const answer of answers) {
		const response = await tryCall(gateway);
		statuses.set(response?.status ?? 0, (statuses.get(response?.status ?? 0) ?? 0) + 1);
		// A success without the upstream's signature, or with an unknown status, must not reach the caller.
		expect(response === undefined || (response.status >= 200 && response.status < 600), JSON.stringify(answer)).to.equal(true);
	}

	expect(gateway.faults.count).to.equal(0);
	expect(statuses.get(200)).to.be.greaterThan(0);
	expect(statuses.get(502)).to.be.greaterThan(0);
});

it('guards against a request that ends the process: with any one byte of its head wrong it costs its own connection, and the next call is served', async () => {
	const upstream = await startUpstream((req, res) => {
		sendSignedResponse(req, res, 200, 'ok');
	});
	const gateway = await startTestGateway(testConfiguration(1), [testInstance({id: 'i-0', address: upstream.address})]);
	open.push(upstream, gateway);
	const request = 'POST /p/a?b=%20 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-1\r\nApi-Key: k1\r\nDeadline-Ms: 300\r\nContent-Length: 1\r\nConnection: close\r\n\r\nb';
	const requests = [...request].flatMap((_, at) => wrongCharacters.map(character => `${request.slice(0, at)}${character}${request.slice(at + 1)}`));
	const port = Number(new URL(gateway.url).port);
	for (let from = 0; from < requests.length; from += 50) {
		await Promise.all(requests.slice(from, from + 50).map(async text => new Promise<void>(resolve => {
			const socket = net.connect({host: '127.0.0.1', port}, () => {
				socket.end(text, 'latin1');
			});
			socket.resume().on('error', () => undefined).on('close', () => {
				resolve();
			});
		})));
	}

	expect(gateway.faults.count).to.equal(0);
	const response = await callGateway(gateway.url);
	expect([response.status, response.body]).to.deep.equal([200, 'ok']);
});

it('guards against a target that cannot be sent on: it is rejected with 400 and reaches no upstream', async () => {
	const upstream = await startUpstream((req, res) => {
		sendSignedResponse(req, res, 200, 'ok');
	});
	const gateway = await startTestGateway(testConfiguration(1), [testInstance({id: 'i-0', address: upstream.address})]);
	open.push(upstream, gateway);
	const answer = await new Promise<string>(resolve => {
		let text = '';
		const socket = net.connect({host: '127.0.0.1', port: Number(new URL(gateway.url).port)}, () => {
			socket.write('POST /p/a\tb HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-1\r\nApi-Key: k1\r\nContent-Length: 0\r\n\r\n');
		});
		socket.on('data', data => {
			text += data.toString('latin1');
		});
		socket.on('close', () => {
			resolve(text);
		});
	});
	expect(answer).to.match(/^HTTP\/1\.1 400 /);
	expect(upstream.requests).to.have.lengthOf(0);
});

/** A codec whose function throws for every call of which the caller asks for it. */
function faultyCodec(name: 'readResponseHeaders' | 'writeCallHeaders' | 'readCallHeaders'): WireCodec {
	const original = platformCodec[name] as (...args: readonly unknown[]) => unknown;
	return {
		...platformCodec,
		[name](...args: readonly unknown[]) {
			if (JSON.stringify(args).includes('faulty')) {
				throw new Error('a mistake in the code');
			}

			return original(...args);
		},
	};
}

async function callWithFault(gateway: TestGateway): Promise<readonly [TestResponse, TestResponse]> {
	const sound = callGateway(gateway.url, {headers: {'attempt-id': 'id-2'}});
	await sleep(20);
	const faulty = await callGateway(gateway.url, {headers: {'attempt-id': 'faulty'}});
	return [faulty, await sound];
}

for (const [name, {status, runs}] of Object.entries({
	readCallHeaders: {status: 503, runs: 0}, writeCallHeaders: {status: 503, runs: 0}, readResponseHeaders: {status: 502, runs: 1},
})) {
	it(`guards against a mistake in the code that ends all calls: an exception in ${name} ends its own call, with ${status}, and a call under way is served`, async () => {
		const upstream = await startUpstream((req, res) => {
			setTimeout(() => {
				sendSignedResponse(req, res, 200, 'ok');
			}, 100);
		});
		const gateway = await startTestGateway(testConfiguration(1), [testInstance({id: 'i-0', address: upstream.address})], {codec: faultyCodec(name as 'readCallHeaders')});
		open.push(upstream, gateway);
		const [faulty, sound] = await callWithFault(gateway);
		expect([faulty.status, sound.status, gateway.faults.count]).to.deep.equal([status, 200, 1]);
		expect(upstream.requests.filter(req => req.headers['attempt-id'] === 'faulty')).to.have.lengthOf(runs);
		expect(gateway.tracker.inFlight.countsAt('i-0').calls).to.equal(0);
	});
}

it('guards against an exception in a listener of an exchange: it stays inside the boundary of its call', async () => {
	const address = await startRawUpstream(() => soundAnswer);
	const {host, port} = {host: '127.0.0.1', port: Number(address.split(':')[1])};
	for (const callback of ['mayWrite', 'onHeaders', 'onData', 'onEnd'] as const) {
		const boundary: CallBoundary = testBoundary({expectsFault: true});
		const ended = new Promise<void>(resolve => {
			boundary.endCall = resolve;
		});
		const exchange = new UpstreamExchange({
			host, port, method: 'POST', target: '/', headers: ['host', 'a'], body: undefined,
		}, {
			mayWrite: () => true, onWithheld: () => undefined, onHeaders: () => undefined, onData: () => undefined, onEnd: () => undefined, onError: () => undefined,
			[callback]() {
				throw new Error('a mistake in the code');
			},
		}, boundary);
		await ended;
		exchange.abort();
	}
});

for (const [name, ids, isResumable] of [['goes back', [1, 2, 92, 13, 14], true], ['is no number', [1, 2, 'x\u00013'], true], ['repeats', [1, 2, 2], false]] as const) {
	it(`guards against an answer that loses events and looks complete: one whose event ID ${name} is cut off, and not resumed after it`, async () => {
		const service = createServiceId('models');
		const upstreams = await Promise.all([1, 2].map(async () => startUpstream((req, res) => {
			res.writeHead(200, {'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's.1'});
			for (const id of ids) {
				res.write(`id: ${id}\ndata: t\n\n`);
			}

			res.end();
		})));
		const held = [{
			model: 'm', version: 1, fromLayer: 0, toLayer: 16,
		}];
		const gateway = await startTestGateway(testConfiguration(1, {kind: 'stream', isResumable, targets: [{service, weight: 1}]}), upstreams.map(({address}, at) => testInstance({
			id: `i-${at}`, address, service, held,
		})));
		open.push(...upstreams, gateway);
		const response = await callGateway(gateway.url, {headers: {model: 'm'}});
		expect([response.status, response.complete, gateway.faults.count]).to.deep.equal([200, false, 0]);
		expect(upstreams.flatMap(({requests}) => requests)).to.have.lengthOf(1);
	});
}

it('guards against fields of a head that are dropped silently: a call with more than 2,000 of them within the published size is passed on whole', async () => {
	let received = '';
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', part => {
			received += part.toString('latin1');
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const configuration = testConfiguration(1);
	const gateway = await startTestGateway({...configuration, limits: {...configuration.limits, headerBytes: 16_384}}, [
		testInstance({id: 'i-0', address: `127.0.0.1:${(server.address() as AddressInfo).port}`}),
	]);
	const socket = net.connect({host: '127.0.0.1', port: Number(new URL(gateway.url).port)});
	try {
		const fields = 'a:\r\n'.repeat(2500);
		socket.write(`POST /p/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-1\r\nApi-Key: k1\r\n${fields}Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n`);
		while (!received.includes('\r\n\r\n')) {
			await sleep(10);
		}

		expect(received.match(/^a:/gm)).to.have.lengthOf(2500);
	} finally {
		socket.destroy();
		server.close();
		gateway.close();
	}
});
