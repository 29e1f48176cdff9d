/** The identifier of one request of a caller, as the caller or the entry named it. */
import type {Branded} from '../runtime/branded.ts';
import {isIdText, requireIdText} from './id-text.ts';

/** Identifies one request of a caller, as the caller or the entry named it. */
export type RequestId = Branded<string, 'RequestId'>;

/**
 * Tells whether a value has the form of a RequestId.
 *
 * @param value - any value
 */
export function isRequestId(value: unknown): value is RequestId {
	return isIdText(value);
}

/**
 * Creates a RequestId from text.
 *
 * @param text - 1 to 128 letters, digits, dots, dashes, underscores or colons
 * @throws InvalidIdError when the text has another form
 */
export function createRequestId(text: string): RequestId {
	return requireIdText(text, 'RequestId') as RequestId;
}
