/** The identifier of a region, which consists of one or more availability zones. */
import type {Branded} from '../runtime/branded.ts';
import {isIdText, requireIdText} from './id-text.ts';

/** Identifies a region, which consists of one or more availability zones. */
export type RegionId = Branded<string, 'RegionId'>;

/**
 * Returns whether a value is a valid RegionId.
 */
export function isRegionId(value: unknown): value is RegionId {
	return isIdText(value);
}

/**
 * Creates a RegionId from a string.
 *
 * @param text - 1 to 128 letters, digits, dots, dashes, underscores or colons
 * @throws InvalidIdError if the string has any other form
 */
export function createRegionId(text: string): RegionId {
	return requireIdText(text, 'RegionId') as RegionId;
}
