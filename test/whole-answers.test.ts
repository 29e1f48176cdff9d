/** How a caller knows that an answer is whole, whichever way its upstream or its gateway ends. */
import {Buffer} from 'node:buffer';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {createServiceId} from '../src/ids/service-id.ts';
import {
	callGateway, startTestGateway, startUpstream, testConfiguration, type TestGateway, testInstance, type UpstreamHandler,
} from './support/direct-fixtures.ts';

const open: Array<{close: () => void}> = [];

afterEach(() => {
	for (const item of open.splice(0)) {
		item.close();
	}
});

const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
const signedHead = 'HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nResponse-Seal: s.1\r\n';

/** What an upstream sends on one connection, and how it ends it: in order, with its process still running, or by a crash. */
type RawAnswer = {readonly parts: readonly string[]; readonly gapMs?: number; readonly ends: 'in order' | 'by a crash' | 'never'};

/** Starts an upstream that sends raw answers; after a crash it refuses connections, as the system does for a process that is gone. */
async function startRawUpstream({parts, gapMs = 10, ends}: RawAnswer): Promise<string> {
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			void send(socket);
		});
	});
	const send = async (socket: net.Socket) => {
		for (const part of parts) {
			socket.write(part);
			await sleep(gapMs);
		}

		if (ends === 'by a crash') {
			server.close();
		}

		if (ends !== 'never') {
			socket.end();
		}
	};

	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	open.push(server);
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function startGateway(kind: 'stream' | 'once', addresses: readonly string[], isResumable = false): Promise<TestGateway> {
	const service = createServiceId(kind === 'stream' ? 'models' : 'desk');
	const held = kind === 'stream'
		? [{
			model: 'm', version: 1, fromLayer: 0, toLayer: 16,
		}]
		: [];
	const gateway = await startTestGateway(testConfiguration(1, {kind, targets: [{service, weight: 1}], isResumable}), addresses.map((address, at) => testInstance({
		id: `i-${at}`, address, service, held,
	})));
	open.push(gateway);
	return gateway;
}

/** Sends a call and returns all bytes up to the end of the connection. */
async function readRaw(gateway: TestGateway, version = '1.1'): Promise<string> {
	return new Promise(resolve => {
		const parts: Buffer[] = [];
		const socket = net.connect({host: '127.0.0.1', port: Number(new URL(gateway.url).port)}, () => {
			socket.write(`POST /p/x HTTP/${version}\r\nHost: a.example\r\nAttempt-Id: id-1\r\nApi-Key: k1\r\nModel: m\r\nDeadline-Ms: 900\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
		});
		socket.on('data', part => {
			parts.push(part);
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(Buffer.concat(parts).toString('latin1'));
		});
	});
}

const unframedStream = {parts: [`${signedHead}\r\n`, event(1), event(2), event(3)]};

it('guards against a cut stream that looks complete: a stream without a length reaches its caller in chunks, whole and with the last one', async () => {
	const gateway = await startGateway('stream', [await startRawUpstream({...unframedStream, ends: 'in order'})]);
	const response = await callGateway(gateway.url, {headers: {model: 'm'}});
	expect([response.status, response.body, response.complete]).to.deep.equal([200, event(1) + event(2) + event(3), true]);
	expect(response.headers['transfer-encoding']).to.equal('chunked');
});

it('guards against a stopped gateway whose streams look complete: one without a length that the gateway cuts off has no last chunk', async () => {
	const gateway = await startGateway('stream', [await startRawUpstream({...unframedStream, ends: 'never'})]);
	const reading = readRaw(gateway);
	await sleep(200);
	gateway.close();
	const text = await reading;
	expect(text).to.match(/transfer-encoding: chunked/i).and.include('t3');
	expect(text.endsWith('0\r\n\r\n')).to.equal(false);
});

it('guards against a plain answer that is cut while it is written: one without a length gets the length that was received', async () => {
	const gateway = await startGateway('once', [await startRawUpstream({parts: [`${signedHead}\r\n`, 'one ', 'two'], ends: 'in order'})]);
	const response = await callGateway(gateway.url);
	expect([response.status, response.body, response.headers['content-length']]).to.deep.equal([200, 'one two', '7']);
});

it('guards against an answer without a length whose upstream crashed: the end of its connection is not taken for its own end', async () => {
	const plain = await startGateway('once', [await startRawUpstream({parts: [`${signedHead}\r\n`, 'one ', 'tw'], ends: 'by a crash'})]);
	const {status} = await callGateway(plain.url);
	expect(status).to.equal(502);
	const stream = await startGateway('stream', [await startRawUpstream({...unframedStream, ends: 'by a crash'})]);
	const response = await callGateway(stream.url, {headers: {model: 'm'}});
	expect([response.status, response.body, response.complete]).to.deep.equal([200, event(1) + event(2) + event(3), false]);
});

it('guards against a lost end: a resumable stream without a length whose upstream crashed between two events is resumed elsewhere', async () => {
	const rest: UpstreamHandler = (req, res) => {
		const from = Number(req.headers['last-event-id'] ?? 0) + 1;
		res.writeHead(200, {'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's.2'});
		res.end([4, 5].filter(id => id >= from).map(id => event(id)).join(''));
	};

	const other = await startUpstream(rest);
	open.push(other);
	const gateway = await startGateway('stream', [await startRawUpstream({...unframedStream, ends: 'by a crash'}), other.address], true);
	const bodies = new Set<string>();
	for (let call = 0; call < 6; call++) {
		const response = await callGateway(gateway.url, {headers: {model: 'm'}});
		bodies.add(response.body);
		expect(response.complete).to.equal(true);
	}

	expect([...bodies].toSorted()).to.deep.equal([[1, 2, 3, 4, 5], [4, 5]].map(ids => ids.map(id => event(id)).join('')));
});

for (const [kind, parts] of [['stream', unframedStream.parts], ['once', [`${signedHead}\r\n`, 'one ', 'two']]] as const) {
	it(`guards against a cut answer to an HTTP/1.0 caller that looks complete: a ${kind} answer has a length`, async () => {
		const gateway = await startGateway(kind, [await startRawUpstream({parts, ends: 'in order'})]);
		const text = await readRaw(gateway, '1.0');
		const headEnd = text.indexOf('\r\n\r\n');
		const [head, body] = [text.slice(0, headEnd), text.slice(headEnd + 4)];
		expect(head).to.match(/^HTTP\/1\.1 200 /);
		expect(/content-length: (\d+)/i.exec(head)?.[1]).to.equal(String(body.length));
		expect(body).to.equal(parts.slice(1).join(''));
	});
}

it('guards against an answer with no body that is taken for a cut one: a 204 is passed on', async () => {
	const gateway = await startGateway('once', [await startRawUpstream({parts: ['HTTP/1.1 204 No Content\r\nAttempt-Id: id-1\r\nResponse-Seal: s.1\r\n\r\n'], ends: 'in order'})]);
	const {status} = await callGateway(gateway.url);
	expect(status).to.equal(204);
});

it('guards against calls without an answer at the end of the grace period: one that may have run gets 502, a stream that has begun is cut off visibly', async () => {
	const silent = await startGateway('once', [await startRawUpstream({parts: [], ends: 'never'})]);
	const pending = callGateway(silent.url);
	const stream = await startGateway('stream', [await startRawUpstream({...unframedStream, ends: 'never'})]);
	const started = callGateway(stream.url, {headers: {model: 'm'}});
	await sleep(100);
	silent.forwarder.endOpenCalls();
	stream.forwarder.endOpenCalls();
	expect([silent.forwarder.openCalls, stream.forwarder.openCalls]).to.deep.equal([0, 0]);
	const [answer, cut] = await Promise.all([pending, started]);
	expect([answer.status, cut.status, cut.complete]).to.deep.equal([502, 200, false]);
});
