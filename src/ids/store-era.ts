/** The era of the directory's source, which rises each time the source comes back from an older copy. */
import VError from 'verror';
import type {Branded} from '../runtime/branded.ts';

/** An era of the source: an integer that rises by one each time the source comes back from an older copy of itself. */
export type StoreEra = Branded<number, 'StoreEra'>;

/** The era of a source, or of a message, that names none. */
export const noEra = 0 as StoreEra;

/** Returns whether a value is a valid era. */
export function isStoreEra(value: unknown): value is StoreEra {
	return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
}

/**
 * Creates an era from a number.
 *
 * @param value - an integer of at least 0
 * @throws VError for any other number
 */
export function createStoreEra(value: number): StoreEra {
	if (!isStoreEra(value)) {
		throw new VError('era: %s is not a whole number of at least 0', value);
	}

	return value;
}
