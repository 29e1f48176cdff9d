/** The identifier of a region, which holds one or more availability zones. */
import type {Branded} from '../runtime/branded.ts';
import {isIdText, requireIdText} from './id-text.ts';

/** Identifies a region, which holds one or more availability zones. */
export type RegionId = Branded<string, 'RegionId'>;

/**
 * Tells whether a value has the form of a RegionId.
 *
 * @param value - any value
 */
export function isRegionId(value: unknown): value is RegionId {
	return isIdText(value);
}

/**
 * Creates a RegionId from text.
 *
 * @param text - 1 to 128 letters, digits, dots, dashes, underscores or colons
 * @throws InvalidIdError when the text has another form
 */
export function createRegionId(text: string): RegionId {
	return requireIdText(text, 'RegionId') as RegionId;
}
