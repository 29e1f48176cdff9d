/** What tells one run of a process from another. */
import {randomBytes} from 'node:crypto';
import {createIncarnation, type Incarnation} from '../ids/incarnation.ts';

const incarnationBytes = 8;

/** One run of a process. */
export type ProcessIdentity = {
	readonly incarnation: Incarnation;
	/** Wall-clock start, in milliseconds since 1970. */
	readonly startedAtMs: number;
};

/** Creates the identity of this run from the start time and random bytes. */
export function createIdentity(): ProcessIdentity {
	const startedAtMs = Date.now();
	return {incarnation: createIncarnation(`${startedAtMs}-${randomBytes(incarnationBytes).toString('hex')}`), startedAtMs};
}
