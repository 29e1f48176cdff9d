/** The engine's stand-in behaves as the platform's engines: priorities, limited cache, late events with gaps, cancelled streams. */
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import FakeTimers from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {EngineStandin} from '../standins/engine.ts';
import {PromptCache} from '../standins/prompt-cache.ts';
import {SlotQueue} from '../standins/slot-queue.ts';
import {waitFor} from './support/fleet.ts';

const createResponse = () => new ServerResponse(new IncomingMessage(new Socket()));

it('an engine slot goes to the most urgent call that still waits', async () => {
	const slots = new SlotQueue(1);
	await slots.acquire('low', createResponse());
	const order: string[] = [];
	const gone = createResponse();
	const waiting = [['low', createResponse()], ['normal', gone], ['normal', createResponse()], ['high', createResponse()]] as const;
	const taken = Promise.all(waiting.map(async ([priority, res]) => {
		if (await slots.acquire(priority, res)) {
			order.push(priority);
			slots.release();
		}
	}));
	gone.emit('close');
	expect(slots.queued).to.equal(3);
	slots.release();
	await taken;
	expect([order, slots.running]).to.deep.equal([['high', 'normal', 'low'], 0]);
});

it('a cached prefix is read at once, the oldest is evicted, and events come late with gaps', async () => {
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

it('a stream whose caller is gone gives its slot back, and an unknown adapter is refused', async () => {
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
		const aborter = new AbortController();
		await post(call, aborter.signal);
		expect(await readRunning()).to.equal(1);
		aborter.abort();
		await waitFor('the slot is free', async () => await readRunning() === 0);
	} finally {
		engine.stop();
	}
});
