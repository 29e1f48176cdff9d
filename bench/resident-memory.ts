/** Measures resident memory and processor time of idle processes: bare Node.js, and entry and agents run from the bundle and from the executable. */
import {type ChildProcess, spawn} from 'node:child_process';
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Fleet, type FleetProcess} from '../test/support/fleet.ts';

/** Time that the processes idle before the measurement, in milliseconds. */
const settleMs = 15_000;

/** Duration of the measurement of processor time, in milliseconds. */
const measurementMs = 20_000;

const ticksPerSecond = 100;
const kilobytesPerMegabyte = 1024;

type Sample = {readonly name: string; readonly residentMb: number; readonly anonymousMb: number; readonly ticks: number};

const executable = 'dist/cactusreach';
const bareNode = spawn(process.execPath, ['-e', 'setInterval(() => {}, 1000)']);
const fleets: Fleet[] = [];
try {
	const targets: Array<{name: string; child: ChildProcess}> = [{name: 'bare node', child: bareNode}];
	targets.push(...await startFleet('bundle', undefined));
	if (existsSync(executable)) {
		targets.push(...await startFleet('executable', executable));
	}

	await sleep(settleMs);
	const before = targets.map(target => measure(target.name, target.child));
	await sleep(measurementMs);
	const after = targets.map(target => measure(target.name, target.child));
	console.log('process                 resident   of it own   processor at rest');
	for (const [index, {name, residentMb, anonymousMb, ticks}] of after.entries()) {
		const seconds = (ticks - (before[index]?.ticks ?? 0)) / ticksPerSecond;
		const share = 100 * seconds / (measurementMs / 1000);
		console.log(`${name.padEnd(22)} ${residentMb.toFixed(1).padStart(6)} MB  ${anonymousMb.toFixed(1).padStart(6)} MB     ${share.toFixed(2).padStart(6)} %`);
	}
} finally {
	bareNode.kill('SIGKILL');
	await Promise.all(fleets.map(async fleet => fleet.stop()));
}

async function startFleet(kind: string, executablePath: string | undefined): Promise<Array<{name: string; child: ChildProcess}>> {
	const fleet = new Fleet(undefined, executablePath);
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
		name, residentMb: megabytes('VmRSS'), anonymousMb: megabytes('RssAnon'), ticks: Number(fields[11]) + Number(fields[12]),
	};
}
