/**
 * Compares this gateway's directory with that of fixed partners, so that it knows how long ago it last lacked nothing.
 *
 * News and random exchanges bring each change to nearly all gateways at once, but promise nothing to any one of them. An answer to a check tells
 * how old the partner's own knowledge is, back to a gateway that watches the source. A gateway whose knowledge becomes older than
 * a limit by level reads and watches the source itself, so that it is late only if it reaches neither another gateway nor the source.
 */
import type {Directory} from '../directory/directory.ts';
import type {DatagramPort} from '../links/datagram-port.ts';
import {parseAddress} from '../links/http-listener.ts';
import {
	type CheckDatagram, checkDatagramSchema, type CheckedDatagram, checkedDatagramSchema,
} from '../messages/check-datagram.ts';
import type {PeerInfo} from '../messages/peers-exchange.ts';
import {setInputTimeout} from '../runtime/input-timeout.ts';
import type {Logger} from '../runtime/logger.ts';
import type {ListeningClock} from '../runtime/pause-detector.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {type CheckPartners, choosePartners} from './check-partners.ts';
import type {DirectoryPuller} from './directory-puller.ts';
import type {OwnWatch} from './watch-duty.ts';

/** Mean interval between two rounds of checks, in milliseconds. */
const checkIntervalMs = 500;

/** Minimum interval between two rounds, in milliseconds. */
const minIntervalMs = 50;

/** How long an answer is awaited before another partner is asked, in milliseconds. */
const answerTimeoutMs = 200;

/** Number of checks whose answers are still taken. */
const keptChecks = 8;

/** How old the knowledge of a gateway may become: for a lost answer, and for one interval of each level above the gateway, in milliseconds. */
const ageLimitMs = {base: 700, perLevel: 750};

/** The minimum pause of this process after which a check is repeated, in milliseconds; after a shorter one, the answer is young enough to end a round. */
const minPauseMs = ageLimitMs.base - answerTimeoutMs;

/** Dependencies of {@link DirectoryChecks}. */
export type DirectoryChecksOptions = {
	readonly self: PeerInfo;
	/** Returns the other processes; the same array until they change. */
	readonly others: () => readonly PeerInfo[];
	readonly directory: Directory;
	readonly puller: DirectoryPuller;
	readonly datagrams: DatagramPort;
	/** The number of the port on which all processes receive datagrams. */
	readonly port: number;
	readonly random: RandomSource;
	readonly log: Logger;
	/** Tells for how long this process could hear its partners. */
	readonly clock: ListeningClock;
	/** What this process knows of the source by watching it. */
	readonly ownWatch: () => OwnWatch;
	/** Called while the knowledge is too old although the source is not known to be out. */
	readonly onUnconfirmed: () => void;
};

type SentCheck = {readonly sentAtMs: number; readonly resolve: () => void};

/** Asks partners, answers those that ask, and keeps the age of what is known. */
export class DirectoryChecks {
	private startedAtMs = performance.now();
	/** When another process last confirmed the directory, and when one last told of an outage of the source, in milliseconds of the monotonic clock. */
	private confirmedAtMs = Number.NEGATIVE_INFINITY;
	private outageAtMs = Number.NEGATIVE_INFINITY;
	private isConfirmed = true;
	private round = 0;
	private lastNumber = 0;
	/** The latest checks by number; answers may come after their timeout. */
	private readonly sent = new Map<number, SentCheck>();
	private timer: NodeJS.Timeout | undefined;
	private isStopped = false;
	private chosen: {readonly others: readonly PeerInfo[]; readonly partners: CheckPartners} | undefined;

	constructor(private readonly options: DirectoryChecksOptions) {}

	/** How long this process has known nothing newer, in milliseconds: since it started or another one confirmed its directory. */
	get ageMs(): number {
		return performance.now() - Math.max(this.startedAtMs, this.confirmedAtMs);
	}

	/** Starts to ask and to answer. */
	start(): void {
		const {datagrams, puller} = this.options;
		this.startedAtMs = performance.now();
		datagrams.on('check', checkDatagramSchema, ([, address, state, number]) => {
			this.answer(address, number);
			void puller.pull(address, state);
		});
		datagrams.on('checked', checkedDatagramSchema, message => {
			void this.takeAnswer(message);
		});
		this.schedule();
	}

	/** Asks at once, since this process was paused: what it knew before confirms nothing. */
	restart(): void {
		this.startedAtMs = performance.now();
		this.confirmedAtMs = Number.NEGATIVE_INFINITY;
		this.sent.clear();
		clearTimeout(this.timer);
		void this.runRound();
	}

	/** Stops asking. */
	stop(): void {
		this.isStopped = true;
		clearTimeout(this.timer);
	}

	/** The age of its knowledge at which this process turns to the source, in milliseconds. */
	private get limitMs(): number {
		return ageLimitMs.base + (ageLimitMs.perLevel * Math.max(1, this.partners.level));
	}

	private get partners(): CheckPartners {
		const others = this.options.others();
		if (this.chosen?.others !== others) {
			this.chosen = {others, partners: choosePartners(this.options.self, others)};
		}

		return this.chosen.partners;
	}

	/** Plans the next round, no later than the knowledge becomes too old. */
	private schedule(): void {
		if (this.isStopped) {
			return;
		}

		const leftMs = this.isConfirmed ? this.limitMs - this.ageMs : checkIntervalMs;
		const waitMs = Math.min(leftMs, this.options.random.jitter(checkIntervalMs));
		this.timer = setTimeout(() => {
			void this.runRound();
		}, Math.max(minIntervalMs, waitMs)).unref();
	}

	/** Asks partners until one confirms the directory. */
	private async runRound(): Promise<void> {
		const round = ++this.round;
		for (const address of this.listCandidates()) {
			let wasPaused: boolean;
			do {
				// An answer to a question from before a pause tells nothing of the time since.
				wasPaused = await this.check(address);
				if (round !== this.round || this.isStopped) {
					return;
				}
			} while (wasPaused);

			this.reportAge(address);
			if (this.ageMs <= this.limitMs - ageLimitMs.perLevel) {
				break;
			}
		}

		this.reportAge();
		this.schedule();
	}

	/** The partners of the own zone in turn, then one of another zone and any gateway. */
	private listCandidates(): string[] {
		const {others, random, ownWatch} = this.options;
		const {level, near, far} = this.partners;
		const nearInTurn = near.map((_, index) => near[(this.round + index) % near.length]!);
		const farInTurn = far.length === 0 ? [] : [far[this.round % far.length]!];
		const anyOther = random.sample(others().filter(({role}) => role === 'gateway'), 1).map(({address}) => address);
		const isFarFirst = level === 0 && (this.round % 2 === 0 || ownWatch() === 'failing');
		const first = isFarFirst ? [...farInTurn, ...nearInTurn] : [...nearInTurn, ...farInTurn];
		return [...new Set([...first, ...anyOther])];
	}

	/** Asks one gateway, and waits until what its answer tells is known here, but not for long; returns whether this process was paused meanwhile. */
	private async check(address: string): Promise<boolean> {
		const {directory, self, clock} = this.options;
		return new Promise(resolve => {
			const stalledBeforeMs = performance.now() - clock.listeningMs;
			const finish = () => {
				resolve(performance.now() - clock.listeningMs - stalledBeforeMs >= minPauseMs);
			};

			// A busy process is late often, and has to turn to the next partner in time nevertheless.
			const timeout = setInputTimeout(finish, answerTimeoutMs);
			const number = ++this.lastNumber;
			this.sent.delete(number - keptChecks);
			this.sent.set(number, {
				sentAtMs: performance.now(), resolve() {
					timeout.clear();
					finish();
				},
			});
			this.send(address, ['check', self.address, directory.state, number]);
		});
	}

	private answer(address: string, number: number): void {
		const {self, directory, ownWatch} = this.options;
		const watch = directory.configurationVersion === 0 ? 'none' : ownWatch();
		const ages = {
			directoryMs: watch === 'working' ? 0 : ageSince(this.confirmedAtMs),
			outageMs: watch === 'failing' ? 0 : ageSince(this.outageAtMs),
		};
		this.send(address, ['checked', self.address, directory.state, ages, number]);
	}

	private async takeAnswer([, address, state, {directoryMs, outageMs}, number]: CheckedDatagram): Promise<void> {
		const check = this.sent.get(number);
		const hasAll = await this.options.puller.pull(address, state);
		if (!check) {
			return;
		}

		if (outageMs !== null) {
			this.outageAtMs = Math.max(this.outageAtMs, check.sentAtMs - outageMs);
		}

		if (hasAll && directoryMs !== null) {
			this.confirm(check.sentAtMs - directoryMs, address);
		}

		check.resolve();
	}

	private confirm(atMs: number, address: string): void {
		this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
		this.options.directory.evacuations.confirmation.confirm();
		if (!this.isConfirmed && this.ageMs <= this.limitMs) {
			this.isConfirmed = true;
			this.options.log.info({event: 'directory_confirmed', from: address, ageMs: Math.round(this.ageMs)}, 'another process confirms the directory again');
		}
	}

	private reportAge(asked?: string): void {
		const {log, directory, onUnconfirmed} = this.options;
		const ageMs = Math.round(this.ageMs);
		if (ageMs <= this.limitMs) {
			return;
		}

		const isSourceOut = performance.now() - this.outageAtMs <= this.limitMs;
		if (this.isConfirmed) {
			this.isConfirmed = false;
			log.warn({
				event: 'directory_unconfirmed', ageMs, limitMs: this.limitMs, asked, isSourceOut, configuration: directory.configurationVersion,
			}, 'no other process has confirmed the directory for too long');
		}

		if (!isSourceOut) {
			onUnconfirmed();
		}
	}

	private send(address: string, message: CheckDatagram): void {
		const {datagrams, port} = this.options;
		datagrams.send(message, {host: parseAddress(address).host, port});
	}
}

/** Returns how long ago a time was, in milliseconds; null for a time that never was. */
function ageSince(atMs: number): number | null {
	return atMs === Number.NEGATIVE_INFINITY ? null : Math.max(0, Math.round(performance.now() - atMs));
}
