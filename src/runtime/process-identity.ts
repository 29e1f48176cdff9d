/** The identity of one run of a process, which distinguishes it from earlier runs on the same VM. */
import {randomBytes} from 'node:crypto';
import {createIncarnation, type Incarnation} from '../ids/incarnation.ts';

const incarnationBytes = 8;

/** Identifies one run of a process. */
export type ProcessIdentity = {
	readonly incarnation: Incarnation;
	/** Wall-clock time of the start, in milliseconds since the Unix epoch. */
	readonly startedAtMs: number;
};

/** Creates an identity from the current time, as the start time, and random bytes. */
export function createIdentity(): ProcessIdentity {
	const startedAtMs = Date.now();
	return {incarnation: createIncarnation(`${startedAtMs}-${randomBytes(incarnationBytes).toString('hex')}`), startedAtMs};
}
