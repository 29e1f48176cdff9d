/** Revision numbers of the published configuration. */
import VError from 'verror';
import type {Branded} from '../runtime/branded.ts';

/** The revision of the published configuration: an integer that increases with each change; 0 means that nothing has been published. */
export type Revision = Branded<number, 'Revision'>;

/** The revision before the first publication. */
export const noRevision = 0 as Revision;

/** Returns whether a value is a valid revision. */
export function isRevision(value: unknown): value is Revision {
	return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
}

/**
 * Creates a revision from a number.
 *
 * @param value - an integer of at least 0
 * @throws VError for any other number
 */
export function createRevision(value: number): Revision {
	if (!isRevision(value)) {
		throw new VError('revision: %s is not a whole number of at least 0', value);
	}

	return value;
}
