/** Weight transfer between separate agent processes, of which one is suspended and one is killed. */
import {randomBytes} from 'node:crypto';
import process from 'node:process';
import {expect} from 'chai';
import {
	endProcess, Fleet, type FleetProcess, getJson, waitFor,
} from './support/fleet.ts';

const size = 1_500_000;

type Progress = {state: string; held: number; total: number};

async function progressOf({control}: FleetProcess): Promise<Progress | undefined> {
	const dump = await getJson(control, '/dump');
	return (dump?.rollout as Progress[] | undefined)?.[0];
}

async function serves({control}: FleetProcess): Promise<boolean> {
	const dump = await getJson(control, '/dump') as {report?: {served: Array<{version: string}>}} | undefined;
	return dump?.report?.served.some(({version}) => version === 'v1') ?? false;
}

it('an agent that is frozen and one that is killed during a transfer do not keep the others from serving', async () => {
	const fleet = new Fleet({bytesPerSecond: 1_000_000, maxConcurrentReads: 64});
	await fleet.start();
	try {
		fleet.platform.publish({
			'/services/assistant': {kind: 'engine'},
			'/system/transfer': {chunk_timeout_ms: 800, step_in_ms: 800},
		});
		const agents: FleetProcess[] = [];
		for (const vm of ['vm-1', 'vm-2', 'vm-3', 'vm-4']) {
			agents.push(await fleet.engineAgent(vm, 'assistant', {}, {transfer: {link_bytes_per_second: 400_000}}));
		}

		const manifest = fleet.platform.addWeights('assistant', 'v1', randomBytes(size), 32_768);
		fleet.platform.publish({'/models/assistant': {serve: 'v1', versions: {v1: {manifest}}}});
		const [frozen, killed, ...rest] = agents as [FleetProcess, FleetProcess, ...FleetProcess[]];
		for (const agent of [frozen, killed]) {
			await waitFor(`${agent.vm} holds some chunks`, async () => {
				const progress = await progressOf(agent);
				return (progress?.held ?? 0) > 4;
			});
		}

		process.kill(frozen.child.pid!, 'SIGSTOP');
		await endProcess(killed.child);
		for (const agent of rest) {
			await waitFor(`${agent.vm} serves the version`, async () => serves(agent));
		}

		process.kill(frozen.child.pid!, 'SIGCONT');
		await waitFor('the resumed agent serves the version', async () => serves(frozen));
		expect(fleet.platform.originBytes / size).to.be.below(2);
		expect(fleet.engines.flatMap(engine => engine.orders).every(order => order.manifest === manifest)).to.equal(true);
	} finally {
		await fleet.stop();
	}
});
