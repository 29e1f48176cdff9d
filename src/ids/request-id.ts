/** The identifier of one request of a caller, chosen by the caller, or else by the entry. */
import type {Branded} from '../runtime/branded.ts';
import {isIdText, requireIdText} from './id-text.ts';

/** Identifies one request of a caller, chosen by the caller, or else by the entry. */
export type RequestId = Branded<string, 'RequestId'>;

/**
 * Returns whether a value is a valid RequestId.
 */
export function isRequestId(value: unknown): value is RequestId {
	return isIdText(value);
}

/**
 * Creates a RequestId from a string.
 *
 * @param text - 1 to 128 letters, digits, dots, dashes, underscores or colons
 * @throws InvalidIdError if the string has any other form
 */
export function createRequestId(text: string): RequestId {
	return requireIdText(text, 'RequestId') as RequestId;
}
