/** Responses that no server may send: an invalid status, a 1xx that never ends, an upgrade. No caller gets them, and no client takes them for an answer. */
import {expect} from 'chai';
import type {Route} from '../src/directory/directory-types.ts';
import {createServiceId} from '../src/ids/service-id.ts';
import {PeerClient} from '../src/links/peer-client.ts';
import {
	callGateway, sendSignedResponse, startTestGateway, startUpstream, testConfiguration, testInstance,
} from './support/direct-fixtures.ts';
import {
	forgedBody, invalidResponses, signature,
} from './support/invalid-response-bytes.ts';
import {outgoingRequests} from './support/outgoing-requests.ts';
import {type RawServer, startRawServer} from './support/raw-server.ts';

/** The deadline of a call, and by when it has to have ended, in milliseconds. */
const deadlineMs = 500;
const callBoundMs = 1500;

/** By when a request without a caller has to have failed, in milliseconds. */
const requestBoundMs = 3500;

const headers = {'deadline-ms': String(deadlineMs), model: 'm', 'token-usage': '100,50'};

const closing: Array<{close: () => void}> = [];

afterEach(() => {
	for (const item of closing.splice(0)) {
		item.close();
	}
});

async function waitUntilClosed({open}: RawServer): Promise<void> {
	for (let round = 0; round < 200 && open() > 0; round++) {
		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}

	expect(open(), 'open connections').to.equal(0);
}

async function startGateway(route: Partial<Route>, addresses: readonly string[]) {
	const service = createServiceId(route.kind === 'stream' ? 'models' : 'desk');
	const held = [{
		model: 'm', version: 1, fromLayer: 0, toLayer: 16,
	}];
	const gateway = await startTestGateway(testConfiguration(1, {timeoutMs: deadlineMs, targets: [{service, weight: 1}], ...route}), addresses.map((address, at) => testInstance({
		id: `i-${at}`, address, service, slots: 1000, ...(route.kind === 'stream' ? {held} : {}),
	})));
	closing.push(gateway);
	return gateway;
}

const kinds: Readonly<Record<string, Partial<Route>>> = {
	'once call': {kind: 'once'},
	'repeatable call': {kind: 'idempotent'},
	stream: {kind: 'stream'},
	'resumable stream': {kind: 'stream', isResumable: true},
};

it('guards against a call that waits for its deadline although its instance has switched to another protocol', async () => {
	for (const [name, send] of Object.entries(invalidResponses).filter(([name]) => name.includes('101'))) {
		const server = await startRawServer(socket => {
			send(socket, signature);
		});
		closing.push(server);
		const gateway = await startGateway({kind: 'once', timeoutMs: 4000}, [server.address]);
		const startMs = performance.now();
		const response = await callGateway(gateway.url, {headers: {'deadline-ms': '4000'}});
		expect(performance.now() - startMs, name).to.be.lessThan(callBoundMs);
		expect(response.status, name).to.equal(502);
		await waitUntilClosed(server);
	}
});

for (const [name, send] of Object.entries(invalidResponses)) {
	for (const [kind, route] of Object.entries(kinds)) {
		it(`guards against ${name} that reaches the caller as a response, or a call that it keeps: ${kind}, with and without a signature`, async () => {
			for (const signed of [signature, '']) {
				const server = await startRawServer(socket => {
					send(socket, signed);
				});
				closing.push(server);
				const gateway = await startGateway(route, [server.address]);
				const startMs = performance.now();
				const response = await callGateway(gateway.url, {headers});
				expect(performance.now() - startMs).to.be.lessThan(callBoundMs);
				expect(response.status).to.be.oneOf([502, 504]);
				expect(response.body).not.to.include(forgedBody);
				expect(response.headers['response-seal']).to.equal(undefined);
				expect(gateway.faults.count).to.equal(0);
				if (kind === 'once call') {
					expect(server.asked()).to.equal(1);
				}

				await waitUntilClosed(server);
				expect(gateway.tracker.inFlight.countsAt('i-0').calls).to.equal(0);
			}
		});
	}

	it(`guards against a repeatable call that ${name} of one instance loses: another instance answers it`, async () => {
		const server = await startRawServer(socket => {
			send(socket, signature);
		});
		const healthy = await startUpstream((req, res) => {
			sendSignedResponse(req, res, 200, 'ok');
		});
		closing.push(server, healthy);
		const gateway = await startGateway({kind: 'idempotent', timeoutMs: 3000, aimMs: 200}, [server.address, healthy.address]);
		for (let at = 0; at < 6; at++) {
			const response = await callGateway(gateway.url, {headers: {'deadline-ms': '2500'}});
			expect([response.status, response.body]).to.deep.equal([200, 'ok']);
		}
	});

	it(`guards against ${name} in the middle of a stream: after an instance that breaks off, the caller gets its events and no more`, async () => {
		for (const signed of [signature, '']) {
			const events = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
			let answered = 0;
			const servers = await Promise.all([0, 1].map(async () => startRawServer(socket => {
				if (answered++ > 0) {
					send(socket, `${signed}Content-Type: text/event-stream\r\n`);
					return;
				}

				socket.write(`HTTP/1.1 200 OK\r\n${signature}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${events.length.toString(16)}\r\n${events}\r\n`);
				setTimeout(() => {
					socket.destroy();
				}, 30);
			})));
			closing.push(...servers);
			const gateway = await startGateway({kind: 'stream', isResumable: true}, servers.map(({address}) => address));
			const startMs = performance.now();
			const response = await callGateway(gateway.url, {headers});
			expect(performance.now() - startMs).to.be.lessThan(callBoundMs);
			expect([response.status, response.complete, response.body, gateway.faults.count]).to.deep.equal([200, false, events, 0]);
			expect(answered).to.be.at.least(2);
			for (const server of servers) {
				await waitUntilClosed(server);
			}
		}
	});

	it(`guards against ${name} that a peer, the store, the origin or an engine sends and that counts as an answer`, async () => {
		const peerRequests = {
			rpc: async (links: PeerClient, address: string) => links.rpc(address, {method: 'm', params: {}}, {parse: (value: unknown) => value} as never, {timeoutMs: deadlineMs}),
			json: async (links: PeerClient, address: string) => links.json(`http://${address}/j`, {method: 'GET'}, {timeoutMs: deadlineMs}),
		};
		for (const [what, request] of Object.entries({...outgoingRequests, ...peerRequests})) {
			const server = await startRawServer(socket => {
				send(socket, '');
			});
			closing.push(server);
			const links = new PeerClient();
			const startMs = performance.now();
			const [result] = await Promise.allSettled([request(links, server.address)]);
			expect(result.status, what).to.equal('rejected');
			expect(performance.now() - startMs, what).to.be.lessThan(requestBoundMs);
			await links.close();
			await waitUntilClosed(server);
		}
	}).timeout(60_000);
}
