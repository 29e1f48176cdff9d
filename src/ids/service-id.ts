/** The identifier of a service that upstreams offer. */
import type {Branded} from '../runtime/branded.ts';
import {isIdText, requireIdText, requireNameText} from './id-text.ts';

/** Identifies a service that upstreams offer. */
export type ServiceId = Branded<string, 'ServiceId'>;

/**
 * Returns whether a value is a valid ServiceId.
 */
export function isServiceId(value: unknown): value is ServiceId {
	return isIdText(value);
}

/**
 * Creates a ServiceId from a string.
 *
 * @param text - 1 to 128 letters, digits, dots, dashes, underscores or colons
 * @throws InvalidIdError if the string has any other form
 */
export function createServiceId(text: string): ServiceId {
	return requireIdText(text, 'ServiceId') as ServiceId;
}

/**
 * Creates a ServiceId from the name that operators gave to a service, which may hold spaces and letters of any language.
 *
 * @throws InvalidIdError if the name is empty, longer than 256 characters or holds a control character
 */
export function createServiceIdFromName(name: string): ServiceId {
	return requireNameText(name, 'ServiceId') as ServiceId;
}
