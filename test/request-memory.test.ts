/** What requests may make a listener keep: their heads, parsed bodies, places behind other requests, and responses that are not read. */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {MemoryBudget, maxSmallBytes} from '../src/limits/memory-budget.ts';
import {takeHead} from '../src/limits/take-memory.ts';
import {estimateHeadBytes} from '../src/limits/head-memory.ts';
import {IncompleteBodies} from '../src/limits/incomplete-bodies.ts';
import {estimateJsonBytes} from '../src/limits/json-memory.ts';
import {type ListenerLimits, processLimitsFor} from '../src/limits/process-limits.ts';
import {HttpListener, type HttpRoutes, sendJson} from '../src/links/http-listener.ts';
import {readBody} from '../src/links/read-body.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {
	sendSignedResponse, startTestGateway, startUpstream, testConfiguration, testInstance,
} from './support/direct-fixtures.ts';
import {waitFor} from './support/fleet.ts';
import {connectRaw} from './support/raw-client.ts';

const manyFields = Array.from({length: 1600}, (_, at) => [at.toString(36).padStart(2, '0'), 'ab']).flat();
const fewFields = ['host', 'a.example', 'attempt-id', 'id-1', 'api-key', 'k1'];

async function withListener(routes: HttpRoutes, limits: Partial<ListenerLimits>, test: (url: string) => Promise<void>): Promise<void> {
	const listener = new HttpListener(routes, createSilentLogger(), {...processLimitsFor(350, 4096).control, ...limits});
	const {host, port} = await listener.start({host: '127.0.0.1', port: 0});
	try {
		await test(`http://${host}:${port}`);
	} finally {
		listener.destroy();
	}
}

it('guards against large heads that take the room of ordinary ones: while they have used up theirs, ordinary requests get room', () => {
	const heads = new MemoryBudget({large: 1_000_000, small: 1_000_000});
	const incomplete = new IncompleteBodies();
	const large = Array.from({length: 10}, () => takeHead(heads, incomplete, estimateHeadBytes(manyFields)));
	expect(large.filter(Boolean).length).to.equal(4);
	expect(takeHead(heads, incomplete, estimateHeadBytes(fewFields))).not.to.equal(undefined);
});

it('guards against heads whose room is held by bodies that do not end: the slowest such body ends for the next request', () => {
	const heads = new MemoryBudget({large: 300_000, small: maxSmallBytes});
	const incomplete = new IncompleteBodies();
	const first = takeHead(heads, incomplete, estimateHeadBytes(manyFields))!;
	const ended: string[] = [];
	incomplete.add(reason => {
		ended.push(reason);
		first.release();
	}, performance.now() - 1000).isHeadLarge = true;
	expect(takeHead(heads, incomplete, estimateHeadBytes(manyFields))).not.to.equal(undefined);
	expect(ended).to.deep.equal(['room_needed']);
});

it('guards against a body that takes many times its size once it is parsed: it is refused for its values, or while others hold the room, and served otherwise', async () => {
	const body = JSON.stringify(Array.from({length: 5000}, () => []));
	const bytes = estimateJsonBytes(Buffer.from(body));
	let release: (() => void) | undefined;
	const routes: HttpRoutes = {
		async 'POST /held'(req, res) {
			JSON.parse(await readBody(req));
			await new Promise<void>(resolve => {
				release = resolve;
			});
			sendJson(res, 200, {});
		},
		async 'POST /parsed'(req, res) {
			sendJson(res, 200, {items: (JSON.parse(await readBody(req)) as unknown[]).length});
		},
	};
	await withListener(routes, {json: {large: 1.5 * bytes, small: maxSmallBytes}}, async url => {
		const post = async (path: string, text: string) => fetch(`${url}${path}`, {method: 'POST', body: text});
		const held = post('/held', body);
		await waitFor('the first body is held', () => release !== undefined);
		const [refused, small, never] = await Promise.all([post('/parsed', body), post('/parsed', '[1]'), post('/parsed', `[${body},${body}]`)]);
		expect([refused.status, small.status, never.status]).to.deep.equal([503, 200, 413]);
		release!();
		const first = await held;
		expect(first.status).to.equal(200);
		await waitFor('the room is free', async () => {
			const res = await post('/parsed', body);
			return res.status === 200;
		});
	});
});

it('guards against requests that wait behind others without a bound: the connection with the most of them closes, and the others get their responses', async () => {
	const routes: HttpRoutes = {
		async 'GET /slow'(_, res) {
			await sleep(300);
			sendJson(res, 200, {});
		},
	};
	await withListener(routes, {maxWaitingRequests: 6}, async url => {
		const clients = [3, 7, 2].map(requests => {
			const client = connectRaw(url);
			client.socket.write('GET /slow HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(requests));
			return client;
		});
		const served = () => clients.map(({received}) => received().split('HTTP/1.1 200').length - 1);
		await waitFor('the responses', () => served()[0] === 3 && served()[2] === 2);
		expect([served()[1], clients[1]!.isClosed()]).to.deep.equal([0, true]);
		for (const {socket} of clients) {
			socket.destroy();
		}
	});
});

it('guards against responses that are not read and take all memory: the connection that has read nothing for the longest time closes, others are served', async () => {
	const text = 'x'.repeat(8_000_000);
	const routes: HttpRoutes = {
		'GET /large'(_, res) {
			sendJson(res, 200, text);
		},
	};
	await withListener(routes, {unreadBytes: 12_000_000}, async url => {
		const clients = Array.from({length: 8}, () => {
			const client = connectRaw(url);
			client.socket.pause();
			client.socket.write('GET /large HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(3));
			return client;
		});
		await sleep(500);
		const res = await fetch(`${url}/large`);
		const received = await res.text();
		expect([res.status, received.length]).to.deep.equal([200, text.length + 2]);
		for (const {socket} of clients) {
			socket.resume();
		}

		await waitFor('connections are closed', () => clients.some(({isClosed}) => isClosed()));
		for (const {socket} of clients) {
			socket.destroy();
		}
	});
});

it('guards against responses that wait behind an earlier one and are not counted: they are, and come in the order of the calls', async () => {
	const waitingCalls = 10;
	const responseBytes = 50_000;
	let release: (() => void) | undefined;
	const upstream = await startUpstream((req, res) => {
		if (req.url === '/p/first') {
			release = () => {
				sendSignedResponse(req, res, 200, 'first.');
			};
		} else {
			sendSignedResponse(req, res, 200, 'x'.repeat(responseBytes));
		}
	});
	const gateway = await startTestGateway(testConfiguration(1, {timeoutMs: 5000}), [testInstance({id: 'i-0', address: upstream.address})]);
	const {socket, received} = connectRaw(gateway.url);
	const call = (path: string, id: number) => `POST ${path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-${id}\r\nApi-Key: k1\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n`;
	try {
		socket.write([call('/p/first', 0), ...Array.from({length: waitingCalls}, (_, at) => call('/p/x', at + 1))].join(''));
		const {buffers} = gateway.forwarder;
		await waitFor('the responses are counted', () => buffers.usedBytes >= waitingCalls * responseBytes);
		expect(received()).to.equal('');
		release!();
		await waitFor('all responses', () => received().split('x'.repeat(responseBytes)).length - 1 === waitingCalls);
		expect(received().indexOf('first.')).to.be.below(received().indexOf('xxx'));
		await waitFor('nothing is counted any more', () => buffers.usedBytes === 0);
	} finally {
		socket.destroy();
		gateway.close();
		upstream.close();
	}
});
