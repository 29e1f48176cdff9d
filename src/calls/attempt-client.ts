/** One attempt of an entry at one agent, and the question what became of it. */
import {randomUUID} from 'node:crypto';
import {type AttemptId, createAttemptId} from '../ids/attempt-id.ts';
import {LinkError, type PeerClient} from '../links/peer-client.ts';
import type {CallFrame} from '../messages/call-frame.ts';
import {type CallRequest, callsPath} from '../messages/call-request.ts';
import {
	callsCancelMethod, type CallsCancelParams, type CallsCancelResult, callsCancelResultSchema,
} from '../messages/calls-cancel.ts';
import {BrokenAnswerError, readFrames} from './frame-reader.ts';

/** How long the agent may take to say what became of a call, in milliseconds. */
export const cancelTimeoutMs = 1500;

/** Creates the id of a new attempt. */
export function newAttemptId(): AttemptId {
	return createAttemptId(randomUUID());
}

/** Sends calls to agents. */
export class AttemptClient {
	/** @param links - sends the requests */
	constructor(private readonly links: PeerClient) {}

	/**
	 * Sends a call and yields the frames of its answer.
	 *
	 * @param address - the agent's control listener
	 * @param call - the call
	 * @param signal - ends the attempt
	 * @throws LinkError with `sent: false` when the agent certainly did not receive the call
	 * @throws BrokenAnswerError when the answer is not whole
	 */
	async * open(address: string, call: CallRequest, signal: AbortSignal): AsyncGenerator<CallFrame> {
		const body = JSON.stringify(call);
		const res = await this.links.send(`http://${address}${callsPath}`, {method: 'POST', body}, {timeoutMs: call.remainingMs, signal});
		if (res.status !== 200) {
			res.body.destroy();
			throw new BrokenAnswerError(`agent answered status ${res.status}`);
		}

		try {
			yield * readFrames(res.body, call.attempt);
		} catch (err) {
			throw err instanceof BrokenAnswerError ? err : new LinkError(err as Error, true, 'answer broke off');
		} finally {
			res.body.destroy();
		}
	}

	/**
	 * Asks over a fresh connection what became of a call; what has not started never will.
	 *
	 * @param address - the agent's control listener
	 * @param params - names the call
	 * @returns `unknown` when the agent does not answer
	 */
	async cancel(address: string, params: CallsCancelParams): Promise<CallsCancelResult> {
		try {
			const call = {method: callsCancelMethod, params};
			return await this.links.rpc(address, call, callsCancelResultSchema, {timeoutMs: cancelTimeoutMs, fresh: true});
		} catch {
			return {state: 'unknown'};
		}
	}
}
