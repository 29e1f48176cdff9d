/** Runs all tests: several files side by side, then those that measure memory and descriptors one at a time. The last line is `N passed, N failed`. */
import {spawn} from 'node:child_process';
import {createInterface} from 'node:readline';
import process from 'node:process';

/** Test files that run at the same time. Most of their time is spent waiting. */
const jobs = 3;

/** Tests of what a process takes under a crowd of clients; other load would change it. */
const aloneFiles = ['test/untrusted-clients.test.ts', 'test/untrusted-clients-roles.test.ts'];

const runs = [
	['--parallel', '--jobs', String(jobs), ...aloneFiles.flatMap(file => ['--ignore', file]), 'test/**/*.test.ts'],
	aloneFiles,
];

const summaryPattern = /^(\d+) passed, (\d+) failed$/;

/** Runs mocha and prints its output; returns its exit code, and the numbers of its last line. */
async function run(args) {
	const child = spawn(process.execPath, ['node_modules/mocha/bin/mocha.js', ...args], {stdio: ['ignore', 'pipe', 'inherit']});
	const ended = new Promise(resolve => {
		child.once('exit', code => {
			resolve(code ?? 1);
		});
	});
	let counts = [0, 0];
	for await (const line of createInterface({input: child.stdout})) {
		const summary = summaryPattern.exec(line);
		if (summary) {
			counts = summary.slice(1).map(Number);
		} else {
			console.log(line);
		}
	}

	return {code: await ended, counts};
}

let isFailed = false;
const total = [0, 0];
for (const args of runs) {
	const {code, counts} = await run(args);
	isFailed ||= code !== 0;
	total[0] += counts[0];
	total[1] += counts[1];
}

console.log(`${total[0]} passed, ${total[1]} failed`);
process.exitCode = isFailed ? 1 : 0;
