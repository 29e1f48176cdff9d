/** Orders to engines: fencing tokens, replaced agents that resume, and the choice of the next order. */
import {randomBytes} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import fc from 'fast-check';
import {modelSchema, type Model} from '../src/configuration/documents.ts';
import {createRevision} from '../src/ids/revision.ts';
import type {EngineState} from '../src/orders/engine-state.ts';
import {createFencingToken, createTerm, hasLaterTerm} from '../src/orders/fencing-token.ts';
import {reconcileOrders} from '../src/orders/reconcile-orders.ts';
import {pauseThresholdMs} from '../src/runtime/pause-detector.ts';
import {
	Fleet, type FleetProcess, getJson, waitFor,
} from './support/fleet.ts';

const seed = 5;
const idle: Omit<EngineState, 'served' | 'loading'> = {
	fence: 0, running: 0, queued: 0, capacity: 1,
};

it('a later process issues higher fencing tokens than an earlier one, whatever revisions they know', () => {
	const startMs = fc.integer({min: Date.UTC(2024, 0, 2), max: Date.UTC(2040, 0, 1)});
	const revision = fc.integer({min: 0, max: 2 ** 24}).map(value => createRevision(value));
	fc.assert(fc.property(startMs, startMs, revision, revision, (oldStart, newStart, oldRevision, newRevision) => {
		const oldTerm = createTerm(oldStart, 0);
		const seen = createFencingToken(oldTerm, oldRevision);
		// The clock of the new VM may be behind that of the old one.
		const newTerm = createTerm(newStart, seen);
		const newFence = createFencingToken(newTerm, newRevision);
		expect(newFence).to.be.greaterThan(createFencingToken(oldTerm, newRevision));
		expect(newFence).to.be.greaterThan(seen);
		expect(Number.isSafeInteger(newFence)).to.equal(true);
		expect(hasLaterTerm(newFence, oldTerm)).to.equal(true);
	}), {seed, numRuns: 500});
});

const versionNames = ['v1', 'v2', 'v3'];
const manifestOf = (version: string) => version.repeat(32).replaceAll('v', 'a');
const modelArbitrary: fc.Arbitrary<Model> = fc.record({
	serve: fc.constantFrom(...versionNames), previous: fc.option(fc.constantFrom(...versionNames), {nil: undefined}),
}).map(item => modelSchema.parse({...item, versions: Object.fromEntries(versionNames.map(name => [name, {manifest: manifestOf(name)}]))}));

it('orders bring an engine to the published version and never unload the last served one', () => {
	const subset = fc.subarray(versionNames);
	fc.assert(fc.property(modelArbitrary, subset, subset, subset, (model, servedFirst, heldFirst, busy) => {
		const served = new Set(servedFirst);
		const held = new Set([...heldFirst, model.serve].map(name => manifestOf(name)));
		const running = new Map(busy.map(name => [`m/${name}`, 1]));
		for (let round = 0; round < 10; round++) {
			const engine: EngineState = {
				...idle, loading: [], served: [...served].map(version => ({
					model: 'm', version, manifest: manifestOf(version), adapters: [],
				})),
			};
			const order = reconcileOrders({
				models: new Map([['m', model]]), held, engine, running,
			});
			if (order?.kind === 'load') {
				expect(held.has(order.manifest)).to.equal(true);
				served.add(order.version);
			} else if (order?.kind === 'unload') {
				expect(busy).to.not.include(order.version);
				served.delete(order.version);
				expect([...served]).to.include(model.serve);
			}
		}

		expect([...served]).to.include(model.serve);
		const leftOver = [...served].filter(name => name !== model.serve && name !== model.previous && !busy.includes(name));
		expect(leftOver).to.deep.equal([]);
	}), {seed, numRuns: 500});
});

async function suspendReplaceResume(checksFence: boolean): Promise<{fleet: Fleet; old: FleetProcess; ordersBeforeWake: number}> {
	const fleet = new Fleet();
	await fleet.start();
	const manifests = Object.fromEntries(['v1', 'v2'].map(version => [version, fleet.platform.addWeights('m', version, randomBytes(50_000), 16_384)]));
	const versions = {v1: {manifest: manifests.v1}, v2: {manifest: manifests.v2}};
	fleet.platform.publish({'/models/m': {serve: 'v1', versions}});
	const old = await fleet.engineAgent('vm-engine', 'm', {checksFence});
	const [engine] = fleet.engines;
	await waitFor('v1 is served', () => engine?.servedVersions.includes('v1') ?? false);
	old.child.kill('SIGSTOP');
	await fleet.agent('vm-engine', {kind: 'engine', service: 'm', address: engine?.url ?? ''});
	fleet.platform.publish({'/models/m': {serve: 'v2', versions}});
	await waitFor('the successor serves v2 alone', () => engine?.servedVersions.join(',') === 'v2');
	await sleep(pauseThresholdMs);
	const ordersBeforeWake = engine?.orders.length ?? 0;
	old.child.kill('SIGCONT');
	return {fleet, old, ordersBeforeWake};
}

for (const checksFence of [true, false]) {
	it(`a replaced agent that resumes sends no order, engine ${checksFence ? 'checks' : 'ignores'} fencing tokens`, async () => {
		const {fleet, old, ordersBeforeWake} = await suspendReplaceResume(checksFence);
		try {
			await waitFor('the old agent knows that it is replaced', async () => {
				const state = await getJson(old.control, '/dump');
				return state?.authority === 'superseded';
			});
			const [engine] = fleet.engines;
			expect(engine?.orders.slice(ordersBeforeWake).filter(order => order.wasAccepted)).to.deep.equal([]);
			expect(engine?.servedVersions).to.deep.equal(['v2']);
		} finally {
			await fleet.stop();
		}
	});
}
