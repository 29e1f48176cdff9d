/** A call as received from a caller. */
import type {Buffer} from 'node:buffer';
import type {CallHeaders} from './wire-codec.ts';

/** A call with its complete body. */
export type ReceivedCall = {
	readonly method: string;
	readonly target: string;
	readonly rawHeaders: readonly string[];
	readonly headers: CallHeaders;
	readonly body: Buffer;
	/** When the headers were read, in milliseconds of the monotonic clock. */
	readonly receivedAtMs: number;
};
