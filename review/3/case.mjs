/** Stagers are frozen while they verify the staged pieces, and verified ones turn bad meanwhile: do they order their workers to load them? */
/* eslint camelcase: "off" -- wire formats use their own spelling */
import {spawn} from 'node:child_process';
import {Channel, newId} from '../lib/caller.mjs';
import {hasTrouble, runCase, sleep} from '../lib/deployment.mjs';
import {EngineWorker} from '../lib/engine-worker.mjs';
import {
	configuration, requestHeaders, streamHeaders, streamPath,
} from '../lib/published.mjs';
import {Origin} from '../lib/weights.mjs';

const engineCount = 4;
const versions = [2, 3, 4, 5, 6];
/** The longest freeze of such machines in the site's days. */
const freezeMs = 4000;
/** The freeze begins when so many of the 96 pieces have been read back before the order. */
const readsBefore = 40;
const rotAfterMs = 100;
/** 5 of 96 pieces, within the share of 0.06 of the site's days. */
const badPieces = [0, 4, 7, 13, 21];
/** The rule excuses pieces that turned bad so shortly before they were taken. */
const excusedMs = 3000;

/** A worker with the stager beside it, which is frozen once for each version. */
class Machine {
	reads = 0;

	constructor(deployment, number) {
		this.deployment = deployment;
		this.name = `stager-${number}`;
		this.ip = `127.0.0.${20 + number}`;
		this.worker = new EngineWorker({
			id: `i-${number}`, store: deployment.store, onStageGet: () => {
				this.reads++;
				if (this.reads === readsBefore && this.isNamed && hasTrouble) {
					this.freeze();
				}
			},
		});
	}

	expectVersion() {
		this.reads = 0;
		this.isNamed = true;
	}

	freeze() {
		const {deployment, worker, stager, name} = this;
		deployment.record(`SIGSTOP to ${name} after ${this.reads} of 96 pieces were read back`);
		// From a process of its own: while this one sends a signal, it serves no pieces.
		spawn('sh', ['-c', `kill -STOP ${stager.child.pid}`]);
		setTimeout(() => {
			for (const piece of badPieces) {
				worker.turnBad(piece);
			}

			deployment.record(`pieces ${badPieces.join(', ')} turn bad beside ${name}`);
		}, rotAfterMs);
		setTimeout(() => {
			deployment.signal(stager, 'SIGCONT');
		}, freezeMs);
	}
}

await runCase(import.meta.url, async deployment => {
	const {store} = deployment;
	const origin = new Origin();
	await origin.start('127.0.0.40');
	store.put('op/config', configuration({
		services: [{
			name: 'voorraad', origin: origin.address, link_mbps: 7.3, max_conns: 48,
		}],
	}));
	const machines = Array.from({length: engineCount}, (_, number) => new Machine(deployment, number));
	const fields = await deployment.gatewayFields('gateway-1', '127.0.0.10');
	const seeds = [fields.listen.control];
	const gateway = deployment.startRole('gateway', fields, seeds);
	for (const machine of machines) {
		const {worker, ip, name} = machine;
		await worker.start(ip);
		machine.stager = deployment.startRole('stager', {
			...fields, node: name, ip, limits: {link_mbps: 7.3}, app: worker.address, service: 'assistent',
		}, seeds);
	}

	await deployment.waitUntilReady(gateway);
	await sleep(3000);
	const statuses = {};
	for (const version of versions) {
		deployment.record(`version ${version} is named`);
		for (const machine of machines) {
			machine.expectVersion();
		}

		store.put('op/version/m0', {model: 'm0', version});
		await deployment.waitFor(`all workers serve version ${version}`, () => machines.every(({worker}) => worker.version === version), 30_000);
		// Enough streams that each worker makes tokens.
		await Promise.all(Array.from({length: engineCount * 6}, async () => {
			const channel = new Channel(fields.listen.front);
			const answer = await channel.ask({path: streamPath, headers: requestHeaders(newId(), streamHeaders), body: '{"text":"wheel is loose"}'});
			channel.destroy();
			statuses[answer.status] = (statuses[answer.status] ?? 0) + 1;
		}));
		for (const {worker, name} of machines) {
			deployment.record(`${name}: version ${worker.version}, bad pieces in its loads: ${JSON.stringify(worker.badLoads)}, ${worker.tokensOnBadLayers} tokens made on layers with bad pieces`);
		}
	}

	origin.close();
	for (const {worker} of machines) {
		worker.close();
	}

	deployment.record(`streams by status: ${JSON.stringify(statuses)}`);
	if (!statuses[200]) {
		throw new Error('no stream was served');
	}

	const broken = machines.filter(({worker}) => worker.tokensOnBadLayers > 0 && worker.badLoads.some(({badForMs}) => badForMs > excusedMs));
	const tokens = broken.reduce((sum, {worker}) => sum + worker.tokensOnBadLayers, 0);
	const shortestMs = Math.min(...broken.flatMap(({worker}) => worker.badLoads.map(({badForMs}) => badForMs)));
	return broken.length > 0 ? `WHOLE: ${broken.length} workers loaded pieces that had been spoilt for ${shortestMs} ms and more, and made ${tokens} tokens with them` : undefined;
});
