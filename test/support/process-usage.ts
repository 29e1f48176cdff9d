/** The memory and the descriptors of a process, as the kernel shows them. */
import type {ChildProcess} from 'node:child_process';
import {readdirSync, readFileSync} from 'node:fs';

const kilobytesPerMegabyte = 1000;

/** Returns the largest resident memory that a process has had, in megabytes. */
export function peakMemoryMb({pid}: ChildProcess): number {
	return Number(/^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]) / kilobytesPerMegabyte;
}

/** Returns the number of open descriptors of a process. */
export function openDescriptors({pid}: ChildProcess): number {
	return readdirSync(`/proc/${pid}/fd`).length;
}
