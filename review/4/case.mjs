/** A gateway is stopped in a planned way while it passes long streams without a length on: do those that it cuts look complete? */
/* eslint camelcase: "off" -- wire formats use their own spelling */
import {Channel, newId} from '../lib/caller.mjs';
import {hasTrouble, runCase, sleep} from '../lib/deployment.mjs';
import {
	configuration, deskHeaders, deskPath, requestHeaders, streamHeaders, streamPath, workerEntry,
} from '../lib/published.mjs';
import {findEarlyEnd, StreamWorker} from '../lib/stream-worker.mjs';

// A stream of 5.7 s: each pause is within the 400 ms of the sheet, the whole within the route's timeout.
const events = 15;
const pauseMs = 380;
const termAtMs = 3000;
const workerCount = 10;
/** When the streams are sent after the SIGTERM. */
const streamsAtMs = Array.from({length: 100}, (_, number) => 2000 + (number * 4));

await runCase(import.meta.url, async deployment => {
	const {store} = deployment;
	// One answer in 20 (x = 0.05) of half of the workers (a share of 0.5) has no length, as with `garble`, how `unframed`, for 5 s.
	const counter = {answers: 0};
	const workers = Array.from({length: workerCount}, (_, number) => new StreamWorker({
		id: `i-${number}`, events, pauseMs, unframedEvery: number % 2 === 0 ? 20 : undefined, counter,
	}));
	store.put('op/config', configuration());
	for (const [number, worker] of workers.entries()) {
		await worker.start(`127.0.0.${20 + number}`);
		store.put(`servers/${worker.id}`, workerEntry({
			address: worker.address, service: 'assistent', born: Date.now() - 60_000, models: [{name: 'm0', version: 1, adapters: []}],
		}));
	}

	const fields = [await deployment.gatewayFields('gateway-1', '127.0.0.10'), await deployment.gatewayFields('gateway-2', '127.0.0.11')];
	const seeds = fields.map(({listen}) => listen.control);
	const gateways = fields.map(item => deployment.startRole('gateway', item, seeds));
	for (const gateway of gateways) {
		await deployment.waitUntilReady(gateway);
	}

	// Channels that are open before the signal stay with their gateway.
	const startMs = performance.now();
	const early = [];
	let whole = 0;
	let streamCount = 0;
	const played = Promise.all(streamsAtMs.map(async atMs => {
		const channel = new Channel(fields[0].listen.front);
		await sleep(500);
		await channel.ask({path: deskPath, headers: requestHeaders(newId(), deskHeaders), body: 'x'});

		await sleep(termAtMs + atMs - (performance.now() - startMs));
		const id = newId();
		const sentMs = performance.now();
		const answer = await channel.ask({path: streamPath, headers: requestHeaders(id, streamHeaders), body: '{"text":"wheel is loose"}'});
		channel.destroy();
		streamCount += answer.status === 200 ? 1 : 0;
		const finding = findEarlyEnd(answer, events);
		const seen = finding ? `; ${finding}; the worker had made ${workers.map(({runs}) => runs.get(id)?.made).find(Boolean)} and was at work` : '';
		deployment.record(`${id} sent ${atMs} ms after the SIGTERM: status ${answer.status}, ended ${answer.end} after ${Math.round(performance.now() - sentMs)} ms${seen}`);
		if (finding) {
			early.push(id);
		} else if (answer.status === 200 && !answer.end.startsWith('cut')) {
			whole++;
		}
	}));
	await sleep(termAtMs - (performance.now() - startMs));
	for (const worker of workers) {
		worker.isGarbling = hasTrouble;
	}

	if (hasTrouble) {
		deployment.signal(gateways[0], 'SIGTERM');
		// The platform kills what still runs after the grace period.
		const graceOver = setTimeout(() => {
			if (gateways[0].isSignalled) {
				deployment.signal(gateways[0], 'SIGKILL');
			}
		}, 8000);
		await played;
		clearTimeout(graceOver);
	} else {
		await played;
	}

	for (const worker of workers) {
		worker.close();
	}

	if (streamCount === 0) {
		throw new Error('no stream was served');
	}

	return early.length > 0 ? `ORDER: ${early.length} streams ended as complete before their last event (${whole} were whole)` : undefined;
});
