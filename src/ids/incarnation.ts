/** The identifier of one run of a process; a restarted process gets a new one. */
import type {Branded} from '../runtime/branded.ts';
import {isIdText, requireIdText} from './id-text.ts';

/** Identifies one run of a process; a restarted process gets a new one. */
export type Incarnation = Branded<string, 'Incarnation'>;

/**
 * Returns whether a value is a valid Incarnation.
 */
export function isIncarnation(value: unknown): value is Incarnation {
	return isIdText(value);
}

/**
 * Creates an Incarnation from a string.
 *
 * @param text - 1 to 128 letters, digits, dots, dashes, underscores or colons
 * @throws InvalidIdError if the string has any other form
 */
export function createIncarnation(text: string): Incarnation {
	return requireIdText(text, 'Incarnation') as Incarnation;
}
