/** Emulates a fleet under calls that crash engines: real detectors, quarantines and gossip, with modelled engines, network and clock. */
import {type Clock, install} from '@sinonjs/fake-timers';
import type {ZodType} from 'zod';
import type {Instance} from '../src/directory/directory-types.ts';
import {createPromptPartId, type PromptPartId} from '../src/ids/prompt-part-id.ts';
import {createServiceId} from '../src/ids/service-id.ts';
import type {PeerInfo} from '../src/messages/peers-exchange.ts';
import {CrashGossip} from '../src/peers/crash-gossip.ts';
import {CrashDetector} from '../src/quarantine/crash-detector.ts';
import {PromptQuarantine} from '../src/quarantine/prompt-quarantine.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {selectMember} from '../src/runtime/rendezvous.ts';

/** A load and its faults. Times are milliseconds from the start. */
export type QuarantineScenario = {
	readonly seed: number;
	readonly gateways: number;
	readonly engines: number;
	/** Calls that arrive in a second, over all gateways. */
	readonly callsPerSecond: number;
	readonly lengthMs: number;
	/** When calls with a crashing part arrive; `share` of all calls. Each such span has a part of its own. */
	readonly crashing: ReadonlyArray<{readonly fromMs: number; readonly toMs: number; readonly share: number}>;
	/** When a share of the engines crashes for another reason, at the same moment. */
	readonly otherCrashes: ReadonlyArray<{readonly atMs: number; readonly share: number}>;
	/** Number of distinct parts that sound calls begin with. */
	readonly sharedParts: number;
	/** When a gateway starts anew and knows nothing. */
	readonly restartsAtMs?: readonly number[];
};

/** What the fleet did. */
export type QuarantineResult = {
	/** Crashes that calls caused, until each gateway held the first part. */
	crashesBeforeHold: number;
	/** Crashes that calls caused, trials included. */
	crashes: number;
	/** Calls that reached an engine later than {@link settleMs} after the fifth crash by calls with the same part; of the worst part. */
	lateCrashingCalls: number;
	soundCalls: number;
	/** Sound calls that were refused because of a held part. */
	soundRefused: number;
	/** Datagrams that one gateway sent, on average. */
	datagramsPerGateway: number;
};

/** Time after the fifth crash within which calls with the part may still reach engines, in milliseconds. */
const settleMs = 3000;

/** Times of a call and of an engine, in milliseconds. */
const firstEventMs = 350;
const crashAfterFirstEventMs = 70;
const survivalMs = firstEventMs + 500;
const answerMs = 1800;
const restartMs = 3000;

const network = {delayMs: 5, lostPercent: 1};
const zones = 5;

type Call = {readonly parts: readonly PromptPartId[]; readonly crashing: number | undefined; attempts: number};
type Engine = {instance: Instance; isUp: boolean; readonly running: Map<Call, {readonly gateway: Gateway; readonly timer: NodeJS.Timeout; readonly sentAtMs: number}>};
type Gateway = {readonly quarantine: PromptQuarantine; readonly crashes: CrashDetector; readonly gossip: CrashGossip; readonly receive: (message: unknown) => void};

/**
 * Plays a scenario.
 *
 * @returns what the fleet did
 */
export async function playQuarantine(scenario: QuarantineScenario): Promise<QuarantineResult> {
	const clock = install({toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance']});
	try {
		return await new QuarantineModel(scenario, clock).run();
	} finally {
		clock.uninstall();
	}
}

class QuarantineModel {
	private readonly random: RandomSource;
	private readonly gateways: Gateway[] = [];
	private readonly engines: Engine[] = [];
	/** For each crashing part, the times of the crashes and the number of calls that came too late. */
	private readonly parts: ReadonlyArray<{readonly crashTimesMs: number[]; lateCalls: number}>;
	private datagrams = 0;
	private starts = 0;
	private readonly result: QuarantineResult = {
		crashesBeforeHold: 0, crashes: 0, lateCrashingCalls: 0, soundCalls: 0, soundRefused: 0, datagramsPerGateway: 0,
	};

	constructor(private readonly scenario: QuarantineScenario, private readonly clock: Clock) {
		this.random = new RandomSource(scenario.seed);
		this.parts = scenario.crashing.map(() => ({crashTimesMs: [], lateCalls: 0}));
		for (let index = 0; index < scenario.gateways; index++) {
			this.gateways.push(this.createGateway(index));
		}

		for (let index = 0; index < scenario.engines; index++) {
			this.engines.push({instance: this.createInstance(), isUp: true, running: new Map()});
		}
	}

	async run(): Promise<QuarantineResult> {
		const {lengthMs, otherCrashes, callsPerSecond, restartsAtMs = [], gateways} = this.scenario;
		for (const {atMs, share} of otherCrashes) {
			setTimeout(() => {
				for (const engine of this.random.sample(this.engines, Math.ceil(share * this.engines.length))) {
					this.crash(engine);
				}
			}, atMs);
		}

		for (const atMs of restartsAtMs) {
			setTimeout(() => {
				const index = this.random.nextInt(gateways);
				this.gateways[index]!.gossip.stop();
				this.gateways[index] = this.createGateway(index);
			}, atMs);
		}

		const arrivals = Math.floor(callsPerSecond * lengthMs / 1000);
		for (let at = 0; at < arrivals; at++) {
			setTimeout(() => {
				this.arrive();
			}, this.random.nextInt(lengthMs));
		}

		await this.clock.tickAsync(lengthMs);
		for (const {gossip} of this.gateways) {
			gossip.stop();
		}

		this.result.lateCrashingCalls = Math.max(0, ...this.parts.map(({lateCalls}) => lateCalls));
		this.result.datagramsPerGateway = Math.round(this.datagrams / gateways);
		return this.result;
	}

	private createGateway(index: number): Gateway {
		const vm = `g-${index}`;
		const {random, scenario} = this;
		const log = createSilentLogger();
		const zone = `z-${index % zones}`;
		let receive: (message: unknown) => void = () => undefined;
		const others: PeerInfo[] = Array.from({length: scenario.gateways}, (_, at) => at).filter(at => at !== index).map(at => ({
			vm: `g-${at}`, startedAtMs: 1, role: 'gateway', zone: `z-${at % zones}`, region: 'r', address: `10.0.${Math.floor(at / 250)}.${at % 250}:1`,
		}));
		const names = Array.from({length: scenario.gateways}, (_, at) => `g-${at}`);
		const quarantine = new PromptQuarantine({
			log, hasTurn: turn => selectMember(turn, names, name => name) === vm, tell(news) {
				gossip.tell(news);
			},
		});
		quarantine.onHeld(() => {
			this.endHeldCalls(quarantine);
		});
		const gossip = new CrashGossip({
			zone, others: () => others, port: 0, random, holds: () => quarantine.holds,
			mergeNews(news) {
				quarantine.mergeNews(news);
			},
			datagrams: {
				on<Message>(_: string, schema: ZodType<Message>, handler: (message: Message, from: {host: string; port: number}) => void) {
					receive = message => {
						handler(schema.parse(message), {host: '', port: 0});
					};
				},
				send: (message, {host}) => {
					const [high, low] = host.split('.').slice(2).map(Number);
					this.deliver(message, (high! * 250) + low!);
				},
			},
		});
		const crashes = new CrashDetector({
			probe: async ({id}) => (this.engines.some(({instance, isUp}) => instance.id === id && isUp) ? 'accepts' : 'refuses'),
			onCrash(crash, instance) {
				quarantine.recordCrash(crash, instance);
			},
			log,
		});
		gossip.start();
		return {
			quarantine, crashes, gossip, receive(message) {
				receive(message);
			},
		};
	}

	private createInstance(): Instance {
		this.starts++;
		return {
			id: `i-${this.starts}`, service: createServiceId('models'), address: '10.1.0.1:1', zone: 'z', isDraining: false, slots: 16, startedAtMs: this.starts, held: [],
		};
	}

	private deliver(message: unknown, receiver: number): void {
		this.datagrams++;
		if (this.random.nextInt(100) >= network.lostPercent) {
			setTimeout(() => {
				this.gateways[receiver]!.receive(message);
			}, network.delayMs);
		}
	}

	private arrive(): void {
		const {crashing, sharedParts, gateways} = this.scenario;
		const nowMs = performance.now();
		const active = crashing.flatMap(({fromMs, toMs, share}, index) => (nowMs >= fromMs && nowMs < toMs ? [{index, share}] : []));
		const bad = active.find(({share}) => this.random.nextInt(10_000) < share * 10_000);
		// Calls that crash engines begin with a part that sound calls have, too.
		const shared = bad ? bad.index : Math.floor(sharedParts * ((this.random.nextInt(1000) / 1000) ** 2));
		const parts = [createPromptPartId(`shared-${shared}`), ...(bad ? [createPromptPartId(`bad-${bad.index}`)] : [])];
		this.result.soundCalls += bad ? 0 : 1;
		this.send({parts, crashing: bad?.index, attempts: 0}, this.gateways[this.random.nextInt(gateways)]!);
	}

	private send(call: Call, gateway: Gateway): void {
		const up = this.engines.filter(({isUp}) => isUp);
		if (gateway.quarantine.admit(call.parts).kind === 'refuse') {
			this.result.soundRefused += call.crashing === undefined && call.attempts === 0 ? 1 : 0;
			return;
		}

		if (up.length === 0) {
			return;
		}

		call.attempts++;
		const engine = up[this.random.nextInt(up.length)]!;
		const part = call.crashing === undefined ? undefined : this.parts[call.crashing]!;
		if (part && performance.now() > (part.crashTimesMs[4] ?? Number.POSITIVE_INFINITY) + settleMs) {
			part.lateCalls++;
		}

		const timer = setTimeout(() => {
			if (part) {
				part.crashTimesMs.push(performance.now());
				this.recordCausedCrash();
				this.crash(engine);
			} else {
				engine.running.delete(call);
			}
		}, call.crashing === undefined ? answerMs : firstEventMs + crashAfterFirstEventMs);
		const {instance} = engine;
		setTimeout(() => {
			if (engine.running.has(call)) {
				gateway.quarantine.recordSurvival(instance, call.parts);
			}
		}, survivalMs);
		engine.running.set(call, {gateway, timer, sentAtMs: performance.now()});
	}

	private endHeldCalls(quarantine: PromptQuarantine): void {
		for (const {running} of this.engines) {
			for (const [call, {gateway, timer, sentAtMs}] of running) {
				if (gateway.quarantine === quarantine && performance.now() - sentAtMs < firstEventMs && quarantine.heldForMs(call.parts) !== undefined) {
					clearTimeout(timer);
					running.delete(call);
				}
			}
		}
	}

	private recordCausedCrash(): void {
		this.result.crashes++;
		if (!this.gateways.every(({quarantine}) => quarantine.holds.length > 0)) {
			this.result.crashesBeforeHold = this.result.crashes;
		}
	}

	/** Ends an engine and its calls, which are sent to another engine once, and starts it anew later. */
	private crash(engine: Engine): void {
		const {instance} = engine;
		const broken = [...engine.running];
		engine.running.clear();
		engine.isUp = false;
		setTimeout(() => {
			engine.instance = this.createInstance();
			engine.isUp = true;
		}, restartMs);
		for (const [call, {gateway, timer}] of broken) {
			clearTimeout(timer);
			gateway.crashes.recordBroken(instance, call.parts);
			if (call.attempts < 2) {
				this.send(call, gateway);
			}
		}
	}
}
