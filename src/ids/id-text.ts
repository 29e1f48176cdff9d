/** The text form that all identifiers share: safe in a header, a path and a log line. */
import VError from 'verror';

const idTextPattern = /^[\w.:-]{1,128}$/;

/** Reports an identifier whose text has the wrong form. */
export class InvalidIdError extends VError {}

/**
 * Tells whether a value is text of the shared form.
 *
 * @param value - any value
 */
export function isIdText(value: unknown): value is string {
	return typeof value === 'string' && idTextPattern.test(value);
}

/**
 * Returns the text when it has the shared form.
 *
 * @param text - the candidate
 * @param kind - the name of the id type, for the error message
 * @throws InvalidIdError when the text has another form
 */
export function requireIdText(text: string, kind: string): string {
	if (!isIdText(text)) {
		throw new InvalidIdError('%s: %j is not 1 to 128 letters, digits, dots, dashes, underscores or colons', kind, text);
	}

	return text;
}
