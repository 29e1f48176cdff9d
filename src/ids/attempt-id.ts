/** The identifier of one try of an entry to run a request at one agent. */
import type {Branded} from '../runtime/branded.ts';
import {isIdText, requireIdText} from './id-text.ts';

/** Identifies one try of an entry to run a request at one agent. */
export type AttemptId = Branded<string, 'AttemptId'>;

/**
 * Tells whether a value has the form of a AttemptId.
 *
 * @param value - any value
 */
export function isAttemptId(value: unknown): value is AttemptId {
	return isIdText(value);
}

/**
 * Creates a AttemptId from text.
 *
 * @param text - 1 to 128 letters, digits, dots, dashes, underscores or colons
 * @throws InvalidIdError when the text has another form
 */
export function createAttemptId(text: string): AttemptId {
	return requireIdText(text, 'AttemptId') as AttemptId;
}
