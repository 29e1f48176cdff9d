/** Servers in trouble that send bytes without end, in a head or in a body: the connection is closed, the memory stays flat, and the outcome stays true. */
import process from 'node:process';
import v8 from 'node:v8';
import vm from 'node:vm';
import {expect} from 'chai';
import type {Route} from '../src/directory/directory-types.ts';
import {PeerClient} from '../src/links/peer-client.ts';
import {
	callGateway, startTestGateway, startUpstream, sendSignedResponse, testConfiguration, testInstance,
} from './support/direct-fixtures.ts';
import {type EndlessAnswer, endlessAnswers, startEndlessServer} from './support/endless-server.ts';
import {outgoingRequests} from './support/outgoing-requests.ts';

/** Twice what the gateway may keep of all answers together. */
const maxGrowthBytes = 2 * 32 * 1024 * 1024;

const bytesPerMegabyte = 1_000_000;

v8.setFlagsFromString('--expose-gc');
const collectGarbage = vm.runInNewContext('gc') as () => void;

/** Returns the memory in use outside the heap, in bytes. */
function readRetainedBytes(): number {
	collectGarbage();
	return process.memoryUsage().arrayBuffers;
}

/** Runs an action and returns by how much the memory outside the heap grew at its peak, in bytes. */
async function measureGrowth(action: () => Promise<void>): Promise<number> {
	const before = readRetainedBytes();
	let peak = before;
	const timer = setInterval(() => {
		peak = Math.max(peak, readRetainedBytes());
	}, 20);
	try {
		await action();
	} finally {
		clearInterval(timer);
	}

	return peak - before;
}

async function waitUntil(condition: () => boolean): Promise<void> {
	for (let round = 0; round < 200 && !condition(); round++) {
		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}

	expect(condition()).to.equal(true);
}

async function waitUntilClosed(open: () => number): Promise<void> {
	await waitUntil(() => open() === 0);
}

async function startEndlessGateway(kind: EndlessAnswer, route: Partial<Route>, pauseMs = 0) {
	const server = await startEndlessServer(kind, pauseMs);
	const gateway = await startTestGateway(testConfiguration(1, route), [testInstance({id: 'i-0', address: server.address, slots: 1000})]);
	return {
		server, gateway, close() {
			gateway.close();
			server.close();
		},
	};
}

const plainAnswers = endlessAnswers.filter(kind => kind !== 'events' && kind !== 'one event');

for (const kind of plainAnswers) {
	it(`guards against a call that keeps an endless answer (${kind}): it ends by its timeout as possibly run, is not sent twice, and the connection closes`, async () => {
		const {server, gateway, close} = await startEndlessGateway(kind, {kind: 'once', timeoutMs: 700});
		try {
			const startMs = performance.now();
			const response = await callGateway(gateway.url);
			expect(performance.now() - startMs).to.be.lessThan(1200);
			expect(response.status).to.be.oneOf([502, 504]);
			expect(server.accepted()).to.equal(1);
			await waitUntilClosed(server.open);
		} finally {
			close();
		}
	});
}

for (const kind of ['one event', 'events', 'chunk extension', 'trailers', 'informational heads'] as const) {
	it(`guards against a stream that keeps an endless answer (${kind}): the answer does not look complete and the connection closes`, async () => {
		const {server, gateway, close} = await startEndlessGateway(kind, {kind: 'stream', timeoutMs: 700, isPublic: true});
		try {
			const startMs = performance.now();
			const response = await callGateway(gateway.url);
			expect(performance.now() - startMs).to.be.lessThan(1500);
			expect(response.status === 200 && response.complete).to.equal(false);
			await waitUntilClosed(server.open);
		} finally {
			close();
		}
	});
}

it('guards against interim heads without end that keep a gateway busy: the call ends long before its timeout, as possibly run', async () => {
	const {gateway, server, close} = await startEndlessGateway('informational heads', {kind: 'once', timeoutMs: 20_000});
	try {
		const {status} = await callGateway(gateway.url, {headers: {'deadline-ms': '20000'}});
		expect(status).to.equal(502);
		await waitUntilClosed(server.open);
	} finally {
		close();
	}
});

it('guards against slow bytes without end: heads that never become an answer do not hold a call that may be repeated', async () => {
	const healthy = await startUpstream((req, res) => {
		sendSignedResponse(req, res, 200, 'ok');
	});
	const {server, gateway, close} = await startEndlessGateway('informational heads', {kind: 'idempotent', timeoutMs: 3000}, 20);
	gateway.directory.apply({revision: 3, changes: [{revision: 3, change: {kind: 'instance', instance: testInstance({id: 'i-1', address: healthy.address})}}]});
	try {
		for (let at = 0; at < 12; at++) {
			const response = await callGateway(gateway.url, {headers: {'deadline-ms': '2500'}});
			expect([response.status, response.body]).to.deep.equal([200, 'ok']);
		}

		expect(server.accepted(), 'calls that were first sent to the server in trouble').to.be.at.least(1);
	} finally {
		close();
		healthy.close();
	}
});

it('guards against memory that endless answers fill: 200 of them at once stay within the limit, and a whole answer still passes', async () => {
	const {server, gateway, close} = await startEndlessGateway('body without a length', {kind: 'once', timeoutMs: 1500});
	try {
		const growth = await measureGrowth(async () => {
			const responses = await Promise.all(Array.from({length: 200}, async () => callGateway(gateway.url)));
			expect(responses.every(({status}) => status === 502 || status === 504 || status === 503)).to.equal(true);
		});
		expect(growth).to.be.lessThan(maxGrowthBytes);
		await waitUntilClosed(server.open);
	} finally {
		close();
	}
});

it('guards against memory that a flood of events fills while the caller reads slowly: the slowest readers are disconnected', async () => {
	const {server, gateway, close} = await startEndlessGateway('events', {kind: 'stream', timeoutMs: 1500, isPublic: true});
	try {
		const callers: Array<Promise<unknown>> = [];
		const growth = await measureGrowth(async () => {
			callers.push(...Array.from({length: 30}, async () => callGateway(gateway.url, {readsNothing: true, disconnectAfterMs: 4000})));
			await waitUntil(() => server.accepted() === 30);
			await waitUntilClosed(server.open);
		});
		expect(growth).to.be.lessThan(maxGrowthBytes);
		await Promise.allSettled(callers);
	} finally {
		close();
	}
});

for (const [name, send] of Object.entries(outgoingRequests)) {
	it(`guards against a request for control or weights (${name}) that keeps an endless answer: it fails in time, closes the connection and keeps little`, async () => {
		for (const kind of plainAnswers) {
			const server = await startEndlessServer(kind);
			const links = new PeerClient();
			try {
				const startMs = performance.now();
				let outcome: string | undefined;
				const growth = await measureGrowth(async () => {
					const [result] = await Promise.allSettled([send(links, server.address)]);
					outcome = result?.status;
				});
				expect(outcome, kind).to.equal('rejected');
				expect(performance.now() - startMs, kind).to.be.lessThan(3500);
				expect(growth / bytesPerMegabyte, `${kind}, megabytes`).to.be.lessThan(64);
				await waitUntilClosed(server.open);
			} finally {
				await links.close();
				server.close();
			}
		}
	});
}
