/** The identifier of a model. */
import type {Branded} from '../runtime/branded.ts';
import {isIdText, requireIdText} from './id-text.ts';

/** Identifies a model. */
export type ModelId = Branded<string, 'ModelId'>;

/**
 * Returns whether a value is a valid ModelId.
 */
export function isModelId(value: unknown): value is ModelId {
	return isIdText(value);
}

/**
 * Creates a ModelId from a string.
 *
 * @param text - 1 to 128 letters, digits, dots, dashes, underscores or colons
 * @throws InvalidIdError if the string has any other form
 */
export function createModelId(text: string): ModelId {
	return requireIdText(text, 'ModelId') as ModelId;
}
