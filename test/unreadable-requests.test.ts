/** Requests that cannot be parsed, on a connection on which an earlier request has no response so far. */
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {HttpListener, sendJson} from '../src/links/http-listener.ts';
import {readBody} from '../src/links/read-body.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {isCallServed, startBodyService} from './support/body-service.ts';
import {waitFor} from './support/fleet.ts';
import {Processes} from './support/processes.ts';
import {connectRaw} from './support/raw-client.ts';

const processes = new Processes();

after(() => {
	processes.stop();
});

/** What a client sends after a whole request. */
const unreadable: ReadonlyArray<readonly [string, string]> = [
	['a head that stalls', 'POST /p/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a2\r\n'],
	['bytes that are no request', 'no request\r\n\r\n'],
	['a head that is too large', `POST /p/x HTTP/1.1\r\nHost: a.example\r\nPadding: ${'x'.repeat(70_000)}`],
	['a chunk without a size', 'POST /p/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a2\r\nApi-Key: k1\r\nDeadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n'],
];

/** Sends a request and, a little later, further bytes; returns all that is received until the connection closes. */
async function receiveAll(url: string, request: string, more: string): Promise<string> {
	const {socket, received, isClosed} = connectRaw(url);
	socket.write(request);
	await sleep(200);
	socket.write(more);
	await waitFor('the connection closes', isClosed);
	return received();
}

it('guards against the refusal of a call that runs: after a call of which the response comes later, its gateway gets bytes that it cannot parse', async () => {
	const store = await startBodyService(processes);
	const {url} = await processes.startGateway(store);
	await waitFor('a call is served', async () => isCallServed(url));
	const call = 'POST /p/slow HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\nApi-Key: k1\r\nDeadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbook';
	const all = await Promise.all(unreadable.map(async ([what, more]) => [what, await receiveAll(url, call, more)] as const));
	store.close();
	for (const [what, received] of all) {
		expect(received.startsWith('HTTP/1.1 200 '), `${what}: ${received}`).to.equal(true);
		expect(received.split('HTTP/1.1 ').length - 1, `${what}: ${received}`).to.equal(1);
		expect(received.endsWith('\r\n\r\n4'), `${what}: ${received}`).to.equal(true);
	}
});

for (const [what, more] of unreadable.slice(1)) {
	it(`guards against the refusal of a request that is handled: after it, its listener gets ${what}`, async () => {
		const listener = new HttpListener({
			async 'GET /slow'(_, res) {
				await sleep(600);
				sendJson(res, 200, {});
			},
			async 'POST /p/*'(req, res) {
				await readBody(req);
				sendJson(res, 200, {});
			},
		}, createSilentLogger());
		const {host, port} = await listener.start({host: '127.0.0.1', port: 0});
		const received = await receiveAll(`http://${host}:${port}`, 'GET /slow HTTP/1.1\r\nHost: a.example\r\n\r\n', more);
		listener.destroy();
		expect(received.startsWith('HTTP/1.1 200 '), received).to.equal(true);
		expect(received.split('HTTP/1.1 ').length - 1, received).to.equal(1);
	});
}

it('guards against a request without a response: the first one on a connection that cannot be parsed is refused', async () => {
	const listener = new HttpListener({}, createSilentLogger());
	const {host, port} = await listener.start({host: '127.0.0.1', port: 0});
	const received = await receiveAll(`http://${host}:${port}`, '', 'no request\r\n\r\n');
	listener.destroy();
	expect(received.startsWith('HTTP/1.1 400 '), received).to.equal(true);
});
