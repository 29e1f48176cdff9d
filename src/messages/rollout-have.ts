/** The exchange of chunk maps between agents; both sides tell what they hold. */
import {z} from 'zod';

/** The JSON-RPC method that exchanges which chunks of a manifest two agents hold. */
export const rolloutHaveMethod = 'rollout.have';

/** What one agent says of its transfer of one manifest. */
export const transferNoticeSchema = z.object({
	/** The VM that the notice is about. */
	vm: z.string(),
	/** One bit per verified chunk in manifest order, base64; empty when the agent does not hold the manifest. */
	bitmap: z.string(),
	/** One bit per chunk that the agent reads from outside its region now, base64. */
	reading: z.string(),
	/** Bytes read so far from outside the region; growth shows that a slow owner is still at work. */
	imported: z.number().nonnegative(),
	/** Copies of this version sent on so far. */
	uploaded: z.number().nonnegative(),
});

/** Names the manifest and carries the caller's own notice. */
export const rolloutHaveParamsSchema = z.object({manifest: z.string(), notice: transferNoticeSchema});

/** The answering agent's notice. */
export const rolloutHaveResultSchema = transferNoticeSchema;

/** What one agent says of its transfer of one manifest. */
export type TransferNotice = z.infer<typeof transferNoticeSchema>;

/** Parameters of {@link rolloutHaveMethod}. */
export type RolloutHaveParams = z.infer<typeof rolloutHaveParamsSchema>;

/** The response header in which a notice rides on a chunk's answer. */
export const noticeHeader = 'x-transfer-notice';

/**
 * Writes a notice as a query string, for a chunk's request or the header of its answer.
 *
 * @param notice - the notice
 */
export function encodeNotice(notice: TransferNotice): string {
	const {vm, bitmap, reading, imported, uploaded} = notice;
	return new URLSearchParams({
		vm, bitmap, reading, imported: String(imported), uploaded: String(uploaded),
	}).toString();
}

/**
 * Reads a notice from a query string.
 *
 * @param query - the query string's fields; others are passed over
 * @returns undefined when there is no valid notice
 */
export function decodeNotice(query: URLSearchParams): TransferNotice | undefined {
	const text = (name: string) => query.get(name) ?? undefined;
	const parsed = transferNoticeSchema.safeParse({
		vm: text('vm'), bitmap: text('bitmap'), reading: text('reading'), imported: Number(text('imported')), uploaded: Number(text('uploaded')),
	});
	return parsed.success ? parsed.data : undefined;
}
