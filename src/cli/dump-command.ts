/** `cactusreach dump`: prints the state of a running process. */
import {PeerClient} from '../links/peer-client.ts';
import {UsageError} from './usage-error.ts';

/** How long the process may take to answer, in milliseconds. */
const dumpTimeoutMs = 5000;

/**
 * Prints the state of a process as JSON.
 *
 * @param address - its control listener, `host:port`
 * @returns the exit code: 1 when the process does not answer
 * @throws UsageError when the address is not `host:port`
 */
export async function dumpCommand(address: string): Promise<number> {
	if (!/^[\w.-]+:\d{1,5}$/.test(address)) {
		throw new UsageError(`address ${address} is not host:port`);
	}

	const links = new PeerClient();
	try {
		const state = await links.json(`http://${address}/dump`, {method: 'GET'}, {timeoutMs: dumpTimeoutMs});
		console.log(JSON.stringify(state, null, '\t'));
		return 0;
	} catch (err) {
		console.error(`${address}: ${(err as Error).message}`);
		return 1;
	} finally {
		await links.close();
	}
}
