/** The identifier of an availability zone. */
import type {Branded} from '../runtime/branded.ts';
import {isIdText, requireIdText} from './id-text.ts';

/** Identifies an availability zone. */
export type ZoneId = Branded<string, 'ZoneId'>;

/**
 * Returns whether a value is a valid ZoneId.
 */
export function isZoneId(value: unknown): value is ZoneId {
	return isIdText(value);
}

/**
 * Creates a ZoneId from a string.
 *
 * @param text - 1 to 128 letters, digits, dots, dashes, underscores or colons
 * @throws InvalidIdError if the string has any other form
 */
export function createZoneId(text: string): ZoneId {
	return requireIdText(text, 'ZoneId') as ZoneId;
}
