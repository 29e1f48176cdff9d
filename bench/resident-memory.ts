/** Measures resident memory and processor time at rest: a bare Node.js process, entry and agent from the bundle and from the executable. */
import {type ChildProcess, spawn} from 'node:child_process';
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Fleet, type FleetProcess} from '../test/support/fleet.ts';

/** How long processes rest before they are measured, in milliseconds. */
const settleMs = 15_000;

/** How long processor time is measured, in milliseconds. */
const windowMs = 20_000;

const ticksPerSecond = 100;
const kilobytesPerMegabyte = 1024;

type Sample = {readonly name: string; readonly residentMb: number; readonly ownMb: number; readonly ticks: number};

const executable = 'dist/cactusreach';
const bare = spawn(process.execPath, ['-e', 'setInterval(() => {}, 1000)']);
const fleets: Fleet[] = [];
try {
	const targets: Array<{name: string; child: ChildProcess}> = [{name: 'bare node', child: bare}];
	targets.push(...await startFleet('bundle', undefined));
	if (existsSync(executable)) {
		targets.push(...await startFleet('executable', executable));
	}

	await sleep(settleMs);
	const before = targets.map(target => measure(target.name, target.child));
	await sleep(windowMs);
	const after = targets.map(target => measure(target.name, target.child));
	console.log('process                 resident   of it own   processor at rest');
	for (const [at, {name, residentMb, ownMb, ticks}] of after.entries()) {
		const seconds = (ticks - (before[at]?.ticks ?? 0)) / ticksPerSecond;
		const share = 100 * seconds / (windowMs / 1000);
		console.log(`${name.padEnd(22)} ${residentMb.toFixed(1).padStart(6)} MB  ${ownMb.toFixed(1).padStart(6)} MB     ${share.toFixed(2).padStart(6)} %`);
	}
} finally {
	bare.kill('SIGKILL');
	await Promise.all(fleets.map(async fleet => fleet.stop()));
}

async function startFleet(kind: string, program: string | undefined): Promise<Array<{name: string; child: ChildProcess}>> {
	const fleet = new Fleet(undefined, program);
	fleets.push(fleet);
	await fleet.start();
	fleet.platform.publish({'/services/assistant': {kind: 'engine'}, '/services/booking': {kind: 'plain'}});
	const started: Array<[string, FleetProcess]> = [
		['entry', await fleet.entry('vm-entry')],
		['agent (plain)', await fleet.plainAgent('vm-booking', 'booking')],
		['agent (engine)', await fleet.engineAgent('vm-engine', 'assistant')],
	];
	return started.map(([name, {child}]) => ({name: `${name}, ${kind}`, child}));
}

function measure(name: string, child: ChildProcess): Sample {
	const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
	const stat = readFileSync(`/proc/${child.pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const megabytes = (key: string) => Number(new RegExp(`^${key}:\\s+(\\d+) kB`, 'm').exec(status)?.[1]) / kilobytesPerMegabyte;
	return {
		name, residentMb: megabytes('VmRSS'), ownMb: megabytes('RssAnon'), ticks: Number(fields[11]) + Number(fields[12]),
	};
}
