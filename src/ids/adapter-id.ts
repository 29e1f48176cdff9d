/** The identifier of an adapter of a model. */
import type {Branded} from '../runtime/branded.ts';
import {isIdText, requireIdText} from './id-text.ts';

/** Identifies an adapter of a model. */
export type AdapterId = Branded<string, 'AdapterId'>;

/**
 * Tells whether a value has the form of a AdapterId.
 *
 * @param value - any value
 */
export function isAdapterId(value: unknown): value is AdapterId {
	return isIdText(value);
}

/**
 * Creates a AdapterId from text.
 *
 * @param text - 1 to 128 letters, digits, dots, dashes, underscores or colons
 * @throws InvalidIdError when the text has another form
 */
export function createAdapterId(text: string): AdapterId {
	return requireIdText(text, 'AdapterId') as AdapterId;
}
