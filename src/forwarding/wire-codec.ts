/** What the forwarding needs of the platform's message format; the adapter implements it. */
import type {WorkspaceId} from '../ids/workspace-id.ts';

/** What a caller's headers say. */
export type CallHeaders = {
	/** The id of the caller's attempt; undefined when it names none. */
	readonly attemptId: string | undefined;
	readonly host: string;
	readonly key: string | undefined;
	/** How long the caller waits, in milliseconds; undefined when it does not say. */
	readonly deadlineMs: number | undefined;
	/** The id of the last event that the caller has of a stream that it resumes. */
	readonly lastEventId: string | undefined;
	readonly model: string | undefined;
	/** Tokens of the prompt; 0 when unknown. */
	readonly promptTokens: number;
	/** Expected tokens of the answer; 0 when unknown. */
	readonly answerTokens: number;
};

/** What the system adds to a call that it sends to an upstream. */
export type AttemptInstructions = {
	readonly deadlineMs: number;
	/** Only this instance may run the call. */
	readonly instance: string;
	/** Only weights of this version may run the call. */
	readonly version: number | undefined;
	readonly workspace: WorkspaceId | undefined;
	/** 0 is the most urgent. */
	readonly priority: number | undefined;
	/** Where a stream goes on. */
	readonly lastEventId: string | undefined;
	readonly bodyBytes: number;
	readonly hasBody: boolean;
};

/** What an upstream's answer says besides its status and body. */
export type ResponseHeaders = {
	readonly attemptId: string | undefined;
	/** Whether the answer carries the upstream's signature, which successes must. */
	readonly isSigned: boolean;
	/** Whether the upstream says that it did not run the call. */
	readonly isNotRun: boolean;
	/** Whether the answer says where its body ends; otherwise its end is the connection's, which shows nothing of completeness. */
	readonly isFramed: boolean;
	/** Whether the body has an encoding, which is never the upstream's own. */
	readonly isEncoded: boolean;
	/** Calls that run and wait at the upstream. */
	readonly load: {readonly calls: number; readonly slots: number} | undefined;
	/** The version of the weights that answered. */
	readonly version: number | undefined;
	/** Headers to pass on, as name and value in turn. */
	readonly forwardedHeaders: readonly string[];
};

/** Reads and writes the headers of calls and answers; raw headers are name and value in turn. */
export type WireCodec = {
	readonly readCallHeaders: (rawHeaders: readonly string[]) => CallHeaders;
	readonly writeCallHeaders: (rawHeaders: readonly string[], instructions: AttemptInstructions) => string[];
	readonly readResponseHeaders: (status: number, rawHeaders: readonly string[]) => ResponseHeaders;
	/** Returns the headers of a refusal with the time to return. */
	readonly writeRefusalHeaders: (retryAfterMs: number) => string[];
};
