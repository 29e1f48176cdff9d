/** The identifier of one attempt of an entry to run a request at one agent. */
import type {Branded} from '../runtime/branded.ts';
import {isIdText, requireIdText} from './id-text.ts';

/** Identifies one attempt of an entry to run a request at one agent. */
export type AttemptId = Branded<string, 'AttemptId'>;

/**
 * Returns whether a value is a valid AttemptId.
 */
export function isAttemptId(value: unknown): value is AttemptId {
	return isIdText(value);
}

/**
 * Creates an AttemptId from a string.
 *
 * @param text - 1 to 128 letters, digits, dots, dashes, underscores or colons
 * @throws InvalidIdError if the string has any other form
 */
export function createAttemptId(text: string): AttemptId {
	return requireIdText(text, 'AttemptId') as AttemptId;
}
