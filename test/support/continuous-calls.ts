/** Calls that are sent to a gateway one after the other until the test stops them. */
import {setTimeout as sleep} from 'node:timers/promises';
import {callGateway} from './direct-fixtures.ts';

/** Time between the response to a call and the next call, in milliseconds. */
const callIntervalMs = 25;

/** Calls under way. */
export type ContinuousCalls = {
	/** The statuses of the responses so far. */
	readonly statuses: readonly number[];
	/** Sends no further call; returns after the last response. */
	readonly stop: () => Promise<void>;
};

/** Starts to call a gateway. */
export function startCalling(url: string): ContinuousCalls {
	const statuses: number[] = [];
	const stopping = new AbortController();
	const calling = (async () => {
		for (let number = 0; !stopping.signal.aborted; number++) {
			const {status} = await callGateway(url, {headers: {'attempt-id': `id-${number}`}});
			statuses.push(status);
			await sleep(callIntervalMs);
		}
	})();
	return {
		statuses, async stop() {
			stopping.abort();
			await calling;
		},
	};
}
