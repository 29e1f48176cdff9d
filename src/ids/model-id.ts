/** The identifier of a model. */
import type {Branded} from '../runtime/branded.ts';
import {isIdText, requireIdText} from './id-text.ts';

/** Identifies a model. */
export type ModelId = Branded<string, 'ModelId'>;

/**
 * Tells whether a value has the form of a ModelId.
 *
 * @param value - any value
 */
export function isModelId(value: unknown): value is ModelId {
	return isIdText(value);
}

/**
 * Creates a ModelId from text.
 *
 * @param text - 1 to 128 letters, digits, dots, dashes, underscores or colons
 * @throws InvalidIdError when the text has another form
 */
export function createModelId(text: string): ModelId {
	return requireIdText(text, 'ModelId') as ModelId;
}
