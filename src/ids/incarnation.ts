/** The identifier of one run of a process; a restarted process has a new one. */
import type {Branded} from '../runtime/branded.ts';
import {isIdText, requireIdText} from './id-text.ts';

/** Identifies one run of a process; a restarted process has a new one. */
export type Incarnation = Branded<string, 'Incarnation'>;

/**
 * Tells whether a value has the form of a Incarnation.
 *
 * @param value - any value
 */
export function isIncarnation(value: unknown): value is Incarnation {
	return isIdText(value);
}

/**
 * Creates a Incarnation from text.
 *
 * @param text - 1 to 128 letters, digits, dots, dashes, underscores or colons
 * @throws InvalidIdError when the text has another form
 */
export function createIncarnation(text: string): Incarnation {
	return requireIdText(text, 'Incarnation') as Incarnation;
}
