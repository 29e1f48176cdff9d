/** A gateway is killed while it passes streams without a length on: do they look complete to the requesters? */
/* eslint camelcase: "off" -- wire formats use their own spelling */
import {Channel, newId} from '../lib/caller.mjs';
import {hasTrouble, runCase, sleep} from '../lib/deployment.mjs';
import {
	configuration, requestHeaders, streamHeaders, streamPath, workerEntry,
} from '../lib/published.mjs';
import {findEarlyEnd, StreamWorker} from '../lib/stream-worker.mjs';

const events = 21;
const pauseMs = 60;
const requesters = 120;
const workerCount = 10;
const playMs = 26_000;
/** Single processes are killed, by turns. */
const killsAtMs = [5000, 11_000, 17_000, 23_000];
/** `garble` for 5 s around each kill. */
const garbleBeforeMs = 3500;
const garbleForMs = 5000;

await runCase(import.meta.url, async deployment => {
	const {store} = deployment;
	// One answer in 20 (x = 0.05) of half of the workers (a share of 0.5) has no length, as with `garble`, how `unframed`.
	const workers = Array.from({length: workerCount}, (_, number) => new StreamWorker({
		id: `i-${number}`, events, pauseMs, unframedEvery: number % 2 === 0 ? 20 : undefined,
	}));
	for (const [at, worker] of workers.entries()) {
		await worker.start(`127.0.0.${20 + at}`);
	}

	store.put('op/config', configuration());
	for (const {id, address} of workers) {
		store.put(`servers/${id}`, workerEntry({
			address, service: 'assistent', born: Date.now() - 60_000, models: [{name: 'm0', version: 1, adapters: []}],
		}));
	}

	const fields = [await deployment.gatewayFields('gateway-1', '127.0.0.10'), await deployment.gatewayFields('gateway-2', '127.0.0.11')];
	const seeds = fields.map(({listen}) => listen.control);
	const gateways = fields.map(item => deployment.startRole('gateway', item, seeds));
	for (const gateway of gateways) {
		await deployment.waitUntilReady(gateway);
	}

	const startMs = performance.now();
	const early = [];
	let whole = 0;
	const runRequester = async number => {
		const {front} = fields[number % 2].listen;
		while (performance.now() - startMs < playMs) {
			const id = newId();
			const channel = new Channel(front);
			const answer = await channel.ask({path: streamPath, headers: requestHeaders(id, streamHeaders), body: '{"text":"wheel is loose"}'});
			channel.destroy();
			const finding = findEarlyEnd(answer, events);
			const made = workers.map(({runs}) => runs.get(id)).find(Boolean);
			const seen = finding ? `; ${finding}; the worker had made ${made?.made} and was at work` : '';
			if (finding || answer.end !== 'complete') {
				deployment.record(`${id} gateway-${(number % 2) + 1}: status ${answer.status}, ended ${answer.end}, ${answer.body.length} bytes${seen}`);
			}

			if (finding) {
				early.push(id);
			} else if (answer.status === 200 && !answer.end.startsWith('cut')) {
				whole++;
			}

			await sleep(answer.status === 200 ? 20 : 300);
		}
	};

	const played = Promise.all(Array.from({length: requesters}, async (_, number) => runRequester(number)));
	const garbling = setInterval(() => {
		const nowMs = performance.now() - startMs;
		for (const worker of workers) {
			worker.isGarbling = hasTrouble && killsAtMs.some(atMs => nowMs >= atMs - garbleBeforeMs && nowMs < atMs - garbleBeforeMs + garbleForMs);
		}
	}, 50);
	for (const [at, killAtMs] of killsAtMs.entries()) {
		await sleep(killAtMs - (performance.now() - startMs));
		if (hasTrouble) {
			deployment.signal(gateways[at % 2], 'SIGKILL');
		}
	}

	await played;
	clearInterval(garbling);
	for (const worker of workers) {
		worker.close();
	}

	if (whole === 0) {
		throw new Error('no stream was served');
	}

	deployment.record(`${whole} streams whole, ${early.length} ended early as complete`);
	return early.length > 0 ? `ORDER: ${early.length} streams ended as complete before their last event (${whole} were whole)` : undefined;
});
