/** The identifier of a VM of the fleet, unique over its lifetime. */
import type {Branded} from '../runtime/branded.ts';
import {isIdText, requireIdText} from './id-text.ts';

/** Identifies a VM of the fleet, unique over its lifetime. */
export type VmId = Branded<string, 'VmId'>;

/**
 * Tells whether a value has the form of a VmId.
 *
 * @param value - any value
 */
export function isVmId(value: unknown): value is VmId {
	return isIdText(value);
}

/**
 * Creates a VmId from text.
 *
 * @param text - 1 to 128 letters, digits, dots, dashes, underscores or colons
 * @throws InvalidIdError when the text has another form
 */
export function createVmId(text: string): VmId {
	return requireIdText(text, 'VmId') as VmId;
}
