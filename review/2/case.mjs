/** The origin spoils one answer, the first manifest of a new version: is the model ever served again? */
/* eslint camelcase: "off" -- wire formats use their own spelling */
import {Channel, newId} from '../lib/caller.mjs';
import {hasTrouble, runCase, sleep} from '../lib/deployment.mjs';
import {EngineWorker} from '../lib/engine-worker.mjs';
import {
	configuration, requestHeaders, streamHeaders, streamPath,
} from '../lib/published.mjs';
import {Origin} from '../lib/weights.mjs';

const engineCount = 3;
const requesters = 6;
const nameAtMs = 6000;
const playMs = 64_000;
/** The gate allows so many of the requests to be refused or to fail. */
const allowedShare = 0.6;

await runCase(import.meta.url, async deployment => {
	const {store} = deployment;
	let hasSpoilt = false;
	const origin = new Origin({
		spoil(digests, version) {
			if (!hasTrouble || version !== 2 || hasSpoilt) {
				return digests;
			}

			hasSpoilt = true;

			deployment.record(`the origin spoils one digit in its answer of the manifest of version ${version}`);
			const spoilt = digests[40].startsWith('0') ? '1' : '0';
			return digests.with(40, spoilt + digests[40].slice(1));
		},
	});
	await origin.start('127.0.0.40');
	store.put('op/config', configuration({
		services: [{
			name: 'voorraad', origin: origin.address, link_mbps: 7.3, max_conns: 48,
		}],
	}));
	const workers = Array.from({length: engineCount}, (_, at) => new EngineWorker({id: `i-${at}`, store}));
	for (const [at, worker] of workers.entries()) {
		await worker.start(`127.0.0.${20 + at}`);
	}

	const fields = [await deployment.gatewayFields('gateway-1', '127.0.0.10'), await deployment.gatewayFields('gateway-2', '127.0.0.11')];
	const seeds = fields.map(({listen}) => listen.control);
	const gateways = fields.map(item => deployment.startRole('gateway', item, seeds));
	for (const [at, worker] of workers.entries()) {
		const {internal_ports: ports, limits, bounds, zone, region} = fields[0];
		deployment.startRole('stager', {
			node: `stager-${at}`, ip: `127.0.0.${20 + at}`, internal_ports: ports, bounds, zone, region, limits: {...limits, link_mbps: 7.3}, app: worker.address, service: 'assistent',
		}, seeds);
	}

	for (const gateway of gateways) {
		await deployment.waitUntilReady(gateway);
	}

	await sleep(2000);
	const startMs = performance.now();
	const seconds = [];
	const runRequester = async number => {
		const {front} = fields[number % 2].listen;
		while (performance.now() - startMs < playMs) {
			const second = Math.floor((performance.now() - startMs) / 1000);
			const channel = new Channel(front);
			const answer = await channel.ask({path: streamPath, headers: requestHeaders(newId(), streamHeaders), body: '{"text":"wheel is loose"}'});
			channel.destroy();
			const count = seconds[second] ?? {asked: 0, served: 0, statuses: {}};
			seconds[second] = count;
			count.asked++;
			count.served += answer.status === 200 && answer.end === 'complete' ? 1 : 0;
			count.statuses[answer.status] = (count.statuses[answer.status] ?? 0) + 1;
			// A request that comes back after a refusal isn't counted again; the pause is the same for all.
			await sleep(400);
		}
	};

	const played = Promise.all(Array.from({length: requesters}, async (_, number) => runRequester(number)));
	await sleep(nameAtMs);
	deployment.record('version 2 is named');
	store.put('op/version/m0', {model: 'm0', version: 2});
	await played;
	origin.close();
	for (const worker of workers) {
		worker.close();
	}

	for (const [second, {asked, served, statuses}] of seconds.entries()) {
		deployment.record(`second ${second}: ${asked} asked, ${served} served, ${JSON.stringify(statuses)}`);
	}

	const asked = seconds.reduce((sum, count) => sum + count.asked, 0);
	const served = seconds.reduce((sum, count) => sum + count.served, 0);
	const lateServed = seconds.slice(-20).reduce((sum, count) => sum + count.served, 0);
	const held = workers.map(({version}) => version).join(', ');
	deployment.record(`workers hold versions ${held}; manifest read ${origin.manifestReads} times, pieces ${origin.pieceReads} times; ${served} of ${asked} requests served`);
	if (seconds.slice(0, nameAtMs / 1000).every(count => count.served === 0)) {
		throw new Error('no request was served before the version was named');
	}

	const unserved = (asked - served) / asked;
	return unserved > allowedShare ? `Gate: ${Math.round(unserved * 100)} in 100 requests refused or failed; in the last 20 s ${lateServed} served` : undefined;
});
