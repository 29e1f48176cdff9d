/** What an attempt needs of an instance, and the instance selected for it. */
import type {Instance, Route} from '../directory/directory-types.ts';
import type {RegionId} from '../ids/region-id.ts';
import type {ServiceId} from '../ids/service-id.ts';
import type {CallHeaders} from '../forwarding/wire-codec.ts';
import type {MoveReason} from './find-move-reason.ts';
import type {StartBound} from './start-windows.ts';

/** What an instance must satisfy to receive a call. */
export type InstanceQuery = {
	readonly route: Route;
	readonly service: ServiceId;
	readonly headers: CallHeaders;
	/** Priority of the workspace, else of the route; 0 is the most urgent, also for the rest of a stream. */
	readonly priority: number;
	/** Whether the caller probably returns after a refusal. */
	readonly isReturning: boolean;
	/** Time left to meet the target time to first byte of the route, in milliseconds; negative if the call is late. */
	readonly aimLeftMs: number;
	/** Time left until the call expires, in milliseconds. */
	readonly deadlineLeftMs: number;
	/** The regions in which the call may run; undefined if in any. */
	readonly permittedRegions?: readonly RegionId[] | undefined;
	/** IDs of the instances that the call has been sent to. */
	readonly tried: ReadonlySet<string>;
	/** IDs of the instances that cannot hold the body of the call now; absent if there are none. */
	readonly full?: ReadonlySet<string>;
	/** Whether the call is willing to do without an instance, and so takes no start at a cold one and no trial call. */
	readonly onlyReady?: boolean;
	/** Whether a part of the response has been sent to the caller. */
	readonly isResponseStarted: boolean;
	/** Version of the model that produced the part already sent, if its upstream reported one; the rest must come from the same. */
	readonly requiredVersion: number | undefined;
};

/** The instance selected for an attempt. */
export type SelectedInstance = {
	readonly instance: Instance;
	/** Predicted time to the first event, in milliseconds. */
	readonly predictedMs: number;
	/** Whether the instance can begin the call at once, as far as its load is known. */
	readonly hasFreeSlot: boolean;
	/** Version of the model that the instance holds. */
	readonly version: number | undefined;
	/** Returns how long calls may still start on this version, in milliseconds; infinite unless a newer version was announced. */
	readonly startTimeLeftMs: () => number;
	/** Describes the time left and the delay of the path at this moment; undefined if the instance is no engine. */
	readonly describeStart: () => StartBound | undefined;
	/** Returns whether the call may still be written; false some time after its start at a cold instance was allowed. */
	readonly isStartPermitted: () => boolean;
	/** Returns why the call has to leave the instance if nothing of it was written; undefined if it may be written. */
	readonly findMoveReason: () => MoveReason | undefined;
	/** Gives back the trial that is reserved at the instance, if the call is not sent there; does nothing otherwise. */
	readonly release: () => void;
};
