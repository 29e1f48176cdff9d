/** The identifier of an availability zone. */
import type {Branded} from '../runtime/branded.ts';
import {isIdText, requireIdText} from './id-text.ts';

/** Identifies an availability zone. */
export type ZoneId = Branded<string, 'ZoneId'>;

/**
 * Tells whether a value has the form of a ZoneId.
 *
 * @param value - any value
 */
export function isZoneId(value: unknown): value is ZoneId {
	return isIdText(value);
}

/**
 * Creates a ZoneId from text.
 *
 * @param text - 1 to 128 letters, digits, dots, dashes, underscores or colons
 * @throws InvalidIdError when the text has another form
 */
export function createZoneId(text: string): ZoneId {
	return requireIdText(text, 'ZoneId') as ZoneId;
}
