/** Whether the prompt parts of one call let it be sent. */
import type {Admission} from '../quarantine/hold.ts';
import type {ForwardedCallOptions} from './forwarded-call-options.ts';

/** Asks the quarantine for one call. */
export class PromptCheck {
	/** Whether the call shows if its held prompt part still crashes upstreams. */
	isTrial = false;

	/** @param options - the call, the quarantine and the log */
	constructor(private readonly options: Pick<ForwardedCallOptions, 'quarantine' | 'call' | 'log'>) {}

	/** Whether a part of the call is held, also if the call is the trial. */
	get isHeld(): boolean {
		const {quarantine, call} = this.options;
		return this.isTrial || quarantine.heldForMs(call.headers.promptParts) !== undefined;
	}

	/** For how long a part of the call is held, in milliseconds; undefined if none is, or if the call is the trial. */
	get heldForMs(): number | undefined {
		const {quarantine, call} = this.options;
		return this.isTrial ? undefined : quarantine.heldForMs(call.headers.promptParts);
	}

	/** Returns whether the call may be sent now, and whether it is a trial. */
	admit(): Admission {
		const {quarantine, call, log} = this.options;
		const admission = quarantine.admit(call.headers.promptParts);
		if (admission.kind !== 'pass') {
			log.info({event: 'prompt_part_met', id: call.headers.attemptId, ...admission}, 'a call has a held prompt part');
		}

		this.isTrial = admission.kind === 'trial';
		return admission;
	}
}
