/** HTTP client of the platform's configuration service. */
import {z} from 'zod';
import {createRevision, type Revision} from '../ids/revision.ts';
import type {PeerClient} from '../links/peer-client.ts';
import {configEntrySchema} from '../messages/config-sync.ts';
import type {ServiceResponse} from './configuration-replica.ts';

/** Added to the requested wait to get the request timeout, in milliseconds. */
const responseMarginMs = 3000;

const treeResponseSchema = z.object({
	revision: z.number().int().nonnegative(),
	entries: z.array(configEntrySchema.omit({fallback: true})),
});

/** Reads and long-polls the configuration service. */
export class ConfigurationServiceClient {
	constructor(private readonly links: PeerClient, private readonly baseUrl: string) {}

	/**
	 * Reads the entries that changed after a revision, long-polling when there are none.
	 *
	 * @param after - the known revision; 0 reads the full tree
	 * @param waitMs - how long the service may hold the request without a change, in milliseconds
	 * @throws PeerRequestError when the service does not answer
	 */
	async read(after: Revision, waitMs: number, signal?: AbortSignal): Promise<ServiceResponse> {
		const url = `${this.baseUrl}/v1/tree?after=${after}&wait_ms=${waitMs}`;
		const response = treeResponseSchema.parse(await this.links.json(url, {method: 'GET'}, {timeoutMs: waitMs + responseMarginMs, signal}));
		return {revision: createRevision(response.revision), entries: response.entries};
	}
}
