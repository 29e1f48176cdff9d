/** Messages by which two agents exchange which chunks of a manifest they hold. */
import {z} from 'zod';

/** JSON-RPC method that exchanges the transfer notices of two agents. */
export const rolloutHaveMethod = 'rollout.have';

/** The state of one agent's transfer of one manifest. */
export const transferNoticeSchema = z.object({
	/** The VM of the agent. */
	vm: z.string(),
	/** Bitmap of the verified chunks, in manifest order, base64-encoded; empty if the agent does not have the manifest. */
	bitmap: z.string(),
	/** Bitmap of the chunks that the agent is currently reading from outside its region, base64-encoded. */
	reading: z.string(),
	/** Bytes read from outside the region so far. While the number grows, a slow owner of chunks is still making progress. */
	imported: z.number().nonnegative(),
	/** Copies of the version that the agent has uploaded so far. */
	uploaded: z.number().nonnegative(),
});

/** The manifest, and the requester's notice. */
export const rolloutHaveParamsSchema = z.object({manifest: z.string(), notice: transferNoticeSchema});

/** The responder's notice. */
export const rolloutHaveResultSchema = transferNoticeSchema;

/** The state of one agent's transfer of one manifest. */
export type TransferNotice = z.infer<typeof transferNoticeSchema>;

/** Parameters of {@link rolloutHaveMethod}. */
export type RolloutHaveParams = z.infer<typeof rolloutHaveParamsSchema>;

/** Response header that carries a notice along with a chunk. */
export const noticeHeader = 'x-transfer-notice';

/** Encodes a notice as a query string, for the URL of a chunk request or the header of its response. */
export function encodeNotice(notice: TransferNotice): string {
	const {vm, bitmap, reading, imported, uploaded} = notice;
	return new URLSearchParams({
		vm, bitmap, reading, imported: String(imported), uploaded: String(uploaded),
	}).toString();
}

/**
 * Decodes a notice from the parameters of a query string; other parameters are ignored.
 *
 * @returns undefined if the parameters contain no valid notice
 */
export function decodeNotice(query: URLSearchParams): TransferNotice | undefined {
	const text = (name: string) => query.get(name) ?? undefined;
	const parsed = transferNoticeSchema.safeParse({
		vm: text('vm'), bitmap: text('bitmap'), reading: text('reading'), imported: Number(text('imported')), uploaded: Number(text('uploaded')),
	});
	return parsed.success ? parsed.data : undefined;
}
