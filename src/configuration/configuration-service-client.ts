/** The client of the platform's configuration service. */
import {z} from 'zod';
import {createRevision, type Revision} from '../ids/revision.ts';
import type {PeerClient} from '../links/peer-client.ts';
import {configEntrySchema} from '../messages/config-sync.ts';
import type {ServiceResponse} from './configuration-replica.ts';

/** Extra time for an answer beyond the wait that the service was asked for, in milliseconds. */
const answerMarginMs = 3000;

const treeAnswerSchema = z.object({
	revision: z.number().int().nonnegative(),
	entries: z.array(configEntrySchema.omit({fallback: true})),
});

/** Reads and watches the configuration service. */
export class ConfigurationServiceClient {
	/**
	 * @param links - sends the requests
	 * @param baseUrl - the service's address
	 */
	constructor(private readonly links: PeerClient, private readonly baseUrl: string) {}

	/**
	 * Reads the entries that changed after a revision, waiting for a change when there is none.
	 *
	 * @param after - the known revision; 0 reads the whole tree
	 * @param waitMs - how long the service may hold the request, in milliseconds
	 * @param signal - cancels the wait
	 * @throws LinkError when the service does not answer
	 */
	async read(after: Revision, waitMs: number, signal?: AbortSignal): Promise<ServiceResponse> {
		const url = `${this.baseUrl}/v1/tree?after=${after}&wait_ms=${waitMs}`;
		const answer = treeAnswerSchema.parse(await this.links.json(url, {method: 'GET'}, {timeoutMs: waitMs + answerMarginMs, signal}));
		return {revision: createRevision(answer.revision), entries: answer.entries};
	}
}
