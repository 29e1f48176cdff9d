/** The identifier of a part of a prompt that several calls may share. */
import type {Branded} from '../runtime/branded.ts';
import {digestOf} from './digest.ts';
import {isIdText} from './id-text.ts';

/** Identifies a part of a prompt, such as a system prompt or a document. */
export type PromptPartId = Branded<string, 'PromptPartId'>;

/** Maximum length of an ID, in characters. Callers choose the IDs, and gateways keep and exchange them. */
const maxLength = 32;

/**
 * Returns whether a value is a valid PromptPartId.
 */
export function isPromptPartId(value: unknown): value is PromptPartId {
	return isIdText(value) && value.length <= maxLength;
}

/**
 * Creates a PromptPartId from any text; a digest takes the place of one that is long or has other characters than IDs may have.
 *
 * @param text - the ID as the caller wrote it
 */
export function createPromptPartId(text: string): PromptPartId {
	return (isPromptPartId(text) ? text : digestOf(text).slice(0, maxLength)) as PromptPartId;
}
