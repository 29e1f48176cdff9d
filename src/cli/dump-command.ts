/** `cactusreach dump`: prints the state of a running process, or the progress of rollouts at the agents that it knows. */
import {z} from 'zod';
import {PeerClient} from '../links/peer-client.ts';
import {formatProgress, readAgentStates, summarizeRollout} from '../reports/rollout-overview.ts';
import {UsageError} from './usage-error.ts';

/** The timeout of the request to the process, in milliseconds. */
const dumpTimeoutMs = 5000;

const membersSchema = z.object({
	configuration: z.object({revision: z.number()}),
	members: z.array(z.object({
		role: z.string(), zone: z.string(), address: z.string(), services: z.array(z.string()),
	})),
});

/**
 * Prints the state of a process as JSON.
 *
 * @param address - the address of its control listener, `host:port`
 * @param options - with `rollout`, requests the state of every agent that the process knows, and prints the progress of rollouts by zone instead
 * @returns the exit code: 1 if the process gives no valid response
 * @throws UsageError if the address is not `host:port`
 */
export async function dumpCommand(address: string, options: {rollout?: boolean}): Promise<number> {
	if (!/^[\w.-]+:\d{1,5}$/.test(address)) {
		throw new UsageError(`address ${address} is not host:port`);
	}

	const links = new PeerClient();
	try {
		console.log(options.rollout ? await formatRollouts(links, address) : JSON.stringify(await readDump(links, address, ''), null, '\t'));
		return 0;
	} catch (err) {
		console.error(`${address}: ${(err as Error).message}`);
		return 1;
	} finally {
		await links.close();
	}
}

async function formatRollouts(links: PeerClient, address: string): Promise<string> {
	const {members, configuration} = membersSchema.parse(await readDump(links, address, '?part=configuration&part=members'));
	const agents = members.filter(({role}) => role === 'upstream');
	const lines = summarizeRollout(await readAgentStates(links, agents)).map(progress => formatProgress(progress));
	return [`configuration revision ${configuration.revision} at ${address}, ${agents.length} agents asked`, ...lines].join('\n');
}

async function readDump(links: PeerClient, address: string, query: string): Promise<unknown> {
	return links.json(`http://${address}/dump${query}`, {method: 'GET'}, {timeoutMs: dumpTimeoutMs});
}
