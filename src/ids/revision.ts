/** Revision numbers of the published configuration. */
import VError from 'verror';
import type {Branded} from '../runtime/branded.ts';

/** A configuration revision: a whole number from 0 (nothing published) that grows with each change. */
export type Revision = Branded<number, 'Revision'>;

/** The revision before anything was published. */
export const noRevision = 0 as Revision;

/**
 * Tells whether a value is a revision.
 *
 * @param value - any value
 */
export function isRevision(value: unknown): value is Revision {
	return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
}

/**
 * Creates a revision from a number.
 *
 * @param value - a whole number of at least 0
 * @throws VError for any other number
 */
export function createRevision(value: number): Revision {
	if (!isRevision(value)) {
		throw new VError('revision: %s is not a whole number of at least 0', value);
	}

	return value;
}
