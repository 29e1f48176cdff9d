/**
 * The gateway's side of the load counts: reports its calls in flight to the stager beside each engine, and asks the stagers beside a few
 * engines before it places a call. The number of datagrams of a call does not depend on the number of gateways and engines.
 */
import type {Directory} from '../directory/directory.ts';
import type {Instance} from '../directory/directory-types.ts';
import type {InFlightCalls} from '../placement/in-flight-calls.ts';
import type {CounterAnswer, LoadSource} from '../placement/load-source.ts';
import type {PathDelays, PathWait} from '../placement/path-delays.ts';
import type {UrgencyReport} from '../placement/urgency-pressure.ts';
import type {DatagramPort} from '../links/datagram-port.ts';
import {type ListenAddress, parseAddress} from '../links/http-listener.ts';
import {
	type AskDatagram, type EngineObservation, loadDatagramSchema, type LoadDatagram,
} from '../messages/load-datagram.ts';
import {setInputTimeout} from '../runtime/input-timeout.ts';
import type {Logger} from '../runtime/logger.ts';
import type {ListeningClock} from '../runtime/pause-detector.ts';
import {asTrailing, type ObservationExchange} from './engine-observation.ts';
import {numberInstance, splitNumbered} from './numbered-instance.ts';
import {decodeYields, encodeReport} from './urgency-wire.ts';

/** Interval at which the counts of all calls in flight are reported again, in milliseconds; corrects counts after lost datagrams and keeps them from expiring. */
const refreshIntervalMs = 700;

/** How long the report of a call that made progress or ended is held back to be sent with others, in milliseconds. New calls are reported at once. */
const progressDelayMs = 30;

/** How long a call waits for answers, in milliseconds. */
const answerTimeoutMs = 20;

/** How long counts are used if no newer ones arrive in time, in milliseconds; the link of an engine's VM delays answers while it carries weights. */
const countsTtlMs = 600;

/** How long a stager may leave all questions unanswered before calls no longer wait for it, in milliseconds. */
const silenceMs = 400;

/** Minimum interval between two questions to a stager that is not waited for, in milliseconds. */
const silentAskIntervalMs = 250;

/** Minimum interval between a question that only measures the path to a stager and the one before, in milliseconds. */
const probeIntervalMs = 200;

/** Number of unanswered probes of one stager that are remembered. */
const maxProbes = 32;

/** How long a stager gets questions without an urgency after it answered only such a one, in milliseconds; one of an earlier version drops others. */
const plainQuestionsMs = 5000;

/** What is known of the stager beside one instance. */
type Counter = {
	counts: CounterAnswer;
	countedAtMs: number;
	lastAskedMs: number;
	/** When the last question was sent that only measures the path. */
	lastProbedMs: number;
	/** The numbers of such questions that are unanswered, oldest first. */
	readonly probes: Set<number>;
	/** When the first question after the last answer was sent, by the listening clock; undefined if none was. */
	unansweredSinceMs: number | undefined;
	/** The wait for the answer to one question, as far as it tells of the path, and the number of the question. */
	timed?: {readonly wait: PathWait | undefined; readonly number: number} | undefined;
	/** Whether the last question carried no urgency because the stager was silent. */
	isAskedPlainly: boolean;
	/** Until when questions carry no urgency. */
	plainUntilMs: number;
	/** The queries that wait for the answer. */
	readonly waiting: Set<Query>;
};

/** A call's question to several stagers. */
type Query = {unanswered: number; readonly finish: () => void};

/** Dependencies of {@link LoadQueries}. */
export type LoadQueriesOptions = {
	readonly vm: string;
	readonly inFlight: InFlightCalls;
	readonly directory: Directory;
	readonly datagrams: DatagramPort;
	/** The number of the port on which the stagers receive datagrams. */
	readonly port: number;
	readonly log: Logger;
	/** Tells for how long this process could hear the stagers. */
	readonly clock: ListeningClock;
	/** Passes on what engines say of themselves. */
	readonly observations?: ObservationExchange;
	/** Records how long answers are under way. */
	readonly paths?: PathDelays;
};

/** Reports and asks by datagram. */
export class LoadQueries implements LoadSource {
	private readonly counters = new Map<string, Counter>();
	private readonly progressed = new Set<string>();
	private refreshTimer: NodeJS.Timeout | undefined;
	private progressTimer: NodeJS.Timeout | undefined;
	/** Increases over restarts, since the stagers ignore reports with a lower number. */
	private sequence = Date.now();
	/** Number of the last question; increases over restarts, since an answer to an earlier question may still arrive. */
	private questions = Date.now();

	constructor(private readonly options: LoadQueriesOptions) {
		options.datagrams.on('load', loadDatagramSchema, answer => {
			this.handleAnswer(answer);
		});
	}

	/** Starts to report. */
	start(): void {
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
	}

	async ask(instances: readonly Instance[], report?: UrgencyReport): Promise<ReadonlyMap<string, CounterAnswer>> {
		const nowMs = performance.now();
		const urgency = report && encodeReport(report);
		const responsive = instances.filter(instance => this.sendQuestion(instance, nowMs, urgency));
		if (responsive.length > 0) {
			await this.waitForAnswers(responsive);
		}

		const oldestMs = performance.now() - countsTtlMs;
		return new Map(instances.flatMap(({id}) => {
			const counter = this.counters.get(id);
			return counter && counter.countedAtMs >= oldestMs ? [[id, counter.counts] as const] : [];
		}));
	}

	probe({id, address}: Instance): void {
		const counter = this.getCounter(id);
		const nowMs = performance.now();
		if (nowMs - Math.max(counter.lastAskedMs, counter.lastProbedMs) >= probeIntervalMs) {
			const question = this.createQuestion(id, counter);
			counter.lastProbedMs = nowMs;
			addProbe(counter.probes, this.questions);
			this.options.datagrams.send(question, this.counterAddress(address));
		}
	}

	/**
	 * Discards what is known of other instances.
	 *
	 * @param present - IDs of the instances to keep
	 */
	retainOnly(present: ReadonlySet<string>): void {
		for (const id of this.counters.keys()) {
			if (!present.has(id)) {
				this.counters.delete(id);
			}
		}
	}

	/** Asks the stager beside an instance; returns whether an answer can be expected soon. */
	private sendQuestion({id, address}: Instance, nowMs: number, urgency: AskDatagram[3]): boolean {
		const counter = this.getCounter(id);
		const {listeningMs} = this.options.clock;
		const isSilent = counter.unansweredSinceMs !== undefined && listeningMs - counter.unansweredSinceMs >= silenceMs;
		if (isSilent && nowMs - counter.lastAskedMs < silentAskIntervalMs) {
			return false;
		}

		if (isSilent) {
			this.options.log.info({event: 'counter_silent', instance: id, forMs: Math.round(listeningMs - counter.unansweredSinceMs!)}, 'the stager of an engine does not answer; using the load that the engine reports');
		}

		counter.lastAskedMs = nowMs;
		counter.unansweredSinceMs ??= listeningMs;
		counter.isAskedPlainly = isSilent;
		const question = this.createQuestion(id, counter);
		const isPlain = urgency === undefined || isSilent || nowMs < counter.plainUntilMs;
		this.options.datagrams.send(isPlain ? question : [...question, urgency], this.counterAddress(address));
		return !isSilent;
	}

	private getCounter(id: string): Counter {
		let counter = this.counters.get(id);
		if (!counter) {
			counter = {
				counts: {calls: 0, unreadTokens: 0},
				countedAtMs: Number.NEGATIVE_INFINITY,
				lastAskedMs: Number.NEGATIVE_INFINITY,
				lastProbedMs: Number.NEGATIVE_INFINITY,
				probes: new Set(),
				unansweredSinceMs: undefined,
				isAskedPlainly: false,
				plainUntilMs: Number.NEGATIVE_INFINITY,
				waiting: new Set<Query>(),
			};
			this.counters.set(id, counter);
		}

		return counter;
	}

	/** Creates the next question to a stager; the time until its answer, or that of an earlier one, tells of the path. */
	private createQuestion(id: string, counter: Counter): AskDatagram {
		this.questions++;
		counter.timed ??= {wait: this.options.paths?.wait(id), number: this.questions};
		counter.timed.wait?.renew();
		return ['ask', this.options.vm, numberInstance(id, this.questions)];
	}

	/** Waits until all stagers have answered, or for a bounded time. */
	private async waitForAnswers(instances: readonly Instance[]): Promise<void> {
		const waitedFor = instances.map(({id}) => this.counters.get(id)!);
		let query: Query | undefined;
		await new Promise<void>(resolve => {
			const timeout = setInputTimeout(resolve, answerTimeoutMs);
			query = {
				unanswered: waitedFor.length, finish() {
					timeout.clear();
					resolve();
				},
			};
			for (const {waiting} of waitedFor) {
				waiting.add(query);
			}
		});
		for (const {waiting} of waitedFor) {
			waiting.delete(query!);
		}
	}

	/** Takes an answer, also one that arrives too late for the call that asked: it helps the next one. */
	private handleAnswer([, numbered, [calls, unreadTokens], extras]: LoadDatagram): void {
		const [instance, number] = splitNumbered(numbered);
		const counter = this.counters.get(instance);
		if (!counter) {
			return;
		}

		if (counter.timed && number >= counter.timed.number) {
			counter.timed.wait?.end();
			counter.timed = undefined;
		}

		// An answer to a probe lacks what is told with an urgency.
		if (!counter.probes.delete(number)) {
			this.takeCounts(instance, counter, [calls, unreadTokens], extras);
		}
	}

	private takeCounts(instance: string, counter: Counter, [calls, unreadTokens]: LoadDatagram[2], extras: LoadDatagram[3]): void {
		this.takeObservation(instance, extras);
		const yields = decodeYields(extras);
		counter.counts = yields ? {calls, unreadTokens, yields} : {calls, unreadTokens};
		counter.countedAtMs = performance.now();
		if (counter.isAskedPlainly) {
			counter.plainUntilMs = counter.countedAtMs + plainQuestionsMs;
		}

		counter.unansweredSinceMs = undefined;
		for (const query of counter.waiting) {
			query.unanswered--;
			if (query.unanswered === 0) {
				query.finish();
			}
		}

		counter.waiting.clear();
	}

	/** The stager on the engine's VM; all stagers use the same port. */
	private counterAddress(engineAddress: string): ListenAddress {
		return {host: parseAddress(engineAddress).host, port: this.options.port};
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
		const {datagrams, directory, inFlight, vm} = this.options;
		const instance = directory.instance(id);
		if (instance && directory.table?.findService(instance.service)?.engine) {
			const {calls, unreadTokens} = inFlight.countsAt(id);
			const observation = this.isToldPlainly(id) ? undefined : this.options.observations?.own(instance);
			datagrams.send(['count', vm, ++this.sequence, [calls, unreadTokens], ...asTrailing(observation)], this.counterAddress(instance.address));
		}
	}

	/** Returns whether the stager beside an instance may be of an earlier version, which drops reports with further elements. */
	private isToldPlainly(id: string): boolean {
		const counter = this.counters.get(id);
		return counter !== undefined && (counter.isAskedPlainly || performance.now() < counter.plainUntilMs);
	}

	private takeObservation(id: string, observation: EngineObservation | undefined): void {
		const instance = observation && this.options.directory.instance(id);
		if (instance) {
			this.options.observations?.take(instance, observation);
		}
	}
}

function addProbe(probes: Set<number>, number: number): void {
	const [oldest] = probes;
	if (oldest !== undefined && probes.size >= maxProbes) {
		probes.delete(oldest);
	}

	probes.add(number);
}
