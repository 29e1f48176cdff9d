/** What the head of a response says about the call. No I/O, no clock. */
import type {ResponseHeaders} from './wire-codec.ts';

/** Statuses that promise a caller that its call did not run. */
export const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Status of an instance that is not the expected one, or does not hold the expected version. */
export const misdirectedStatus = 421;

/** The lowest status that stands for a failure of the instance. */
export const firstServerError = 500;

/**
 * Returns why a successful response must not be passed on; undefined if it may, or if its status is none of success.
 *
 * @param attemptId - the ID that the caller gave to its attempt
 */
export function findHeadFault(status: number, headers: ResponseHeaders, attemptId: string | undefined): string | undefined {
	const isSuccess = status >= 200 && status < 300;
	if (isSuccess && headers.attemptId !== attemptId) {
		return 'answer_of_another_call';
	}

	return isSuccess && (!headers.isSigned || headers.isEncoded) ? 'answer_spoilt' : undefined;
}
