/** The string format shared by all identifiers, which needs no escaping in headers, URL paths and log lines. */
import VError from 'verror';

const idTextPattern = /^[\w.:-]{1,128}$/;

/** What operators may call a thing: any text without control characters, which no header can hold. */
const nameTextPattern = /^[^\p{Cc}\p{Cs}]{1,256}$/u;

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

/** Returns whether a text can be a name that operators chose. */
export function isNameText(text: string): boolean {
	return nameTextPattern.test(text);
}

/**
 * Returns a name that operators chose, unless it is none.
 *
 * @param kind - the type of the identifier, for the error
 * @throws InvalidIdError if it is empty, longer than 256 characters or holds a control character
 */
export function requireNameText(text: string, kind: string): string {
	if (!isNameText(text)) {
		throw new InvalidIdError('%s: %j is not 1 to 256 characters without control characters', kind, text);
	}

	return text;
}
