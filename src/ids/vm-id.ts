/** The identifier of a VM of the fleet, unique over its lifetime. */
import type {Branded} from '../runtime/branded.ts';
import {isIdText, requireIdText} from './id-text.ts';

/** Identifies a VM of the fleet, unique over its lifetime. */
export type VmId = Branded<string, 'VmId'>;

/**
 * Returns whether a value is a valid VmId.
 */
export function isVmId(value: unknown): value is VmId {
	return isIdText(value);
}

/**
 * Creates a VmId from a string.
 *
 * @param text - 1 to 128 letters, digits, dots, dashes, underscores or colons
 * @throws InvalidIdError if the string has any other form
 */
export function createVmId(text: string): VmId {
	return requireIdText(text, 'VmId') as VmId;
}
