/**
 * The gateway's side of the load counts: reports its calls in flight to the stager beside each engine, and asks the stagers beside a few
 * engines before it places a call. The number of datagrams of a call does not depend on the number of gateways and engines.
 */
import type {Directory} from '../directory/directory.ts';
import type {Instance} from '../directory/directory-types.ts';
import type {InFlightCounts} from '../forwarding/engine-forecast.ts';
import type {InFlightCalls} from '../forwarding/in-flight-calls.ts';
import type {LoadSource} from '../forwarding/load-source.ts';
import {DatagramSocket} from '../links/datagram-socket.ts';
import {type ListenAddress, parseAddress} from '../links/http-listener.ts';
import {changingDatagramSchema, type EngineDatagram, heldModelDatagramSchema} from '../messages/engine-datagram.ts';
import {loadDatagramSchema, type LoadDatagram} from '../messages/load-datagram.ts';
import type {Logger} from '../runtime/logger.ts';

/** Interval at which the counts of all calls in flight are reported again, in milliseconds; corrects counts after lost datagrams and keeps them from expiring. */
const refreshIntervalMs = 400;

/** How long the report of a call that made progress or ended is held back to be sent with others, in milliseconds. New calls are reported at once. */
const progressDelayMs = 30;

/** How long a call waits for answers, in milliseconds. */
const answerTimeoutMs = 20;

/** Unanswered questions in a row after which a stager is not waited for, and for how long, in milliseconds. */
const silence = {misses: 2, pauseMs: 1000};

type Query = {
	/** The counts by instance ID. */
	readonly answers: Map<string, InFlightCounts>;
	waitingFor: number;
	readonly finish: () => void;
};

type Question = {readonly instance: string; readonly query: Query};

type Silence = {misses: number; pausedUntilMs: number};

/** Dependencies of {@link LoadQueries}. */
export type LoadQueriesOptions = {
	readonly vm: string;
	readonly inFlight: InFlightCalls;
	readonly directory: Directory;
	/** Receives the engine states that stagers send. */
	readonly onEngineState: (state: EngineDatagram) => void;
	/** The port on which the stagers receive datagrams. */
	readonly port: number;
	readonly log: Logger;
};

/** Reports and asks by datagram. */
export class LoadQueries implements LoadSource {
	private readonly socket: DatagramSocket<LoadDatagram | EngineDatagram>;
	private readonly questions = new Map<number, Question>();
	private readonly silences = new Map<string, Silence>();
	private readonly progressed = new Set<string>();
	private refreshTimer: NodeJS.Timeout | undefined;
	private progressTimer: NodeJS.Timeout | undefined;
	/** Increases over restarts, since the stagers ignore reports with a lower number. */
	private sequence = Date.now();

	constructor(private readonly options: LoadQueriesOptions) {
		this.socket = new DatagramSocket<LoadDatagram | EngineDatagram>(loadDatagramSchema.or(heldModelDatagramSchema).or(changingDatagramSchema), message => {
			if (message[0] === 'load') {
				this.handleAnswer(message);
			} else {
				options.onEngineState(message);
			}
		}, options.log);
	}

	/**
	 * Binds the socket and starts to report.
	 *
	 * @param address - the address to receive datagrams at
	 */
	async start(address: ListenAddress): Promise<void> {
		await this.socket.start(address);
		const {inFlight} = this.options;
		inFlight.setListener((instance, isMore) => {
			if (isMore) {
				this.report(instance);
			} else {
				this.scheduleReport(instance);
			}
		});
		this.refreshTimer = setInterval(() => {
			for (const instance of inFlight.instances) {
				this.report(instance);
			}
		}, refreshIntervalMs);
		this.refreshTimer.unref();
	}

	/** Stops reporting and asking. */
	stop(): void {
		clearInterval(this.refreshTimer);
		clearTimeout(this.progressTimer);
		this.options.inFlight.setListener(undefined);
		this.socket.close();
	}

	async ask(instances: readonly Instance[]): Promise<ReadonlyMap<string, InFlightCounts>> {
		const asked = instances.filter(({id}) => !this.isSilent(id));
		const answers = new Map<string, InFlightCounts>();
		if (asked.length === 0) {
			return answers;
		}

		const numbers = asked.map(() => ++this.sequence);
		await new Promise<void>(resolve => {
			const timer = setTimeout(() => {
				// After a pause of this process, answers that have arrived are read before the immediate runs.
				setImmediate(resolve);
			}, answerTimeoutMs);
			const query: Query = {
				answers, waitingFor: asked.length, finish() {
					clearTimeout(timer);
					resolve();
				},
			};
			for (const [index, {id, address}] of asked.entries()) {
				this.questions.set(numbers[index]!, {instance: id, query});
				this.socket.send(['ask', this.options.vm, numbers[index]], this.counterAddress(address));
			}
		});
		for (const number of numbers) {
			this.closeQuestion(number);
		}

		return answers;
	}

	/**
	 * Discards what is known of other instances.
	 *
	 * @param present - IDs of the instances to keep
	 */
	retainOnly(present: ReadonlySet<string>): void {
		for (const id of this.silences.keys()) {
			if (!present.has(id)) {
				this.silences.delete(id);
			}
		}
	}

	/** The stager on the engine's VM; all stagers use the same port. */
	private counterAddress(engineAddress: string): ListenAddress {
		return {host: parseAddress(engineAddress).host, port: this.options.port};
	}

	private handleAnswer([, number, [calls, unreadTokens]]: LoadDatagram): void {
		const question = this.questions.get(number);
		if (!question) {
			return;
		}

		this.questions.delete(number);
		const {instance, query} = question;
		if (this.silences.delete(instance)) {
			this.options.log.debug({event: 'counter_back', instance}, 'the stager of an engine answers again');
		}

		query.answers.set(instance, {calls, unreadTokens});
		query.waitingFor--;
		if (query.waitingFor === 0) {
			query.finish();
		}
	}

	/** Counts a question as unanswered if it is still open. */
	private closeQuestion(number: number): void {
		const question = this.questions.get(number);
		if (!question) {
			return;
		}

		this.questions.delete(number);
		const {instance} = question;
		const before = this.silences.get(instance) ?? {misses: 0, pausedUntilMs: 0};
		const misses = before.misses + 1;
		const isPaused = misses >= silence.misses;
		if (misses === silence.misses) {
			this.options.log.info({event: 'counter_silent', instance, misses}, 'the stager of an engine does not answer; using the load that the engine reports');
		}

		this.silences.set(instance, {misses, pausedUntilMs: isPaused ? performance.now() + silence.pauseMs : 0});
	}

	private isSilent(instance: string): boolean {
		return (this.silences.get(instance)?.pausedUntilMs ?? 0) > performance.now();
	}

	private scheduleReport(instance: string): void {
		this.progressed.add(instance);
		this.progressTimer ??= setTimeout(() => {
			this.progressTimer = undefined;
			for (const id of this.progressed) {
				this.report(id);
			}

			this.progressed.clear();
		}, progressDelayMs).unref();
	}

	private report(id: string): void {
		const {directory, inFlight, vm} = this.options;
		const instance = directory.instance(id);
		if (instance && directory.table?.findService(instance.service)?.engine) {
			const {calls, unreadTokens} = inFlight.countsAt(id);
			this.socket.send(['count', vm, ++this.sequence, [calls, unreadTokens]], this.counterAddress(instance.address));
		}
	}
}
