/** The interface between an agent and its upstream, with one adapter for each kind of upstream. */
import type {CallRequest} from '../messages/call-request.ts';

/** A part of an upstream's answer. */
export type UpstreamEvent =
	| {readonly kind: 'head'; readonly version: string | null}
	| {readonly kind: 'tokens'; readonly version: string; readonly tokens: readonly string[]}
	| {readonly kind: 'result'; readonly status: number; readonly body: unknown};

/** Thrown when the upstream responds with an error status. */
export class UpstreamStatusError extends Error {}

/** Options for running a call. */
export type RunOptions = {
	/** Aborts the request to the upstream. */
	readonly signal: AbortSignal;
	/** Called right before the first byte is sent; if it throws, nothing is sent. */
	readonly beforeSend: () => void;
};

/** An adapter that runs calls at an upstream. */
export type Upstream = {
	/**
	 * Sends a call to the upstream and yields its answer. Returns normally only after the complete answer.
	 *
	 * @throws PeerRequestError with `sent: false` when the call certainly did not reach the upstream
	 */
	run(req: CallRequest, options: RunOptions): AsyncGenerator<UpstreamEvent>;
	/** Whether the upstream can run this call, for example serves its model version. */
	serves(req: CallRequest): boolean;
};
