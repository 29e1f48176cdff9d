/** Emulates gateways that return to an instance after it has asked all of them for quiet: real trackers, with a modelled instance, calls and clock. */
import {install} from '@sinonjs/fake-timers';
import {platformCodec} from '../platform/call-headers.ts';
import type {Instance} from '../src/directory/directory-types.ts';
import {InstanceSignals} from '../src/placement/instance-signals.ts';
import {InstanceTracker} from '../src/placement/instance-tracker.ts';
import {createServiceId} from '../src/ids/service-id.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';

/** How gateways treat the request for quiet. */
export type ReturnPolicy = 'header ignored' | 'trial without spread' | 'trial with spread';

/** One emulation. */
export type ReturnScenario = {
	readonly seed: number;
	readonly gateways: number;
	readonly policy: ReturnPolicy;
	/** Calls in a second that each gateway would place at the instance. */
	readonly callsPerSecond: number;
	/** The time that the instance asks for, in milliseconds. */
	readonly quietMs: number;
};

/** What reached the instance. */
export type ReturnResult = {
	/** Calls between half a second after the last refusal and the end of the quiet time, of the gateway with most. */
	readonly mostInQuiet: number;
	/** Calls of all gateways in the first {@link windowMs} after the end of the quiet time. */
	readonly firstArrivals: number;
	/** When half of the gateways have had a call answered, in milliseconds after the end of the quiet time. */
	readonly halfBackMs: number;
};

/** Length of the window after the quiet time, in milliseconds. */
export const windowMs = 100;

/** Within this time from the start all gateways are refused, in milliseconds. */
const refusalSpanMs = 200;

/** Time from a refusal within which calls may still be under way, in milliseconds. */
const graceMs = 500;

/** Time from a call to the head of its response, in milliseconds. */
const responseMs = 30;

/** How long the return is watched, in milliseconds. */
const watchMs = 5000;

const instance: Instance = {
	id: 'i-1', service: createServiceId('models'), address: '127.0.0.1:1', zone: 'z', isDraining: false, slots: 16, startedAtMs: 1, held: [],
};

/** Plays the time from the refusal until the gateways are back. */
export function playReturn({seed, gateways, policy, callsPerSecond, quietMs}: ReturnScenario): ReturnResult {
	const clock = install();
	try {
		const random = new RandomSource(seed);
		const startMs = performance.now();
		const arrivals: Array<{gateway: number; atMs: number}> = [];
		const firstServedMs = new Map<number, number>();
		const respond = (tracker: InstanceTracker, gateway: number) => {
			const attempt = tracker.signals.addAttempt(instance, () => undefined);
			const leftMs = startMs + quietMs - performance.now();
			setTimeout(() => {
				const status = leftMs > 0 ? 503 : 200;
				const headers = leftMs > 0 && policy !== 'header ignored' ? ['Retry-After', (leftMs / 1000).toFixed(3)] : [];
				attempt.recordHead(status, platformCodec.readResponseHeaders(status, headers));
				attempt.end();
				if (status === 503) {
					tracker.recordRefusal(instance.id, status);
				} else if (!firstServedMs.has(gateway)) {
					firstServedMs.set(gateway, performance.now() - startMs - quietMs);
				}
			}, responseMs);
		};

		for (let gateway = 0; gateway < gateways; gateway++) {
			const log = createSilentLogger();
			const gatewayCount = () => (policy === 'trial with spread' ? gateways : 1);
			const tracker = new InstanceTracker(log, new InstanceSignals({log, random, gatewayCount}));
			const refusedMs = random.nextInt(refusalSpanMs);
			setTimeout(() => {
				respond(tracker, gateway);
			}, refusedMs);
			const intervalMs = 1000 / callsPerSecond;
			setTimeout(() => {
				setInterval(() => {
					if (!tracker.barrierAt(instance)) {
						tracker.signals.reserveTrial(instance);
						arrivals.push({gateway, atMs: performance.now() - startMs});
						respond(tracker, gateway);
					}
				}, intervalMs);
			}, refusedMs + responseMs + random.nextInt(Math.ceil(intervalMs)));
		}

		clock.tick(quietMs + watchMs);
		const inQuiet = arrivals.filter(({atMs}) => atMs > refusalSpanMs + graceMs && atMs < quietMs);
		const perGateway = Array.from({length: gateways}, (_, gateway) => inQuiet.filter(arrival => arrival.gateway === gateway).length);
		return {
			mostInQuiet: Math.max(...perGateway),
			firstArrivals: arrivals.filter(({atMs}) => atMs >= quietMs && atMs < quietMs + windowMs).length,
			halfBackMs: Math.round([...firstServedMs.values()].toSorted((a, b) => a - b)[Math.floor(gateways / 2)] ?? Number.POSITIVE_INFINITY),
		};
	} finally {
		clock.uninstall();
	}
}
