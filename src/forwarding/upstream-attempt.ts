/** One attempt of a call at one instance: forwards events as they arrive, buffers other responses until they are complete, and reports the outcome. */
import type {Buffer} from 'node:buffer';
import type {Instance} from '../directory/directory-types.ts';
import {ByteCollector} from '../links/byte-collector.ts';
import {parseAddress} from '../links/http-listener.ts';
import type {Silence} from '../runtime/silence-timer.ts';
import type {InFlightCall} from '../placement/in-flight-calls.ts';
import type {AttemptSignals} from '../placement/instance-signals.ts';
import {type BufferOwner, findBodyLength, maxEventBytes} from '../limits/response-buffers.ts';
import {type AttemptTiming, describeAttemptTiming} from './attempt-timing.ts';
import type {AttemptOutcome} from './decide-next-step.ts';
import {EventOrder} from './event-order.ts';
import {EventSplitter, type StreamEvent} from './event-splitter.ts';
import {findWithholdReason} from './find-withhold-reason.ts';
import {findHeadFault, firstServerError, notRunStatuses} from './response-status.ts';
import {SilenceWatch} from './silence-watch.ts';
import {UpstreamExchange} from './upstream-exchange.ts';
import {AttemptPath} from './attempt-path.ts';
import {StartDeadline} from './start-deadline.ts';
import type {BufferedResponse, UpstreamAttemptOptions} from './upstream-attempt-options.ts';
import type {ResponseHeaders} from './wire-codec.ts';

/** How long after its first event a stream shows that it does not crash its upstream, in milliseconds. */
const survivedAfterMs = 500;

/** Sends a call to one instance and handles the response. */
export class UpstreamAttempt implements BufferOwner {
	/** Whether a part of its response has been passed on. */
	hasAnswered = false;
	/** The complete response, if it was not streamed. */
	buffered: BufferedResponse | undefined;
	/** Until when the call may start. */
	readonly startDeadline: StartDeadline;
	/** Undefined until {@link start}. */
	private exchange: UpstreamExchange | undefined;
	private readonly inFlightCall: InFlightCall;
	private readonly signals: AttemptSignals;
	private readonly path: AttemptPath;
	private readonly removeBody: () => void;
	private readonly startedAtMs = performance.now();
	private readonly silenceWatch: SilenceWatch;
	private readonly splitter = new EventSplitter();
	private readonly order: EventOrder;
	private body = new ByteCollector();
	private head: {readonly status: number; readonly headers: ResponseHeaders} | undefined;
	private firstEventAtMs = Number.POSITIVE_INFINITY;
	private hasSurvived = false;
	private isFinished = false;

	/** @param options - the call, the selected instance and dependencies */
	constructor(readonly options: UpstreamAttemptOptions) {
		const {call, boundary, instance, tracker, progress} = options;
		this.order = new EventOrder(progress.lastEventId);
		this.inFlightCall = tracker.inFlight.add(instance.id, call.headers.promptTokens);
		this.path = new AttemptPath(tracker.paths, instance.id, options.isStream ? options.predictedMs : 0);
		this.removeBody = options.bodiesInFlight.add(instance.id, call.body.length);
		this.signals = tracker.signals.addAttempt(instance, boundary.wrap('signal', () => {
			this.handleInstanceClosed();
		}));
		this.silenceWatch = new SilenceWatch({
			clock: options.clock, boundary, limitsMs: {...options.stallTimeoutsMs, first: options.stallTimeoutsMs.first + options.predictedMs}, onSilent: options.onSilent,
		});
		this.startDeadline = new StartDeadline(options.startTimeLeftMs, () => {
			this.report({kind: this.exchange?.isWritten ? 'failed' : 'not-run', reason: 'version_expired'});
		}, boundary);
	}

	/**
	 * Connects to the instance and sends the call.
	 *
	 * @throws TypeError if Node.js does not accept a value of the request
	 */
	start(): void {
		const {call, boundary, instance, codec, instructions} = this.options;
		this.exchange = new UpstreamExchange({
			...parseAddress(instance.address),
			method: call.method,
			target: call.target,
			headers: codec.writeCallHeaders(call.rawHeaders, instructions),
			body: instructions.hasBody ? call.body : undefined,
		}, {
			mayWrite: () => {
				this.path.markConnected();
				return findWithholdReason(this.options, this.startDeadline) === undefined;
			},
			onWithheld: () => {
				this.report({kind: 'not-run', reason: findWithholdReason(this.options, this.startDeadline)!, isMoved: this.options.findMoveReason() !== undefined});
			},
			onHeaders: this.handleHeaders.bind(this),
			onData: this.handleData.bind(this),
			onEnd: this.handleEnd.bind(this),
			onError: this.handleError.bind(this),
		}, boundary);
	}

	/** Whether the attempt goes on and nothing of the call has been written, so that the upstream certainly did not get it. */
	get isUnsent(): boolean {
		return !this.isFinished && !this.exchange?.isWritten;
	}

	/** The instance that the call is sent to. */
	get instance(): Instance {
		return this.options.instance;
	}

	/** Whether the instance has sent nothing for too long. */
	get isSilent(): boolean {
		return this.silenceWatch.isSilent;
	}

	/** How long the attempt took to begin, beside what was predicted and allowed, and how long the instance has sent nothing. */
	get timing(): AttemptTiming & Silence {
		return {...describeAttemptTiming(Math.min(this.firstEventAtMs, performance.now()) - this.startedAtMs, this.options.predictedMs, this.startDeadline.windowMs), ...this.silenceWatch.silence};
	}

	/** Aborts the attempt; no outcome is reported afterwards. */
	abort(): void {
		this.close();
		this.exchange?.abort();
	}

	/** Fails the attempt because its response takes too much memory. */
	discardResponse(): void {
		this.options.boundary.run('answer', () => {
			this.fail('answer_too_large');
		});
	}

	/** Moves the call elsewhere if its instance may get no further calls and this one has not been sent. */
	handleInstanceClosed(reason = 'instance_closed', isMoved = false): void {
		if (this.isUnsent) {
			this.report({kind: 'not-run', reason, isMoved});
		}
	}

	private handleHeaders(status: number, rawHeaders: readonly string[]): void {
		const {codec, call, tracker, instance} = this.options;
		const headers = codec.readResponseHeaders(status, rawHeaders);
		this.head = {status, headers};
		this.body = new ByteCollector(findBodyLength(rawHeaders));
		this.signals.recordHead(status, headers);
		tracker.recordHead(instance, this.head);
		const fault = findHeadFault(status, headers, call.headers.attemptId);
		if (fault) {
			this.fail(fault);
		} else if (!this.isEventStream() && status < firstServerError && !headers.isNotRun) {
			this.options.firstByte.recordFirstByte();
		}
	}

	private handleData(chunk: Buffer): void {
		if (this.isFinished) {
			return;
		}

		this.silenceWatch.restart();
		if (this.isEventStream()) {
			this.forwardEvents(this.splitter.push(chunk));
		} else {
			this.options.buffers.add(this, chunk.length);
			if (!this.isFinished) {
				this.body.push(chunk);
			}
		}
	}

	private forwardEvents(events: readonly StreamEvent[]): void {
		for (const event of events) {
			if (!this.isFinished) {
				this.forwardEvent(event);
			}
		}

		if (this.splitter.pendingBytes > maxEventBytes) {
			this.fail('event_too_large');
		}
	}

	private isEventStream(): boolean {
		return this.options.isStream && this.head?.status === 200;
	}

	private forwardEvent({bytes, id}: StreamEvent): void {
		const {writer, progress, tracker, instance, predictedMs} = this.options;
		const nowMs = performance.now();
		if (!this.inFlightCall.hasStarted) {
			this.firstEventAtMs = nowMs;
			this.startDeadline.stop();
			this.path.markBegun();
			this.options.firstByte.recordFirstByte();
			tracker.inFlight.markStarted(this.inFlightCall);
			tracker.recordFirstEvent(instance.id, nowMs - this.startedAtMs, predictedMs);
		} else if (nowMs - this.firstEventAtMs >= survivedAfterMs) {
			this.recordSurvival();
		}

		if (id !== undefined) {
			const order = this.order.check(id);
			if (order === 'impossible') {
				tracker.recordOutcome(instance.id, false);
				this.report({kind: 'spoilt', reason: 'event_id_impossible'});
			}

			if (order !== 'next') {
				return;
			}
		}

		if (id === undefined && !this.options.isAlone()) {
			// A comment is no progress, and must not decide between two attempts.
			return;
		}

		this.markAnswering();
		if (!writer.hasStarted) {
			writer.start(this.head!.status, this.head!.headers.forwardedHeaders);
			progress.version = this.head!.headers.version;
		}

		writer.write(bytes);
		progress.lastEventId = id ?? progress.lastEventId;
	}

	private handleEnd(): void {
		const {tracker, instance} = this.options;
		const head = this.head!;
		if (this.isFinished) {
			return;
		}

		if (head.headers.isNotRun) {
			tracker.recordRefusal(instance.id, head.status);
			this.report({kind: 'not-run', reason: `status_${head.status}`});
			return;
		}

		if (notRunStatuses.has(head.status)) {
			this.fail(`status_${head.status}_without_word`);
			return;
		}

		if (this.isEventStream()) {
			this.endStream();
			return;
		}

		this.buffered = {
			status: head.status, headers: head.headers.forwardedHeaders, body: this.body.take(),
		};
		if (head.status >= firstServerError) {
			tracker.recordOutcome(instance.id, false);
			this.report({kind: 'upstream-error', status: head.status});
			return;
		}

		if (this.options.writer.hasStarted) {
			// It cannot follow the part of a stream that the caller has.
			this.fail(`status_${head.status}_in_stream`);
			return;
		}

		const {status, headers, body} = this.buffered;
		this.complete(() => {
			this.options.writer.send(status, headers, body);
		});
	}

	/** Ends the stream; it is complete only if no part of an event is left over. */
	private endStream(): void {
		if (this.splitter.pendingBytes > 0) {
			this.options.onBroken();
			this.fail('event_cut');
			return;
		}

		this.complete(() => {
			const {writer} = this.options;
			if (!writer.hasStarted) {
				writer.start(this.head!.status, this.head!.headers.forwardedHeaders);
			}

			writer.end();
		});
	}

	private complete(passOn: () => void): void {
		const {tracker, instance, onServed} = this.options;
		tracker.recordOutcome(instance.id, true);
		this.markAnswering();
		this.recordSurvival();
		this.close();
		passOn();
		onServed();
	}

	private markAnswering(): void {
		this.hasAnswered = true;
		this.options.onAnswering();
	}

	private recordSurvival(): void {
		if (!this.hasSurvived) {
			this.hasSurvived = true;
			this.options.onSurvived();
		}
	}

	private handleError(reason: string, wasConnected: boolean): void {
		if (this.isFinished) {
			return;
		}

		if (wasConnected) {
			this.options.onBroken();
			this.fail(reason);
		} else {
			this.options.tracker.markUnreachable(this.options.instance, reason);
			this.report({kind: 'not-run', reason});
		}
	}

	private fail(reason: string): void {
		if (this.isFinished) {
			return;
		}

		this.options.tracker.recordOutcome(this.options.instance.id, false);
		this.report({kind: 'failed', reason});
	}

	private report(outcome: AttemptOutcome): void {
		this.close();
		this.exchange?.abort();
		this.options.onOutcome(outcome);
	}

	private close(): void {
		this.isFinished = true;
		this.silenceWatch.stop();
		this.options.firstByte.stop();
		this.startDeadline.stop();
		this.path.end();
		this.options.tracker.inFlight.remove(this.inFlightCall);
		this.signals.end();
		this.removeBody();
		this.options.buffers.release(this);
		this.body.clear();
	}
}
