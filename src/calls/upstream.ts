/** How the agent runs a call at its upstream: one adapter per kind of upstream. */
import type {CallRequest} from '../messages/call-request.ts';

/** A piece of an upstream's answer. */
export type UpstreamEvent =
	| {readonly kind: 'head'; readonly version: string | null}
	| {readonly kind: 'tokens'; readonly version: string; readonly tokens: readonly string[]}
	| {readonly kind: 'result'; readonly status: number; readonly body: unknown};

/** Runs calls. */
export type Upstream = {
	/**
	 * Sends a call to the upstream and yields its answer; ends normally only after the whole answer.
	 *
	 * @throws LinkError with `sent: false` when the call certainly reached nobody
	 */
	run(req: CallRequest, signal: AbortSignal): AsyncGenerator<UpstreamEvent>;
	/** Tells whether the upstream serves what the call wants. */
	serves(req: CallRequest): boolean;
};
