/** How the agent runs a call at its upstream: one adapter per kind of upstream. */
import type {CallRequest} from '../messages/call-request.ts';

/** A piece of an upstream's answer. */
export type UpstreamEvent =
	| {readonly kind: 'head'; readonly version: string | null}
	| {readonly kind: 'tokens'; readonly version: string; readonly tokens: readonly string[]}
	| {readonly kind: 'result'; readonly status: number; readonly body: unknown};

/** Reports that the upstream itself answered with a failure status. */
export class UpstreamStatusError extends Error {}

/** How a call may run. */
export type RunOptions = {
	/** Stops the run. */
	readonly signal: AbortSignal;
	/** Is called right before the first byte leaves; when it throws, nothing is sent. */
	readonly beforeSend: () => void;
};

/** Runs calls. */
export type Upstream = {
	/**
	 * Sends a call to the upstream and yields its answer; ends normally only after the whole answer.
	 *
	 * @throws LinkError with `sent: false` when the call certainly reached nobody
	 */
	run(req: CallRequest, options: RunOptions): AsyncGenerator<UpstreamEvent>;
	/** Tells whether the upstream serves what the call wants. */
	serves(req: CallRequest): boolean;
};
