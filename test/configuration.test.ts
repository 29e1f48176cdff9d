/** Property-based and example tests of the configuration exchange on a simulated network. */
import {expect} from 'chai';
import fc from 'fast-check';
import {maxTreeBytes} from '../src/configuration/evaluate-update.ts';
import {ConfigurationReplica} from '../src/configuration/configuration-replica.ts';
import {ConfigurationStore} from '../src/configuration/configuration-store.ts';
import {digestOfTree} from '../src/configuration/tree.ts';
import {createRevision, noRevision} from '../src/ids/revision.ts';
import {ConfigNetwork, type Step} from './support/config-network.ts';

const zones = [5, 4, 3];

const arbitrarySteps: fc.Arbitrary<Step[]> = fc.array(fc.oneof(
	{weight: 5, arbitrary: fc.record({kind: fc.constant('publish' as const), document: fc.nat(5), isBad: fc.boolean()})},
	{weight: 2, arbitrary: fc.record({kind: fc.constantFrom('restart' as const, 'kill' as const, 'cut' as const), node: fc.nat(11)})},
	{weight: 3, arbitrary: fc.record({kind: fc.constantFrom('snapshot' as const, 'restore' as const, 'down' as const, 'up' as const, 'heal' as const, 'list' as const)})},
	{weight: 5, arbitrary: fc.record({kind: fc.constant('exchange' as const), turns: fc.integer({min: 1, max: 60})})},
), {maxLength: 40});

function run(seed: number, steps: readonly Step[]): ConfigNetwork {
	const network = new ConfigNetwork(seed, zones);
	for (const step of steps) {
		network.apply(step);
	}

	return network;
}

/** Publishes until the service's revision is higher than any known to a process, as an operator does after a restore. */
function publishNewestRevision(network: ConfigNetwork): void {
	const highest = Math.max(0, ...network.nodes.map(({store}) => store.revision), ...network.nodes.map(({replica}) => replica.startupMinRevision));
	do {
		network.service.publish(0, false);
	} while (network.service.revision <= highest);
}

it('no process goes back to an older revision or starts below an announced one, under any loss, delay, restart or restore', () => {
	fc.assert(fc.property(fc.nat(), arbitrarySteps, (seed, steps) => {
		expect(run(seed, steps).violations).to.deep.equal([]);
	}), {seed: 41, numRuns: 400});
});

it('all processes converge on the tree of the service once its revision is the highest, whatever happened before', () => {
	fc.assert(fc.property(fc.nat(), arbitrarySteps, (seed, steps) => {
		const network = run(seed, steps);
		network.settle(8);
		publishNewestRevision(network);
		network.settle(16);
		const {service, alive, violations} = network;
		const expected = digestOfTree({revision: createRevision(service.revision), entries: service.entries});
		expect(new Set(alive.map(({store}) => store.digest))).to.deep.equal(new Set(alive.length > 0 ? [expected] : []));
		expect(new Set(alive.map(({store}) => store.version.fallbackDigest)).size).to.be.at.most(1);
		expect(violations).to.deep.equal([]);
	}), {seed: 42, numRuns: 400});
});

it('a process that read an invalid document from the service gets the last good value from its peers', () => {
	const network = new ConfigNetwork(43, [3]);
	network.service.publish(1, false);
	network.settle(3);
	network.service.publish(1, true);
	network.settle(3);
	const restarted = network.restartEmpty(0);
	network.readServiceFirst(restarted);
	expect(restarted.store.limitsOf('team-1').weight).to.equal(1);
	expect(restarted.store.current.entries.get('/teams/team-1/limits')?.fallback).to.equal(undefined);
	network.settle(3);
	expect(restarted.store.current.entries.get('/teams/team-1/limits')?.fallback).to.deep.equal({revision: 1, value: {weight: 1}});
	expect(restarted.store.findings.map(({file}) => file)).to.deep.equal(['/teams/team-1/limits']);
});

it('a tree over the size limit is rejected with a finding, and the next one within the limit is applied', () => {
	const store = new ConfigurationStore();
	const replica = new ConfigurationReplica(store);
	const respond = (revision: number, text: string) => {
		const entries = [{path: '/teams/a/routes/ask', revision, value: {service: text}}];
		replica.handleServiceResponse({kind: 'whole', after: noRevision, ownRevision: store.revision}, {revision: createRevision(revision), entries}, 0);
	};

	respond(1, 'assistant');
	respond(2, 'x'.repeat(maxTreeBytes));
	expect([store.revision, store.findings.map(({key}) => key)]).to.deep.equal([1, ['oversized']]);
	respond(3, 'booking');
	expect([store.revision, store.findings]).to.deep.equal([3, []]);
});

it('different content at the current revision is a finding, and the next revision of the service replaces it', () => {
	const network = new ConfigNetwork(44, [3]);
	network.service.snapshot();
	network.service.publish(1, false);
	network.settle(3);
	network.service.restore();
	network.service.publish(2, false);
	network.settle(3);
	const findings = () => network.alive.flatMap(({store}) => store.findings.map(({key}) => key));
	expect(new Set(network.alive.map(({store}) => store.limitsOf('team-1').weight))).to.deep.equal(new Set([1]));
	network.service.publish(3, false);
	network.settle(3);
	const trees = network.alive.map(({store}) => [...store.current.entries.keys()]);
	expect(trees).to.deep.equal(Array.from({length: 3}, () => ['/teams/team-2/limits', '/teams/team-3/limits']));
	expect(findings()).to.deep.equal([]);
});
