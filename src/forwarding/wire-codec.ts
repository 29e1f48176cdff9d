/** Interface to the platform's HTTP headers; the platform adapter implements it. */
import type {PromptPartId} from '../ids/prompt-part-id.ts';
import type {WorkspaceId} from '../ids/workspace-id.ts';
import type {InstanceSignal} from '../placement/instance-signal.ts';

/** The parsed headers of a caller's request. */
export type CallHeaders = {
	/** ID that the caller gave to this attempt of its own; undefined if absent. */
	readonly attemptId: string | undefined;
	readonly host: string;
	readonly key: string | undefined;
	/** How long the caller waits for the response, in milliseconds; undefined if absent. */
	readonly deadlineMs: number | undefined;
	/** ID of the last event that the caller received, if it resumes a stream. */
	readonly lastEventId: string | undefined;
	readonly model: string | undefined;
	/** Number of prompt tokens; 0 if unknown. */
	readonly promptTokens: number;
	/** The parts of the prompt that other calls may share, in order; empty if unknown. */
	readonly promptParts: readonly PromptPartId[];
};

/** Values that the gateway sets in the headers of a call to an upstream. */
export type AttemptInstructions = {
	readonly deadlineMs: number;
	/** ID of the only instance that may run the call. */
	readonly instance: string;
	/** The only version of the model that may run the call; undefined for any. */
	readonly version: number | undefined;
	readonly workspace: WorkspaceId | undefined;
	/** 0 is the most urgent. */
	readonly priority: number | undefined;
	/** ID of the event after which the stream resumes. */
	readonly lastEventId: string | undefined;
	readonly bodyBytes: number;
	readonly hasBody: boolean;
};

/** The parsed headers of an upstream's response. */
export type ResponseHeaders = {
	readonly attemptId: string | undefined;
	/** Whether the response carries the upstream's signature, which every successful response must. */
	readonly isSigned: boolean;
	/** Whether the upstream states that it did not run the call. */
	readonly isNotRun: boolean;
	/** Whether the body has a content encoding. Upstreams never set one, so that something in between has altered the response. */
	readonly isEncoded: boolean;
	/** Running and waiting calls at the upstream, its slots, and how long work takes there at this moment, if it says so: 1 is as usual, 2 twice as long. */
	readonly load: {readonly calls: number; readonly slots: number; readonly pace?: number} | undefined;
	/** How much longer the upstream is cold, in milliseconds; 0 if it says that it is not, and undefined if it says nothing. */
	readonly coldMs: number | undefined;
	/** Version of the model that produced the response. */
	readonly version: number | undefined;
	/** ID of the instance that responded; undefined if it did not state it. */
	readonly instance: string | undefined;
	/** What the instance says of itself, whatever the outcome of the call. */
	readonly signals: readonly InstanceSignal[];
	/** Headers that carry a signal but have an unknown value, as `name: value`. */
	readonly unreadableSignals: readonly string[];
	/** Headers to pass on to the caller, as alternating names and values. */
	readonly forwardedHeaders: readonly string[];
};

/** Parses and writes the headers of calls and responses. Raw headers are alternating names and values. */
export type WireCodec = {
	readonly readCallHeaders: (rawHeaders: readonly string[]) => CallHeaders;
	readonly writeCallHeaders: (rawHeaders: readonly string[], instructions: AttemptInstructions) => string[];
	readonly readResponseHeaders: (status: number, rawHeaders: readonly string[]) => ResponseHeaders;
	/** Returns the headers of a refusal that tell the caller when to retry. */
	readonly writeRefusalHeaders: (retryAfterMs: number) => string[];
};
