/** Manifests: the ordered chunk digests of one version. */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {type Digest, digestOf, isDigest} from '../ids/digest.ts';

const digestText = z.string().refine(isDigest, 'must be a SHA-256 digest');

/** Schema of a manifest. */
export const manifestSchema = z.object({
	model: z.string(),
	version: z.string(),
	/** The size of every chunk except the last, in bytes. */
	chunk_bytes: z.number().int().positive(),
	total_bytes: z.number().int().nonnegative(),
	chunks: z.array(digestText),
});

/** The parsed content of a manifest. */
export type Manifest = z.infer<typeof manifestSchema>;

/**
 * Parses a manifest.
 *
 * @param bytes - JSON that was already verified against the published digest
 * @throws ZodError when the content does not match the schema
 */
export function parseManifest(bytes: Uint8Array): Manifest {
	return manifestSchema.parse(JSON.parse(Buffer.from(bytes).toString('utf8')));
}

/** What is published of the weights that a manifest lists; a size of 0 is not published. */
export type PublishedWeights = {readonly model: string; readonly version: number; readonly chunkCount: number; readonly chunkBytes: number};

/**
 * Returns why a manifest cannot be that of the published weights; undefined if it can. An answer that was altered on its way may still be
 * well-formed, and weights would count as complete with the chunks that it lists.
 */
export function findManifestFault(manifest: Manifest, {model, version, chunkCount, chunkBytes}: PublishedWeights): string | undefined {
	if (manifest.model !== model || manifest.version !== String(version)) {
		return `it is that of ${JSON.stringify(manifest.model)}, version ${manifest.version}`;
	}

	if (chunkCount > 0 && manifest.chunks.length !== chunkCount) {
		return `it lists ${manifest.chunks.length} chunks instead of ${chunkCount}`;
	}

	return chunkBytes > 0 && manifest.chunk_bytes !== chunkBytes ? `its chunks have ${manifest.chunk_bytes} bytes instead of ${chunkBytes}` : undefined;
}

/**
 * Splits weights into chunks and creates their manifest.
 *
 * @param model - the model's name
 * @param version - the version's name
 * @param weights - the whole weights
 * @param chunkBytes - the size of every chunk except the last, in bytes
 */
export function createManifest(model: string, version: string, weights: Uint8Array, chunkBytes: number): {bytes: Buffer; digest: Digest; chunks: Map<Digest, Uint8Array>} {
	const chunks = new Map<Digest, Uint8Array>();
	const order: Digest[] = [];
	for (let at = 0; at < weights.length; at += chunkBytes) {
		const chunk = weights.subarray(at, at + chunkBytes);
		const digest = digestOf(chunk);
		chunks.set(digest, chunk);
		order.push(digest);
	}

	const manifest: Manifest = {
		model, version, chunk_bytes: chunkBytes, total_bytes: weights.length, chunks: order,
	};
	const bytes = Buffer.from(JSON.stringify(manifest));
	return {bytes, digest: digestOf(bytes), chunks};
}
