/** What an attempt is given by its call. */
import type {Buffer} from 'node:buffer';
import type {Instance} from '../directory/directory-types.ts';
import type {BodiesInFlight} from '../limits/bodies-in-flight.ts';
import type {ListeningClock} from '../runtime/pause-detector.ts';
import type {InstanceTracker} from '../placement/instance-tracker.ts';
import type {MoveReason} from '../placement/find-move-reason.ts';
import type {StartBound} from '../placement/start-windows.ts';
import type {ResponseBuffers} from '../limits/response-buffers.ts';
import type {CallBoundary} from './call-boundary.ts';
import type {AttemptOutcome} from './decide-next-step.ts';
import type {FirstByteWatch} from './first-byte-watch.ts';
import type {ReceivedCall} from './received-call.ts';
import type {ResponseWriter} from './response-writer.ts';
import type {AttemptInstructions, WireCodec} from './wire-codec.ts';

/** A complete response, kept until it is sent to the caller or discarded. */
export type BufferedResponse = {readonly status: number; readonly headers: readonly string[]; readonly body: Buffer};

/** What has been passed on of the answer to a call, by any of its attempts. */
export type AnswerProgress = {
	/** ID of the last event. */
	lastEventId: string | undefined;
	/** Version of the model that produced the events, if its upstream reported one. */
	version: number | undefined;
};

/** The call, the selected instance and the dependencies of an attempt. */
export type UpstreamAttemptOptions = {
	readonly call: ReceivedCall;
	readonly boundary: CallBoundary;
	readonly instance: Instance;
	readonly isStream: boolean;
	readonly predictedMs: number;
	/** Returns how long the call may still start on the selected version, in milliseconds; infinite unless a newer version was announced. */
	readonly startTimeLeftMs: () => number;
	/** Describes the time left and the delay of the path at this moment; undefined if the instance is no engine. */
	readonly describeStart: () => StartBound | undefined;
	/** Returns whether the time of the call is not over; asked before anything is written. */
	readonly hasTimeLeft: () => boolean;
	/** Returns whether the instance still expects the start of the call; asked before anything is written. */
	readonly isStartPermitted: () => boolean;
	/** Returns why the call has to leave the instance if nothing of it was written; undefined if it may be written. */
	readonly findMoveReason: () => MoveReason | undefined;
	readonly instructions: AttemptInstructions;
	/** What the caller has of the answer. */
	readonly progress: AnswerProgress;
	readonly writer: ResponseWriter;
	readonly codec: WireCodec;
	readonly tracker: InstanceTracker;
	/** Measures the silence of the instance. */
	readonly clock: ListeningClock;
	/** Limits the memory of responses. */
	readonly buffers: ResponseBuffers;
	/** The bodies that instances hold. */
	readonly bodiesInFlight: BodiesInFlight;
	/** Stall timeouts before the first byte and between further bytes, in milliseconds. */
	readonly stallTimeoutsMs: {readonly first: number; readonly next: number};
	/** Measures the time to the first byte. */
	readonly firstByte: FirstByteWatch;
	/** Called when the instance has sent nothing for too long, and again from time to time until it sends something. */
	readonly onSilent: (isFirstReport: boolean) => void;
	/** Called when the connection broke after the call was sent, before its outcome is reported. */
	readonly onBroken: () => void;
	/** Returns whether no other attempt of the call is under way. */
	readonly isAlone: () => boolean;
	/** Called before anything of the response is passed on. */
	readonly onAnswering: () => void;
	/** Called once when the upstream has responded completely, or for long enough to show that the call does not crash it. */
	readonly onSurvived: () => void;
	/** Called when the response has been passed on completely. */
	readonly onServed: () => void;
	/** Called when the attempt has ended in any other way. */
	readonly onOutcome: (outcome: AttemptOutcome) => void;
};
