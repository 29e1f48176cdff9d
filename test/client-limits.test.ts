/** The decisions about clients that send or read slowly, and requests that stay within the limits. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import fc from 'fast-check';
import {EventSplitter} from '../src/forwarding/event-splitter.ts';
import {ResponseBuffers} from '../src/limits/response-buffers.ts';
import {ResponseWriter} from '../src/forwarding/response-writer.ts';
import {BodiesInFlight} from '../src/limits/bodies-in-flight.ts';
import {messageBodyRoom} from '../src/limits/body-room.ts';
import {IncompleteBodies, progressCheckMs} from '../src/limits/incomplete-bodies.ts';
import {processLimitsFor} from '../src/limits/process-limits.ts';
import {ByteCollector} from '../src/links/byte-collector.ts';
import {HttpListener, sendJson} from '../src/links/http-listener.ts';
import {maxBodyBytes, readBody} from '../src/links/read-body.ts';
import type {InstanceQuery} from '../src/placement/instance-query.ts';
import {InstanceSelector} from '../src/placement/instance-selector.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {
	callGateway, sendSignedResponse, startTestGateway, startUpstream, testConfiguration, testInstance,
} from './support/direct-fixtures.ts';
import {waitFor} from './support/fleet.ts';

it('guards against bytes that are lost or mixed up when chunks are copied into blocks', () => {
	fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 3000})), parts => {
		const collector = new ByteCollector();
		for (const part of parts) {
			collector.push(part);
		}

		const whole = Buffer.concat(parts);
		expect(collector.length).to.equal(whole.length);
		expect(collector.take().equals(whole)).to.equal(true);
		expect(collector.length).to.equal(0);
	}));
});

it('guards against events that are overwritten by later ones, or not found, when a stream comes byte by byte', () => {
	const splitter = new EventSplitter();
	const text = 'id: 1\ndata: a\n\n\r\nid: 2\n\r\ndata: b\n\nrest';
	const events = [...Buffer.from(text)].flatMap(byte => splitter.push(Buffer.from([byte])));
	const whole = new EventSplitter().push(Buffer.from(text));
	expect(events.map(({bytes, id}) => [bytes.toString(), id])).to.deep.equal(whole.map(({bytes, id}) => [bytes.toString(), id]));
	expect(splitter.pendingBytes).to.equal(4);
});

it('guards against bodies that stop short of their end: they end after the idle time, when they are too slow, or for others, the slowest first', () => {
	const bodies = new IncompleteBodies({idleMs: 3000, minBytesPerSecond: 100, graceMs: 5000});
	const ended: string[] = [];
	const add = (name: string) => bodies.add(reason => {
		ended.push(`${name} ${reason}`);
	}, 0);
	const [stopped, trickling, slow, fast] = [add('stopped'), add('trickling'), add('slow'), add('fast')];
	stopped.record(5000, 0);
	for (let nowMs = progressCheckMs; nowMs <= 7000; nowMs += progressCheckMs) {
		trickling.record(1, nowMs);
		slow.record(200, nowMs);
		fast.record(50_000, nowMs);
		bodies.check(nowMs);
	}

	expect(ended).to.deep.equal(['stopped body_stalled', 'trickling body_too_slow']);
	expect([bodies.endSlowest(7000), bodies.endSlowest(7000), bodies.count]).to.deep.equal([true, false, 1]);
	expect(ended.at(-1)).to.equal('slow room_needed');
	const early = add('early');
	early.record(1, 0);
	expect(bodies.endSlowest(progressCheckMs)).to.equal(false);
});

it('guards against a large response that is dropped for a caller that reads nothing: the one that has waited for the longest time goes first', () => {
	const buffers = new ResponseBuffers(100);
	const discarded: string[] = [];
	const owner = (name: string, waitingSinceMs?: number) => ({
		waitingSinceMs, discardResponse() {
			discarded.push(name);
		},
	});
	const nowMs = performance.now();
	const large = owner('large');
	const shortWait = owner('short wait', nowMs - 1000);
	const longWait = owner('long wait', nowMs - 2000);
	const reading = owner('reading', nowMs);
	buffers.add(large, 60);
	buffers.add(shortWait, 10);
	buffers.add(longWait, 10);
	buffers.add(reading, 20);
	buffers.add(large, 15);
	expect([discarded, buffers.usedBytes, buffers.slowReaderCount]).to.deep.equal([['long wait', 'short wait'], 95, 2]);
	buffers.subtract(reading, 10);
	buffers.add(large, 20);
	expect([discarded.at(-1), buffers.usedBytes, buffers.slowReaderCount]).to.deep.equal(['large', 10, 2]);
});

it('guards against responses to callers without chunks that take memory which is not counted', () => {
	const req = new http.IncomingMessage(new net.Socket());
	req.httpVersionMajor = 1;
	req.httpVersionMinor = 0;
	const buffers = new ResponseBuffers();
	const writer = new ResponseWriter(new http.ServerResponse(req), {onDisconnect: () => undefined}, buffers);
	writer.start(200, []);
	writer.write(Buffer.alloc(300_000));
	writer.write(Buffer.alloc(300_000));
	expect(buffers.usedBytes).to.equal(600_000);
	writer.end();
	expect(buffers.usedBytes).to.equal(600_000);
	writer.discardResponse();
	expect(buffers.usedBytes).to.equal(0);
});

it('guards against callers that read nothing and keep all connections: a further caller is served', async () => {
	const upstream = await startUpstream((req, res, body) => {
		sendSignedResponse(req, res, 200, 'x'.repeat(body.length > 0 ? 4_000_000 : 1));
	});
	const gateway = await startTestGateway(testConfiguration(1), [testInstance({id: 'i-0', address: upstream.address})], {
		connections: {
			maxConnections: 2, headBytes: 1_000_000, fieldBytes: 1_000_000, maxWaitingRequests: 10,
		},
	});
	const connect = () => net.connect({host: '127.0.0.1', port: Number(new URL(gateway.url).port)});
	const head = 'POST /p/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-1\r\nApi-Key: k1\r\nDeadline-Ms: 5000\r\n';
	const silent = [connect(), connect()];
	try {
		for (const socket of silent) {
			socket.on('error', () => undefined);
			socket.pause();
			socket.write(`${head}Content-Length: 1\r\n\r\nx`);
		}

		await waitFor('both responses wait', () => gateway.forwarder.buffers.usedBytes === 8_000_000);
		await sleep(200);
		const further = connect();
		let received = '';
		further.on('error', () => undefined);
		further.on('data', part => {
			received += part.toString('latin1');
		});
		further.write(`${head}Content-Length: 0\r\n\r\n`);
		await waitFor('the further caller is served', () => received.startsWith('HTTP/1.1 200 '));
		further.destroy();
		expect(gateway.forwarder.buffers.slowReaderCount).to.equal(1);
	} finally {
		for (const socket of silent) {
			socket.destroy();
		}

		gateway.close();
		upstream.close();
	}
});

it('guards against a body for a listener with limits that is refused although a slow one was ended for it', async () => {
	const listener = new HttpListener({
		async 'POST /length'(req, res) {
			const body = await readBody(req);
			sendJson(res, 200, {length: body.length});
		},
	}, createSilentLogger(), {
		maxConnections: 10, headBytes: 1_000_000, fieldBytes: 1_000_000, maxWaitingRequests: 10, heads: messageBodyRoom, json: messageBodyRoom, unreadBytes: 1_000_000, bodies: messageBodyRoom,
	});
	const {host, port} = await listener.start({host: '127.0.0.1', port: 0});
	const stalled = [1, 2].map(() => net.connect({host, port}).on('error', () => undefined));
	try {
		for (const socket of stalled) {
			socket.write(`POST /length HTTP/1.1\r\nHost: a\r\nContent-Length: ${maxBodyBytes}\r\n\r\n`);
			socket.write(Buffer.alloc(maxBodyBytes - 1));
		}

		await sleep(3 * progressCheckMs);
		const res = await fetch(`http://${host}:${port}/length`, {method: 'POST', body: 'x'.repeat(1_000_000)});
		expect([res.status, await res.json()]).to.deep.equal([200, {length: 1_000_000}]);
	} finally {
		for (const socket of stalled) {
			socket.destroy();
		}

		listener.destroy();
	}
});

it('guards against shares that exceed the descriptors of a process, or that are zero', () => {
	for (const [memoryMb, descriptors] of [[250, 4100], [602, 10_250], [1, 1], [350, 700]] as const) {
		const {callers, control, readiness, openCalls} = processLimitsFor(memoryMb, descriptors);
		const sum = callers.maxConnections + control.maxConnections + readiness.maxConnections + openCalls;
		expect(sum).to.be.at.most(Math.max(200, descriptors - 200));
		expect(Math.min(callers.maxConnections, control.maxConnections, readiness.maxConnections, openCalls)).to.be.at.least(1);
	}
});

it('guards against requests in chunks of one byte that are refused or get stuck while nothing else happens: two on one connection are served', async () => {
	const upstream = await startUpstream((req, res, body) => {
		sendSignedResponse(req, res, 200, `length ${body.length}.`);
	});
	const gateway = await startTestGateway(testConfiguration(1), [testInstance({id: 'i-0', address: upstream.address})]);
	const socket = net.connect({host: '127.0.0.1', port: Number(new URL(gateway.url).port)});
	try {
		let received = '';
		socket.on('data', part => {
			received += part.toString('latin1');
		});
		const request = `POST /p/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-1\r\nApi-Key: k1\r\nDeadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(9000)}0\r\n\r\n`;
		const responses = () => received.split('length 9000.').length - 1;
		socket.write(request);
		await waitFor('the first response', () => responses() === 1);
		socket.write(request);
		await waitFor('the second response', () => responses() === 2);
	} finally {
		socket.destroy();
		gateway.close();
		upstream.close();
	}
});

it('guards against an instance that crashes under the bodies of one gateway: further ones go elsewhere until one has ended', () => {
	const bodies = new BodiesInFlight(10);
	const megabyte = 1_000_000;
	expect(bodies.findFull(20 * megabyte)).to.deep.equal([]);
	const remove = bodies.add('i-1', 6 * megabyte);
	bodies.add('i-2', megabyte);
	expect([bodies.findFull(5 * megabyte), bodies.findFull(0), bodies.largestBytes]).to.deep.equal([['i-1'], [], 6 * megabyte]);
	remove();
	remove();
	expect([bodies.findFull(5 * megabyte), bodies.largestBytes, bodies.passedOverCount]).to.deep.equal([[], megabyte, 1]);
});

it('guards against new calls that count as repeated ones, so that they give way to none, while an instance has too many bytes of bodies', async () => {
	const upstream = await startUpstream((req, res) => {
		sendSignedResponse(req, res, 200, 'ok');
	});
	const gateway = await startTestGateway(testConfiguration(1), [testInstance({id: 'i-0', address: upstream.address}), testInstance({id: 'i-1', address: upstream.address})]);
	const queries: InstanceQuery[] = [];
	const {select} = InstanceSelector.prototype;
	InstanceSelector.prototype.select = async function (query) {
		queries.push(query);
		return select.call(this, query);
	};

	try {
		gateway.forwarder.bodiesInFlight.add('i-1', 1_000_000_000);
		expect(await callGateway(gateway.url)).to.include({status: 200});
		expect(queries.map(({tried, full}) => [[...tried], [...full ?? []]])).to.deep.equal([[[], ['i-1']]]);
	} finally {
		InstanceSelector.prototype.select = select;
		gateway.close();
		upstream.close();
	}
});

for (const encoding of ['identity, chunked', 'gzip, chunked', 'identity\r\nTransfer-Encoding: chunked']) {
	it(`guards against a request that hides behind a transfer coding which is not understood (${JSON.stringify(encoding)}): neither it nor the one before reaches an instance`, async () => {
		const upstream = await startUpstream((req, res) => {
			sendSignedResponse(req, res, 200, 'ok');
		});
		const gateway = await startTestGateway(testConfiguration(1), [testInstance({id: 'i-0', address: upstream.address})]);
		const socket = net.connect({host: '127.0.0.1', port: Number(new URL(gateway.url).port)});
		try {
			let received = '';
			let isClosed = false;
			socket.on('data', part => {
				received += part.toString('latin1');
			});
			socket.on('close', () => {
				isClosed = true;
			});
			const head = 'POST /p/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-1\r\nApi-Key: k1\r\nDeadline-Ms: 900\r\n';
			socket.write(`${head}Transfer-Encoding: ${encoding}\r\n\r\n0\r\n\r\n${head}Content-Length: 0\r\n\r\n`);
			await waitFor('the connection is closed', () => isClosed);
			expect(received).to.match(/^HTTP\/1\.1 400 /);
			expect(received.split('HTTP/1.1 ')).to.have.lengthOf(2);
			expect(upstream.requests).to.have.lengthOf(0);
		} finally {
			socket.destroy();
			gateway.close();
			upstream.close();
		}
	});
}
