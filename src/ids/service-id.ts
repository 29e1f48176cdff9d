/** The identifier of a service that upstreams offer. */
import type {Branded} from '../runtime/branded.ts';
import {isIdText, requireIdText} from './id-text.ts';

/** Identifies a service that upstreams offer. */
export type ServiceId = Branded<string, 'ServiceId'>;

/**
 * Tells whether a value has the form of a ServiceId.
 *
 * @param value - any value
 */
export function isServiceId(value: unknown): value is ServiceId {
	return isIdText(value);
}

/**
 * Creates a ServiceId from text.
 *
 * @param text - 1 to 128 letters, digits, dots, dashes, underscores or colons
 * @throws InvalidIdError when the text has another form
 */
export function createServiceId(text: string): ServiceId {
	return requireIdText(text, 'ServiceId') as ServiceId;
}
