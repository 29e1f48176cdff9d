/** The long run by hand: `npm run soak -- --seeds 1-50`. */
import path from 'node:path';
import process from 'node:process';
import {cac} from 'cac';
import {runSoak} from './run-soak.ts';
import {faults} from './soak-faults.ts';
import {regressions} from './soak-regressions.ts';

type Options = {
	readonly seeds: string;
	readonly seconds: number;
	readonly gateways: number;
	readonly engines: number;
	readonly plain: number;
	readonly callers: number;
	readonly groups: string;
	readonly folder: string;
};

const msPerSecond = 1000;

/** Violations of one check that are printed; all are in the folder of the run. */
const maxPrinted = 5;

const cli = cac('soak');

cli.command('', 'Run seeds of the soak, one after the other')
	.option('--seeds <list>', 'Seeds, such as 1-50 or 3,7, or "regressions"', {default: '1'})
	.option('--seconds <number>', 'How long faults are injected', {default: 15})
	.option('--gateways <number>', 'Gateways', {default: 3})
	.option('--engines <number>', 'Engines, each with a stager', {default: 4})
	.option('--plain <number>', 'Plain workers', {default: 3})
	.option('--callers <number>', 'Callers of each gateway', {default: 12})
	.option('--groups <list>', 'Groups of faults, or single ones such as workers.crash', {default: Object.keys(faults).join(',')})
	.option('--folder <path>', 'Where settings and logs are left', {default: path.join(import.meta.dirname, '../target/soak')})
	.action(async ({
		seeds, seconds, gateways, engines, plain, callers, groups, folder,
	}: Options) => {
		let failed = 0;
		const runs = seeds === 'regressions' ? regressions : parseSeeds(String(seeds)).map(seed => ({seed, groups}));
		for (const {seed, groups: runGroups} of runs) {
			const {violations, ...counts} = await runSoak({
				seed, faultsMs: seconds * msPerSecond, size: {gateways, engines, plain}, callersPerGateway: callers, groups: runGroups.split(','), folder: path.join(folder, `seed-${seed}`),
			});
			const names = Object.keys(violations);
			failed += names.length > 0 ? 1 : 0;
			console.log(`seed ${seed}: ${names.length === 0 ? 'passed' : 'FAILED'} ${JSON.stringify(counts)}`);
			for (const [name, list] of Object.entries(violations)) {
				console.log(`  ${name}: ${list.length}\n${list.slice(0, maxPrinted).map(text => `    ${text}`).join('\n')}`);
			}
		}

		process.exitCode = failed > 0 ? 1 : 0;
	});
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	// Processes of the run are killed at the exit.
	process.once(signal, () => {
		process.exit(1);
	});
}

cli.help();
cli.parse();

function parseSeeds(text: string): number[] {
	return text.split(',').flatMap(part => {
		const [first, last] = part.split('-').map(Number) as [number, number | undefined];
		return Array.from({length: (last ?? first) - first + 1}, (_, at) => first + at);
	});
}
