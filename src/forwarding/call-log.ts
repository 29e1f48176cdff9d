/** The log lines of one call about its attempts and its end. */
import type {NextStep} from './decide-next-step.ts';
import type {ForwardedCallOptions} from './forwarded-call-options.ts';
import type {UpstreamAttempt} from './upstream-attempt.ts';

/** Outcomes that are not worth a warning. */
const expectedOutcomes = new Set(['served', 'left']);

/** Writes the lines of one call. */
export class CallLog {
	/** @param options - the call, its route and the log */
	constructor(private readonly options: Pick<ForwardedCallOptions, 'call' | 'route' | 'configurationVersion' | 'service' | 'log'>) {}

	/**
	 * Logs how an attempt ended without a complete response.
	 *
	 * @param fields - the outcome, its reason, the next step and the state of the call
	 */
	recordAttemptEnd(attempt: UpstreamAttempt, fields: {outcome: string; reason: string; step: NextStep; runs: number; version: number | undefined}): void {
		const {log, call} = this.options;
		log.info({
			event: 'send_ended', id: call.headers.attemptId, instance: attempt.instance.id, ...fields, ...attempt.timing,
			...(fields.reason === 'version_expired' ? attempt.options.describeStart() : {}),
		}, 'attempt ended without a complete response');
	}

	/** Logs how the call ended. */
	recordEnd(outcome: string, ms: number, fields: Record<string, unknown>): void {
		const {call, route, configurationVersion, log, service} = this.options;
		log[expectedOutcomes.has(outcome) ? 'info' : 'warn']({
			event: 'call_ended', id: call.headers.attemptId, route: route.name, configuration: configurationVersion, service, outcome, ms: Math.round(ms), ...fields,
		}, 'call ended');
	}
}
