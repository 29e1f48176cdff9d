/** One send of a call to one instance: passes events on as they come, keeps plain answers until they are whole, and names the outcome. */
import {Buffer} from 'node:buffer';
import type {Instance} from '../directory/directory-types.ts';
import {parseAddress} from '../links/http-listener.ts';
import type {AnswerSink} from './answer-sink.ts';
import type {SendOutcome} from './decide-next.ts';
import {EventSplitter, type StreamEvent} from './event-splitter.ts';
import type {ReadCall} from './forwarded-call.ts';
import type {OpenUse} from './call-counts.ts';
import type {InstanceUse} from './instance-use.ts';
import {UpstreamExchange} from './upstream-exchange.ts';
import type {AnswerHeaders, SendInstructions, WireCodec} from './wire-codec.ts';

/** Statuses that promise that a call did not run; without the upstream's word they are passed on to nobody. */
const promisingStatuses = new Set([408, 421, 429, 503]);

/** The status of an instance that is not the one that was expected, or lacks the weights that were. */
const misdirectedStatus = 421;

const firstServerError = 500;

/** What one send needs. */
export type UpstreamSendOptions = {
	readonly call: ReadCall;
	readonly instance: Instance;
	readonly isStream: boolean;
	readonly predictedMs: number;
	/** How long the version that is asked for may still begin work, in milliseconds; without end in most cases. */
	readonly beginWithinMs: number;
	readonly instructions: SendInstructions;
	/** The send whose stream this one goes on with. */
	readonly before: UpstreamSend | undefined;
	readonly sink: AnswerSink;
	readonly codec: WireCodec;
	readonly use: InstanceUse;
	/** Longest silence before the first and between further bytes, in milliseconds. */
	readonly silenceMs: {readonly first: number; readonly next: number};
	/** Whether the call could go elsewhere now. */
	readonly mayMove: () => boolean;
	readonly onServed: () => void;
	readonly onOutcome: (outcome: SendOutcome) => void;
};

/** A whole answer that is not yet passed on. */
export type WholeAnswer = {readonly status: number; readonly headers: readonly string[]; readonly body: Buffer; readonly isFramed: boolean};

/** One send. */
export class UpstreamSend {
	/** The id of the last event that went out to the caller. */
	lastEventId: string | undefined;
	/** The version of the weights whose answer went out to the caller. */
	begunVersion: number | undefined;
	private readonly exchange: UpstreamExchange;
	private readonly use: OpenUse;
	private readonly startedAtMs = performance.now();
	private readonly splitter = new EventSplitter();
	private readonly parts: Buffer[] = [];
	private head: {readonly status: number; readonly answer: AnswerHeaders} | undefined;
	private whole: WholeAnswer | undefined;
	private silenceTimer: NodeJS.Timeout | undefined;
	private beginTimer: NodeJS.Timeout | undefined;
	private isOver = false;

	/** @param options - the call and its place */
	constructor(private readonly options: UpstreamSendOptions) {
		const {call, instance, codec, instructions, use, before} = options;
		this.lastEventId = before?.lastEventId;
		this.begunVersion = before?.begunVersion;
		this.use = use.calls.begin(instance.id, call.headers.promptTokens);
		this.watchSilence(options.silenceMs.first + options.predictedMs);
		this.watchBegin(options.beginWithinMs);
		this.exchange = new UpstreamExchange({
			...parseAddress(instance.address),
			method: call.method,
			target: call.target,
			headers: codec.writeCall(call.rawHeaders, instructions),
			body: instructions.hasBody ? call.body : undefined,
		}, {
			onHead: (status, rawHeaders) => {
				this.takeHead(status, rawHeaders);
			},
			onData: part => {
				this.takeData(part);
			},
			onEnd: () => {
				this.takeEnd();
			},
			onFail: (reason, wasSent) => {
				this.takeFailure(reason, wasSent);
			},
		});
	}

	/** The instance that the call was sent to. */
	get instanceId(): string {
		return this.options.instance.id;
	}

	/** Returns the whole answer, when there is one that was kept. */
	wholeAnswer(): WholeAnswer | undefined {
		return this.whole;
	}

	/** Ends the send; nothing is reported afterwards. */
	abort(): void {
		this.close();
		this.exchange.abort();
	}

	private takeHead(status: number, rawHeaders: readonly string[]): void {
		const {codec, call, use, instance} = this.options;
		const answer = codec.readAnswer(status, rawHeaders);
		this.head = {status, answer};
		if (answer.load) {
			use.recordLoad(instance.id, answer.load.calls);
		}

		const isSuccess = status >= 200 && status < 300;
		if (isSuccess && (!answer.isSigned || answer.isEncoded || answer.attemptId !== call.headers.attemptId)) {
			this.fail(answer.attemptId === call.headers.attemptId ? 'answer_spoilt' : 'answer_of_another_call');
		}
	}

	private takeData(part: Buffer): void {
		this.watchSilence(this.options.silenceMs.next);
		if (!this.isOver && this.isEventStream()) {
			for (const event of this.splitter.push(part)) {
				this.passEvent(event);
			}
		} else if (!this.isOver) {
			this.parts.push(part);
		}
	}

	private isEventStream(): boolean {
		return this.options.isStream && this.head?.status === 200;
	}

	private passEvent({bytes, id}: StreamEvent): void {
		const {sink, use, instance, predictedMs} = this.options;
		if (!this.use.hasStarted) {
			use.calls.start(this.use);
			use.recordFirstEvent(instance.id, performance.now() - this.startedAtMs, predictedMs);
		}

		if (id !== undefined && this.lastEventId !== undefined && Number(id) <= Number(this.lastEventId)) {
			return;
		}

		if (!sink.hasBegun) {
			sink.begin(this.head!.status, this.head!.answer.passedOn, this.head!.answer.isFramed);
			this.begunVersion = this.head!.answer.version;
		}

		sink.write(bytes);
		this.lastEventId = id ?? this.lastEventId;
	}

	private takeEnd(): void {
		const {sink, use, instance, onServed} = this.options;
		const head = this.head!;
		if (this.isOver) {
			return;
		}

		if (head.answer.isNotRun) {
			use.recordBusy(instance.id, head.status === misdirectedStatus);
			this.report({kind: 'not-run', reason: `status_${head.status}`});
			return;
		}

		if (promisingStatuses.has(head.status)) {
			this.fail(`status_${head.status}_without_word`);
			return;
		}

		if (this.isEventStream()) {
			this.endStream();
			return;
		}

		this.whole = {
			status: head.status, headers: head.answer.passedOn, body: Buffer.concat(this.parts), isFramed: head.answer.isFramed,
		};
		if (head.status >= firstServerError) {
			use.recordOutcome(instance.id, false);
			this.report({kind: 'upstream-error', status: head.status});
			return;
		}

		use.recordOutcome(instance.id, true);
		this.close();
		sink.sendWhole(this.whole.status, this.whole.headers, this.whole.body, this.whole.isFramed);
		onServed();
	}

	/** A stream is whole only when nothing of an event is left over. */
	private endStream(): void {
		const {sink, use, instance, onServed} = this.options;
		if (this.splitter.pendingBytes > 0) {
			this.fail('event_cut');
			return;
		}

		use.recordOutcome(instance.id, true);
		this.close();
		if (!sink.hasBegun) {
			sink.begin(this.head!.status, this.head!.answer.passedOn, this.head!.answer.isFramed);
		}

		sink.end();
		onServed();
	}

	private takeFailure(reason: string, wasSent: boolean): void {
		if (this.isOver) {
			return;
		}

		if (wasSent) {
			this.fail(reason);
		} else {
			this.options.use.recordLost(this.options.instance, reason);
			this.report({kind: 'not-run', reason});
		}
	}

	private fail(reason: string): void {
		this.options.use.recordOutcome(this.options.instance.id, false);
		this.report({kind: 'failed', reason});
	}

	private report(outcome: SendOutcome): void {
		this.close();
		this.exchange?.abort();
		this.options.onOutcome(outcome);
	}

	/** Moves the call elsewhere after a silence, where it may run again; otherwise the answer is waited for. */
	private watchSilence(limitMs: number): void {
		clearTimeout(this.silenceTimer);
		this.silenceTimer = setTimeout(() => {
			const {mayMove, use, instance} = this.options;
			if (!this.isOver && mayMove()) {
				use.recordLost(instance, 'silent');
				this.fail('silent');
			}
		}, limitMs);
	}

	/** Takes the call back from an instance that may not begin it any more. */
	private watchBegin(withinMs: number): void {
		if (Number.isFinite(withinMs)) {
			this.beginTimer = setTimeout(() => {
				if (!this.isOver && !this.use.hasStarted) {
					this.report({kind: 'failed', reason: 'version_expired'});
				}
			}, Math.max(0, withinMs));
		}
	}

	private close(): void {
		this.isOver = true;
		clearTimeout(this.silenceTimer);
		clearTimeout(this.beginTimer);
		this.options.use.calls.end(this.use);
	}
}
