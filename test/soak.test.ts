/** A short run of the soak (`soak/`) with fixed seeds. `npm run soak -- --seeds 1-50` is the long one, by hand. */
import path from 'node:path';
import {expect} from 'chai';
import {runSoak, type SoakOptions} from '../soak/run-soak.ts';

const seconds = 1000;
const base = {
	faultsMs: 6 * seconds, size: {gateways: 2, engines: 3, plain: 2}, callersPerGateway: 8, folder: path.join(import.meta.dirname, '../target/soak-test'),
} as const;

/** The runs, by what they guard against. Seeds that failed by hand are listed in docs/PROOFS.md with their causes. */
const runs: Readonly<Record<string, Pick<SoakOptions, 'seed' | 'groups'>>> = {
	'planned stops, kills and pauses of gateways while workers pause, crash and leave': {seed: 1, groups: ['signals', 'workers']},
	'faults of the store and changes of the configuration in series': {seed: 2, groups: ['signals', 'workers', 'store']},
	'a store that comes back from older copies of itself while workers and the configuration change': {seed: 5, groups: ['workers', 'store', 'returns']},
	'clients that stall, send without end or do not read, beside planned stops and kills': {seed: 6, groups: ['signals', 'clients']},
	'faults of the connections to workers and to the store': {seed: 3, groups: ['signals', 'workers', 'links']},
};

for (const [name, {seed, groups}] of Object.entries(runs)) {
	it(`guards against calls that are lost, repeated or mixed up in ${name} (seed ${seed})`, async () => {
		const {violations, calls} = await runSoak({...base, seed, groups});
		expect(violations).to.deep.equal({});
		expect(calls['200']).to.be.greaterThan(100);
	}).timeout(60 * seconds);
}
