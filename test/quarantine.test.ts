/** Prompt parts that crash upstreams: how a crash is told from a broken connection, and which calls are refused. */
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {createServiceId} from '../src/ids/service-id.ts';
import {createPromptPartId, type PromptPartId} from '../src/ids/prompt-part-id.ts';
import {type Crash, CrashDetector} from '../src/quarantine/crash-detector.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {
	callGateway, startTestGateway, testConfiguration, type TestGateway, testInstance, type TestResponse,
} from './support/direct-fixtures.ts';

const open: Array<{close: () => void}> = [];

afterEach(() => {
	for (const item of open.splice(0)) {
		item.close();
	}
});

const part = (text: string): PromptPartId => createPromptPartId(text);

async function sleep(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

it('guards against taking a reset connection for a crash: an upstream that still accepts connections has not crashed, one that refuses them has, with the parts of all its calls', async () => {
	const crashes: Crash[] = [];
	const detector = new CrashDetector({
		acceptsConnections: async ({id}) => id === 'i-alive', onCrash: crash => crashes.push(crash), log: createSilentLogger(),
	});
	for (const [id, name] of [['i-alive', 'a'], ['i-dead', 'b'], ['i-dead', 'c']] as const) {
		detector.recordBroken(testInstance({id}), [part(name)]);
	}

	await sleep(30);
	detector.recordBroken(testInstance({id: 'i-dead'}), [part('late')]);
	await sleep(30);
	expect(crashes.map(({id, calls}) => ({id, parts: calls.flat()}))).to.deep.equal([
		{id: 'i-dead@1', parts: ['b', 'c']}, {id: 'i-dead@1', parts: ['b', 'c', 'late']},
	]);
});

/** How long an engine is down after a crash, in milliseconds. */
const restartMs = 250;

/** An engine that crashes as soon as it begins to answer a call with the part `bad`. */
async function startEngine(log: string[]): Promise<{address: string; close: () => void}> {
	const server = http.createServer((req, res) => {
		const isBad = String(req.headers['prompt-prefix']).includes('bad:');
		log.push(isBad ? 'bad' : 'sound');
		res.writeHead(200, {
			'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's', 'content-type': 'text/event-stream', 'weight-versions': '1',
		});
		res.write('id: 1\ndata: t\n\n');
		setTimeout(() => {
			if (isBad) {
				crash();
			} else {
				res.end();
			}
		}, 20);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	let restartTimer: NodeJS.Timeout | undefined;
	const crash = () => {
		if (server.listening) {
			log.push('crash');
			server.close();
			server.closeAllConnections();
			restartTimer = setTimeout(() => server.listen(port, '127.0.0.1'), restartMs);
		}
	};

	return {
		address: `127.0.0.1:${port}`, close() {
			clearTimeout(restartTimer);
			server.close();
			server.closeAllConnections();
		},
	};
}

/** Starts a gateway in front of eight engines; `log` receives what reaches them. */
async function startModels(log: string[]): Promise<TestGateway> {
	const engines = await Promise.all(Array.from({length: 8}, async () => startEngine(log)));
	const service = createServiceId('models');
	const configuration = testConfiguration(1, {kind: 'stream', isResumable: true, targets: [{service, weight: 1}]});
	const gateway = await startTestGateway(configuration, engines.map(({address}, at) => testInstance({
		id: `i-${at}`, address, service, slots: 16, held: [{
			model: 'm', version: 1, fromLayer: 0, toLayer: 16,
		}],
	})));
	open.push(...engines, gateway);
	return gateway;
}

async function callModel(gateway: TestGateway, id: string, prefix: string): Promise<TestResponse> {
	return callGateway(gateway.url, {
		headers: {
			model: 'm', 'attempt-id': id, 'token-usage': '100,50', 'prompt-prefix': prefix,
		},
	});
}

it('guards against a prompt part that crashes one engine after the other: after the fifth crash at most three calls with it reach an engine, and sound calls are answered', async () => {
	const log: string[] = [];
	const gateway = await startModels(log);
	await callModel(gateway, 'before', 'shared:40,own0:9');
	for (let at = 0; at < 25; at++) {
		await Promise.all([callModel(gateway, `bad-${at}`, `shared:40,bad:20,own${at}:9`), callModel(gateway, `sound-${at}`, `shared:40,own${at}:9`)]);
		await sleep(20);
	}

	const fifthCrash = log.flatMap((entry, at) => (entry === 'crash' ? [at] : []))[4] ?? log.length;
	expect(log.slice(fifthCrash).filter(entry => entry === 'bad').length).to.be.at.most(3);
	await sleep(restartMs);
	const answers = await Promise.all(Array.from({length: 20}, async (_, at) => callModel(gateway, `after-${at}`, `shared:40,after${at}:9`)));
	expect(answers.filter(({status, complete}) => status === 200 && complete)).to.have.length(20);
});
