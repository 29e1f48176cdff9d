/** Runs a crowd of untrusted clients against one process, and watches what the process takes meanwhile. */
import type {ChildProcess} from 'node:child_process';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {waitFor} from './fleet.ts';
import type {Processes} from './processes.ts';
import {openDescriptors, peakMemoryMb} from './process-usage.ts';

const crowd = path.join(import.meta.dirname, 'crowd.ts');

/** Limits of the process: its heap and its memory in megabytes, and its descriptors, of which some are reserved for files. */
const heapMb = 40;
const memoryMb = 200;
const maxDescriptors = 700;
const reservedDescriptors = 200;

const sampleIntervalMs = 20;

/** How long the crowd stays after it has sent everything, in milliseconds. */
const settleMs = 1500;

/** Options of Node.js for the process. */
export const crowdedNodeOptions: readonly string[] = [`--max-old-space-size=${heapMb}`, '--max-semi-space-size=1', '--optimize-for-size'];

/** Settings of the process. */
export const crowdedLimits = {memory_mb: memoryMb, max_descriptors: maxDescriptors};

/** The settings as lines of a file. */
export const crowdedLimitLines = Object.entries(crowdedLimits).map(([key, value]) => `${key} = ${value}\n`).join('');

/** A crowd. */
export type CrowdOptions = {
	readonly processes: Processes;
	/** The process that the crowd calls. */
	readonly child: ChildProcess;
	readonly url: string;
	/** The kinds of clients, separated by commas, and how many there are of each. */
	readonly kinds: string;
	readonly count: number;
	/** The path of their requests. */
	readonly path: string;
	/** Sends an ordinary request; returns whether it was served. */
	readonly isServed: () => Promise<boolean>;
};

/** Expects that a process lives within its memory and descriptors while a crowd stays, and serves an ordinary request afterwards. */
export async function expectToOutlast(options: CrowdOptions): Promise<void> {
	const {child, isServed} = options;
	const clients = options.processes.start(['--import', 'tsx', crowd, options.url, options.kinds, String(options.count), options.path]);
	const hasEnded = () => child.exitCode !== null || child.signalCode !== null;
	let descriptors = 0;
	let untilMs = Number.POSITIVE_INFINITY;
	while (!hasEnded() && performance.now() < untilMs) {
		if (untilMs === Number.POSITIVE_INFINITY && clients.out().includes('done')) {
			untilMs = performance.now() + settleMs;
		}

		descriptors = Math.max(descriptors, openDescriptors(child));
		await sleep(sampleIntervalMs);
	}

	const peakMb = hasEnded() ? Number.NaN : peakMemoryMb(child);
	clients.child.kill('SIGKILL');
	const text = JSON.stringify({
		exitCode: child.exitCode, signal: child.signalCode, peakMb, descriptors,
	});
	expect(hasEnded(), text).to.equal(false);
	expect(peakMb, text).to.be.below(memoryMb);
	expect(descriptors, text).to.be.at.most(maxDescriptors - reservedDescriptors);
	await waitFor('an ordinary request is served', async () => hasEnded() || isServed());
	expect(hasEnded(), text).to.equal(false);
}
