/** SHA-256 digests that name content: chunks, manifests and configuration trees. */
import {createHash} from 'node:crypto';
import VError from 'verror';
import type {Branded} from '../runtime/branded.ts';

/** A SHA-256 digest as 64 lower-case hexadecimal digits. */
export type Digest = Branded<string, 'Digest'>;

const digestPattern = /^[\da-f]{64}$/;

/**
 * Tells whether a value has the form of a digest.
 *
 * @param value - any value
 */
export function isDigest(value: unknown): value is Digest {
	return typeof value === 'string' && digestPattern.test(value);
}

/**
 * Creates a digest from its hexadecimal text.
 *
 * @param text - 64 lower-case hexadecimal digits
 * @throws VError when the text has another form
 */
export function createDigest(text: string): Digest {
	if (!isDigest(text)) {
		throw new VError('digest: %j is not 64 lower-case hexadecimal digits', text);
	}

	return text;
}

/**
 * Computes the digest of content.
 *
 * @param content - bytes, or text taken as UTF-8
 */
export function digestOf(content: Uint8Array | string): Digest {
	return createHash('sha256').update(content).digest('hex') as Digest;
}
