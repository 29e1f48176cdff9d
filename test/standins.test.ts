/** The stand-in for engines simulates slot priorities, a limited prompt cache, delayed and lost cache events, and cancelled streams. */
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import FakeTimers from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {EngineStandin} from '../standins/engine.ts';
import {PromptCache} from '../standins/prompt-cache.ts';
import {SlotQueue} from '../standins/slot-queue.ts';
import {waitFor} from './support/fleet.ts';

const createResponse = () => new ServerResponse(new IncomingMessage(new Socket()));

it('a free engine slot goes to the waiting call with the highest priority', async () => {
	const slots = new SlotQueue(1);
	await slots.acquire('low', createResponse());
	const acquiredPriorities: string[] = [];
	const closedRes = createResponse();
	const queuedCalls = [['low', createResponse()], ['normal', closedRes], ['normal', createResponse()], ['high', createResponse()]] as const;
	const finished = Promise.all(queuedCalls.map(async ([priority, res]) => {
		if (await slots.acquire(priority, res)) {
			acquiredPriorities.push(priority);
			slots.release();
		}
	}));
	closedRes.emit('close');
	expect(slots.queued).to.equal(3);
	slots.release();
	await finished;
	expect([acquiredPriorities, slots.running]).to.deep.equal([['high', 'normal', 'low'], 0]);
});

it('the prompt cache evicts the least recently used prefix, and its events are delayed and partly lost', async () => {
	const clock = FakeTimers.install({toFake: ['setTimeout']});
	try {
		const cache = new PromptCache({
			cachedPrefixes: 2, prefillMs: 0, cacheEventLagMs: 500, lostEventInterval: 3,
		});
		for (const prompt of ['a', 'b', 'a', 'c', 'd']) {
			await cache.read(prompt);
		}

		expect(cache.eventsAfter(0)).to.deep.equal([]);
		clock.tick(500);
		expect(cache.eventsAfter(1).map(({seq, kind}) => `${seq} ${kind}`)).to.deep.equal(['2 added', '4 evicted', '5 added']);
	} finally {
		clock.uninstall();
	}
});

it('a stream releases its slot when its caller disconnects, and an unknown adapter is refused', async () => {
	const engine = new EngineStandin({
		capacity: 1, tokenMs: 5, checksFence: true, stateLagMs: 0,
	});
	const {port} = await engine.start({host: '127.0.0.1', port: 0});
	const post = async (body: unknown, signal?: AbortSignal) => fetch(`http://127.0.0.1:${port}/v1/generate`, {method: 'POST', body: JSON.stringify(body), signal});
	const readRunning = async () => {
		const res = await fetch(`http://127.0.0.1:${port}/v1/state`);
		const state = await res.json() as {running: number};
		return state.running;
	};

	try {
		engine.serve('m', 'v1', 'weights', ['known']);
		const call = {
			model: 'm', version: 'v1', adapter: null, prompt: 'p', tokens: 1_000_000, resumeFrom: 0,
		};
		const refused = await post({...call, adapter: 'unknown'});
		expect(refused.status).to.equal(404);
		const abortController = new AbortController();
		await post(call, abortController.signal);
		expect(await readRunning()).to.equal(1);
		abortController.abort();
		await waitFor('the slot is free', async () => await readRunning() === 0);
	} finally {
		engine.stop();
	}
});
