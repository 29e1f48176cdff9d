/** SHA-256 digests, which identify chunks, manifests and configuration trees by their content. */
import {createHash} from 'node:crypto';
import VError from 'verror';
import type {Branded} from '../runtime/branded.ts';

/** A SHA-256 digest as 64 lower-case hexadecimal digits. */
export type Digest = Branded<string, 'Digest'>;

const digestPattern = /^[\da-f]{64}$/;

/** Returns whether a value has the form of a digest. */
export function isDigest(value: unknown): value is Digest {
	return typeof value === 'string' && digestPattern.test(value);
}

/**
 * Creates a digest from a hexadecimal string.
 *
 * @param text - 64 lower-case hexadecimal digits
 * @throws VError if the string has any other form
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
 * @param content - bytes, or a string that is encoded as UTF-8
 */
export function digestOf(content: Uint8Array | string): Digest {
	return createHash('sha256').update(content).digest('hex') as Digest;
}
