/** The identifier of a workspace, the account that many callers share. */
import type {Branded} from '../runtime/branded.ts';
import {isIdText, requireIdText, requireNameText} from './id-text.ts';

/** Identifies a workspace, the account that many callers share. */
export type WorkspaceId = Branded<string, 'WorkspaceId'>;

/**
 * Returns whether a value is a valid WorkspaceId.
 */
export function isWorkspaceId(value: unknown): value is WorkspaceId {
	return isIdText(value);
}

/**
 * Creates a WorkspaceId from a string.
 *
 * @param text - 1 to 128 letters, digits, dots, dashes, underscores or colons
 * @throws InvalidIdError if the string has any other form
 */
export function createWorkspaceId(text: string): WorkspaceId {
	return requireIdText(text, 'WorkspaceId') as WorkspaceId;
}

/**
 * Creates a WorkspaceId from the name that operators gave to a workspace, which may hold spaces and letters of any language.
 *
 * @throws InvalidIdError if the name is empty, longer than 256 characters or holds a control character
 */
export function createWorkspaceIdFromName(name: string): WorkspaceId {
	return requireNameText(name, 'WorkspaceId') as WorkspaceId;
}
