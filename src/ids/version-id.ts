/** The identifier of a version of a model. */
import type {Branded} from '../runtime/branded.ts';
import {isIdText, requireIdText} from './id-text.ts';

/** Identifies a version of a model. */
export type VersionId = Branded<string, 'VersionId'>;

/**
 * Returns whether a value is a valid VersionId.
 */
export function isVersionId(value: unknown): value is VersionId {
	return isIdText(value);
}

/**
 * Creates a VersionId from a string.
 *
 * @param text - 1 to 128 letters, digits, dots, dashes, underscores or colons
 * @throws InvalidIdError if the string has any other form
 */
export function createVersionId(text: string): VersionId {
	return requireIdText(text, 'VersionId') as VersionId;
}
