/** The identifier of an adapter of a model. */
import type {Branded} from '../runtime/branded.ts';
import {isIdText, requireIdText} from './id-text.ts';

/** Identifies an adapter of a model. */
export type AdapterId = Branded<string, 'AdapterId'>;

/**
 * Returns whether a value is a valid AdapterId.
 */
export function isAdapterId(value: unknown): value is AdapterId {
	return isIdText(value);
}

/**
 * Creates an AdapterId from a string.
 *
 * @param text - 1 to 128 letters, digits, dots, dashes, underscores or colons
 * @throws InvalidIdError if the string has any other form
 */
export function createAdapterId(text: string): AdapterId {
	return requireIdText(text, 'AdapterId') as AdapterId;
}
