/** Creates what the gateway sets in the headers of an attempt. */
import {callPriority, type ForwardedCallOptions} from './forwarded-call-options.ts';
import type {AttemptInstructions} from './wire-codec.ts';

/** What distinguishes one attempt of a call from the others. */
export type AttemptTarget = Pick<AttemptInstructions, 'instance' | 'version'> & {
	/** When the call expires, in milliseconds of the monotonic clock. */
	readonly expiresAtMs: number;
	/** ID of the last event that the caller got from earlier attempts. */
	readonly lastEventId: string | undefined;
};

/** Returns the instructions for an attempt that is about to be sent. */
export function createInstructions(options: ForwardedCallOptions, {instance, version, expiresAtMs, lastEventId}: AttemptTarget): AttemptInstructions {
	const {call, holder} = options;
	return {
		deadlineMs: Math.max(1, Math.floor(expiresAtMs - performance.now())),
		instance,
		version,
		workspace: holder?.workspace,
		priority: callPriority(options, lastEventId),
		lastEventId: lastEventId ?? call.headers.lastEventId,
		bodyBytes: call.body.length,
		hasBody: call.body.length > 0,
	};
}
