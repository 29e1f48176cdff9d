/** One of three plain workers spoils a few of its answers, one byte of the head each: do the gateways go on serving? */
/* eslint camelcase: "off" -- wire formats use their own spelling */
import {Channel, newId} from '../lib/caller.mjs';
import {hasTrouble, runCase, sleep} from '../lib/deployment.mjs';
import {DeskWorker} from '../lib/desk-worker.mjs';
import {
	configuration, deskHeaders, deskPath, requestHeaders, workerEntry,
} from '../lib/published.mjs';

const requestersPerGateway = 8;
const playMs = 25_000;
/** The times in which the worker spoils one answer in 50 (x = 0.02): `garble` for 5.5 s, three times. */
const garbleAtMs = [1000, 9000, 17_000];
const garbleForMs = 5500;
const stableWindowMs = 3000;
/** The rule excuses three requests. */
const excused = 3;

await runCase(import.meta.url, async deployment => {
	const {store} = deployment;
	const faulty = {spoilsEvery: hasTrouble ? 50 : undefined};
	const workers = [1, 2, 3].map(number => new DeskWorker({id: `i-${number}`, workMs: 60, ...(number === 1 ? faulty : {})}));
	for (const [at, worker] of workers.entries()) {
		await worker.start(`127.0.0.${20 + at}`);
	}

	store.put('op/config', configuration());
	for (const {id, address} of workers) {
		store.put(`servers/${id}`, workerEntry({address, service: 'balie', born: Date.now() - 60_000}));
	}

	const fields = [await deployment.gatewayFields('gateway-1', '127.0.0.10'), await deployment.gatewayFields('gateway-2', '127.0.0.11')];
	const seeds = fields.map(({listen}) => listen.control);
	const gateways = fields.map(item => deployment.startRole('gateway', item, seeds));
	for (const gateway of gateways) {
		await deployment.waitUntilReady(gateway);
	}

	// The machines are in touch once they have run for this long.
	await sleep(stableWindowMs);

	const startMs = performance.now();
	const garbling = setInterval(() => {
		const nowMs = performance.now() - startMs;
		workers[0].isGarbling = garbleAtMs.some(atMs => nowMs >= atMs && nowMs < atMs + garbleForMs);
	}, 50);
	const sound = workers.slice(1);
	const counts = {served: 0, lost: 0};
	const runRequester = async number => {
		const at = number % 2;
		let channel;
		let onChannel = 0;
		while (performance.now() - startMs < playMs) {
			if (!channel || channel.isClosed) {
				channel = new Channel(fields[at].listen.front);
				onChannel = 0;
			}

			const id = newId();
			const answer = await channel.ask({path: deskPath, headers: requestHeaders(id, deskHeaders), body: 'slot 7'});
			onChannel++;
			const ranAt = sound.find(({ran}) => ran.has(id));
			if (answer.status === 200) {
				counts.served++;
			} else if (answer.status === undefined && onChannel > 1 && ranAt) {
				counts.lost++;
				deployment.record(`${id} gateway-${at + 1}: passed on from a kept channel to sound worker ${ranAt.id}, where it ran; channel ended (${answer.end}) without an answer`);
			}

			await sleep(answer.status === undefined ? 250 : 80);
		}

		channel.destroy();
	};

	await Promise.all(Array.from({length: requestersPerGateway * 2}, async (_, number) => runRequester(number)));
	clearInterval(garbling);
	for (const worker of workers) {
		worker.close();
	}

	const ends = gateways.map(({node, ends: times}) => `${node} ended by itself ${times.length} times`).join(', ');
	deployment.record(`${counts.served} served, ${counts.lost} lost, ${workers[0].spoilt} answers spoilt; ${ends}`);
	if (counts.served === 0) {
		throw new Error('no request was served');
	}

	return counts.lost > excused ? `LOST: ${counts.lost} requests of kept channels ran at sound workers and their channels were closed without an answer; ${ends}` : undefined;
});
