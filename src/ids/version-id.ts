/** The identifier of a version of a model. */
import type {Branded} from '../runtime/branded.ts';
import {isIdText, requireIdText} from './id-text.ts';

/** Identifies a version of a model. */
export type VersionId = Branded<string, 'VersionId'>;

/**
 * Tells whether a value has the form of a VersionId.
 *
 * @param value - any value
 */
export function isVersionId(value: unknown): value is VersionId {
	return isIdText(value);
}

/**
 * Creates a VersionId from text.
 *
 * @param text - 1 to 128 letters, digits, dots, dashes, underscores or colons
 * @throws InvalidIdError when the text has another form
 */
export function createVersionId(text: string): VersionId {
	return requireIdText(text, 'VersionId') as VersionId;
}
