/** A planned stop of a gateway, as a process of its own, whose callers go on using their open connections until it is gone. */
import http from 'node:http';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {HttpListener} from '../src/links/http-listener.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {
	sendSignedResponse, startTestGateway, startUpstream, testConfiguration, testInstance,
} from './support/direct-fixtures.ts';
import {DirectoryStore} from './support/directory-store.ts';
import {waitFor} from './support/fleet.ts';
import {type GatewayProcess, Processes, type StreamWorker} from './support/processes.ts';
import {connectRaw} from './support/raw-client.ts';

/** How long a process gets no processor time, in milliseconds. */
const pauseMs = 1300;

const workerCount = 4;
const callerCount = 40;

let processes = new Processes();
let store = new DirectoryStore();

beforeEach(async () => {
	processes = new Processes();
	store = new DirectoryStore();
	await store.start();
});

afterEach(() => {
	processes.stop();
	store.close();
});

async function startAll(limits: string): Promise<{gateway: GatewayProcess; workers: StreamWorker[]}> {
	const workers = await Promise.all(Array.from({length: workerCount}, async () => processes.startStreamWorker()));
	store.put('op/config', {
		version: 1,
		routes: [
			{
				name: 's', host: 'a.example', prefix: '/s/', kind: 'stream', timeout_ms: 6000, goal_ms: 2000, service: 'models', attempts: 2, resumable: true,
			},
		],
		services: [{
			name: 'models', max_conns: 500, engine: {
				slots: 16, step_ms: 1, read_per_s: 100_000, layers: 16, models: [{name: 'm'}],
			},
		}],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
	});
	for (const [at, {address}] of workers.entries()) {
		store.put(`servers/i-${at}`, {
			service: 'models', address, zone: 'z', slots: 16, state: 'ready', born: 1, models: [{name: 'm', version: 1}], layers: {from: 0, to: 16},
		});
	}

	return {gateway: await processes.startGateway(store, limits), workers};
}

/** A listener under test. */
type TestListener = {readonly server: http.Server; readonly port: number; readonly isAnswered: () => boolean; readonly drain: () => Promise<void>};

const listenerFactories: Readonly<Record<string, () => Promise<TestListener>>> = {
	async 'callers of a gateway'() {
		const upstream = await startUpstream((req, res) => {
			sendSignedResponse(req, res, 200, 'ok');
		});
		const gateway = await startTestGateway(testConfiguration(1, {timeoutMs: 3000}), [testInstance({id: 'i-0', address: upstream.address})]);
		const {server} = gateway.listener as unknown as {server: http.Server};
		return {
			server, port: Number(new URL(gateway.url).port), isAnswered: () => upstream.requests.length === 1 && gateway.forwarder.openCalls === 0, async drain() {
				await gateway.listener.drain();
				gateway.close();
				upstream.close();
			},
		};
	},
	async 'callers of an entry, and control'() {
		let isAnswered = false;
		const listener = new HttpListener({
			'POST /p/x'(_, res) {
				res.end('ok');
				isAnswered = true;
			},
		}, createSilentLogger());
		const {port} = await listener.start({host: '127.0.0.1', port: 0});
		const {server} = listener as unknown as {server: http.Server};
		return {
			server, port, isAnswered: () => isAnswered, drain: async () => listener.drain(),
		};
	},
};

/** Delays what is written to a connection, as a peer that reads late does once the buffers of the system are full. */
function delayWrites(socket: net.Socket): void {
	for (const name of ['_write', '_writev'] as const) {
		const write = socket[name]!.bind(socket) as (...args: unknown[]) => void;
		(socket as unknown as Record<string, unknown>)[name] = (...args: unknown[]) => {
			setTimeout(write, 300, ...args);
		};
	}
}

/** The answer to one call; `complete` is false if it was cut. */
type Answer = {readonly id: string; readonly status: number; readonly complete: boolean; readonly bytes: number; readonly error?: string};

/** Sends one call. */
async function call({url}: {readonly url: string}, agent: http.Agent, id: string, target: string): Promise<Answer> {
	return new Promise(resolve => {
		const req = http.request(`${url}${target}`, {
			agent, method: 'POST', headers: {
				host: 'a.example', 'attempt-id': id, 'api-key': 'k1', 'deadline-ms': '6000', ...(target.startsWith('/s/') ? {model: 'm', 'token-usage': '100,50'} : {}),
			},
		}, res => {
			let bytes = 0;
			const finish = (error?: string) => {
				resolve({
					id, status: res.statusCode ?? 0, complete: res.complete && error === undefined, bytes, error,
				});
			};

			res.on('data', (part: Uint8Array) => {
				bytes += part.length;
			});
			res.on('end', () => {
				finish();
			});
			res.on('error', err => {
				finish(err.message);
			});
		});
		req.on('error', err => {
			resolve({
				id, status: 0, complete: false, bytes: 0, error: err.message,
			});
		});
		req.end('b');
	});
}

/** Callers on kept connections, each of which sends one stream after the other until no connection is accepted any more. */
async function runCallers(gateway: GatewayProcess, untilMs: number): Promise<Answer[]> {
	const answers: Answer[] = [];
	const agent = new http.Agent({keepAlive: true});
	const random = new RandomSource(41);
	await Promise.all(Array.from({length: callerCount}, async (_, caller) => {
		for (let at = 0; performance.now() < untilMs; at++) {
			const events = 7 + random.nextInt(20);
			const answer = await call(gateway, agent, `c${caller}-${at}`, `/s/x?events=${events}&gap=100`);
			answers.push(answer);
			await sleep(answer.status === 200 ? 20 : 100);
		}
	}));
	agent.destroy();
	return answers;
}

/** Returns the calls that began to run and were not answered whole. */
async function findCut(answers: readonly Answer[], workers: readonly StreamWorker[]): Promise<Answer[]> {
	const runs = await Promise.all(workers.map(async worker => worker.runs()));
	return answers.filter(({id, status, complete}) => runs.some(ids => ids[id] !== undefined) && (status !== 200 || !complete));
}

/** Stops a process from outside for a time. */
async function pause({child}: GatewayProcess): Promise<void> {
	child.kill('SIGSTOP');
	await sleep(pauseMs);
	child.kill('SIGCONT');
}

for (const isStopped of [true, false]) {
	it(`guards against streams that are cut when a gateway gets no processor time ${isStopped ? 'while it drains' : 'at any other moment'}`, async () => {
		const {gateway, workers} = await startAll('');
		const calls = runCallers(gateway, performance.now() + 6000);
		await sleep(2000);
		if (isStopped) {
			gateway.child.kill('SIGTERM');
			await sleep(300);
		}

		await pause(gateway);
		const answers = await calls;
		expect(answers.filter(({status, complete}) => status === 200 && complete).length).to.be.greaterThan(callerCount);
		expect(await findCut(answers, workers)).to.deep.equal([]);
	});
}

for (const [name, create] of Object.entries(listenerFactories)) {
	it(`guards against an answer whose last bytes are not written yet when its listener drains (${name})`, async () => {
		const listener = await create();
		listener.server.prependListener('connection', (socket: net.Socket) => {
			delayWrites(socket);
		});
		const agent = new http.Agent({keepAlive: true});
		const answer = call({url: `http://127.0.0.1:${listener.port}`}, agent, 'id-1', '/p/x');
		await waitFor('the answer ends', () => listener.isAnswered());
		await listener.drain();
		agent.destroy();
		expect(await answer).to.include({status: 200, complete: true, bytes: 2});
	});
}

it('guards against an idle connection that is closed although its next call has arrived: a pause of the gateway across the idle timeout', async () => {
	const upstream = await startUpstream((req, res) => {
		sendSignedResponse(req, res, 200, 'ok');
	});
	const configuration = testConfiguration(1);
	const gateway = await startTestGateway({...configuration, limits: {...configuration.limits, idleTimeoutMs: 1000}}, [testInstance({id: 'i-0', address: upstream.address})]);
	const socket = net.connect(Number(new URL(gateway.url).port), '127.0.0.1');
	let received = '';
	socket.setEncoding('utf8').on('data', (text: string) => {
		received += text;
	});
	socket.on('error', err => {
		received += err.message;
	});
	const send = (id: string) => {
		socket.write(`GET /p/x HTTP/1.1\r\nhost: a.example\r\napi-key: k1\r\nattempt-id: ${id}\r\n\r\n`);
	};

	send('id-1');
	await waitFor('the first answer', () => received.includes('ok'));
	await sleep(850);
	setImmediate(() => {
		send('id-2');
		Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 1500);
	});
	await sleep(2500);
	socket.destroy();
	gateway.close();
	upstream.close();
	expect(received.split('HTTP/1.1 200').length - 1, received).to.equal(2);
});

it('guards against requests of a caller that has left which are never forgotten: several on one connection hold neither a drain nor memory', async () => {
	const upstream = await startUpstream(() => undefined);
	const gateway = await startTestGateway(testConfiguration(1, {timeoutMs: 20_000}), [testInstance({id: 'i-0', address: upstream.address})]);
	const {port} = new URL(gateway.url);
	const idle = new http.Agent({keepAlive: true});
	await call(gateway, idle, 'id-idle', '/unknown');
	const socket = net.connect(Number(port), '127.0.0.1');
	for (const id of ['id-1', 'id-2']) {
		socket.write(`POST /p/x HTTP/1.1\r\nhost: a.example\r\napi-key: k1\r\nattempt-id: ${id}\r\ncontent-length: 1000\r\n\r\n${'b'.repeat(1000)}`);
	}

	await waitFor('both bodies are read', () => gateway.bodies.usedBytes >= 2000);
	socket.destroy();
	await waitFor('the calls end', () => gateway.forwarder.openCalls === 0);
	await sleep(50);
	const startedAtMs = performance.now();
	await gateway.listener.drain();
	const drainMs = performance.now() - startedAtMs;
	idle.destroy();
	gateway.close();
	upstream.close();
	expect(gateway.bodies.usedBytes).to.equal(0);
	expect(drainMs).to.be.lessThan(1000);
});

it('guards against a call that runs and has no answer: two calls are sent without a wait to a gateway that closes its connections, and both are answered', async () => {
	const upstream = await startUpstream(async (req, res) => {
		await sleep(100);
		sendSignedResponse(req, res, 200, `answer to ${String(req.headers['attempt-id'])}.`);
	});
	const gateway = await startTestGateway(testConfiguration(1), [testInstance({id: 'i-0', address: upstream.address})]);
	gateway.listener.disableKeepAlive();
	const {socket, received, isClosed} = connectRaw(gateway.url);
	const call = (id: string) => `POST /p/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: ${id}\r\nApi-Key: k1\r\nDeadline-Ms: 900\r\nContent-Length: 0\r\n\r\n`;
	try {
		socket.write(`${call('id-1')}${call('id-2')}`);
		await waitFor('the connection closes', isClosed);
		expect(received()).to.include('answer to id-1.').and.include('answer to id-2.');
	} finally {
		gateway.close();
		upstream.close();
	}
});
