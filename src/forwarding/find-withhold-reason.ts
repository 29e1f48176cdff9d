/** Looks again, when the connection to the upstream is established, at whether a call may be sent: connecting takes time, and so does a busy event loop. */
import type {StartDeadline} from './start-deadline.ts';
import type {UpstreamAttemptOptions} from './upstream-attempt-options.ts';

/**
 * Returns why a call may not be sent any more, for the log; undefined if it may be.
 *
 * @param options - the conditions of the attempt
 * @param startDeadline - until when the call may start
 */
export function findWithholdReason(options: UpstreamAttemptOptions, startDeadline: StartDeadline): string | undefined {
	if (!options.hasTimeLeft()) {
		return 'deadline_passed';
	}

	if (!options.isStartPermitted()) {
		return 'cold_start_expired';
	}

	const moveReason = options.findMoveReason();
	if (moveReason) {
		return moveReason;
	}

	return startDeadline.allowsStartIn(options.predictedMs) ? undefined : 'version_expired';
}
