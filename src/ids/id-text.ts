/** The string format shared by all identifiers, which needs no escaping in headers, URL paths and log lines. */
import VError from 'verror';

const idTextPattern = /^[\w.:-]{1,128}$/;

/** Thrown for a string that is not a valid identifier. */
export class InvalidIdError extends VError {}

/** Returns whether a value is a string in the shared format. */
export function isIdText(value: unknown): value is string {
	return typeof value === 'string' && idTextPattern.test(value);
}

/**
 * Returns the string if it has the shared format.
 *
 * @param kind - the name of the id type, for the error message
 * @throws InvalidIdError if the string has any other form
 */
export function requireIdText(text: string, kind: string): string {
	if (!isIdText(text)) {
		throw new InvalidIdError('%s: %j is not 1 to 128 letters, digits, dots, dashes, underscores or colons', kind, text);
	}

	return text;
}
