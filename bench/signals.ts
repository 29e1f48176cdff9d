/** Prints what reaches an instance after a quiet time, and the processor time that signals cost a call, at fleets of several sizes. */
import process from 'node:process';
import {platformCodec} from '../platform/call-headers.ts';
import type {Instance} from '../src/directory/directory-types.ts';
import {InstanceSignals} from '../src/placement/instance-signals.ts';
import {InstanceTracker} from '../src/placement/instance-tracker.ts';
import {createServiceId} from '../src/ids/service-id.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {playReturn, type ReturnPolicy, type ReturnResult} from './return-model.ts';

const sizes = [10, 100, 300];
const policies: readonly ReturnPolicy[] = ['header ignored', 'trial without spread', 'trial with spread'];
const seeds = 5;
const iterations = 200_000;

/** Returns the mean processor time of a function after a warm-up, in microseconds. */
function meanMicros(work: (round: number) => void): number {
	for (let round = 0; round < iterations / 5; round++) {
		work(round);
	}

	const start = process.cpuUsage();
	for (let round = 0; round < iterations; round++) {
		work(round);
	}

	const {user, system} = process.cpuUsage(start);
	return (user + system) / iterations;
}

/** Measures a placement's look at one instance, and the signals of one attempt, with as many known runs as instances. */
function measureCosts(count: number): {barrierMicros: number; attemptMicros: number} {
	const log = createSilentLogger();
	const signals = new InstanceSignals({log, random: new RandomSource(1), gatewayCount: () => count});
	const tracker = new InstanceTracker(log, signals);
	const instances = Array.from({length: count}, (_, at): Instance => ({
		id: `i-${at}`, service: createServiceId('models'), address: `127.0.0.1:${at + 1}`, zone: 'z', isDraining: false, slots: 16, startedAtMs: 1, held: [],
	}));
	const leaving = platformCodec.readResponseHeaders(200, ['Server-Leaving', '1']);
	const plain = platformCodec.readResponseHeaders(200, []);
	for (const [at, instance] of instances.entries()) {
		signals.addAttempt(instance, () => undefined).recordHead(200, at % 2 === 0 ? leaving : plain);
		tracker.recordLoaded(instance.id);
	}

	return {
		barrierMicros: meanMicros(round => {
			tracker.barrierAt(instances[round % count]!);
		}),
		attemptMicros: meanMicros(round => {
			const attempt = signals.addAttempt(instances[round % count]!, () => undefined);
			attempt.recordHead(200, plain);
			attempt.end();
		}),
	};
}

console.log('| gateways | policy | calls in the quiet time, most of one gateway | arrivals in the first 100 ms | half of the gateways served after, ms |');
console.log('| --- | --- | --- | --- | --- |');
for (const gateways of sizes) {
	for (const policy of policies) {
		const results = Array.from({length: seeds}, (_, at) => playReturn({
			seed: at + 1, gateways, policy, callsPerSecond: 50, quietMs: 2000,
		}));
		const column = (key: keyof ReturnResult) => {
			const values = results.map(result => result[key]);
			return `${Math.min(...values)} to ${Math.max(...values)}`;
		};

		console.log(`| ${gateways} | ${policy} | ${column('mostInQuiet')} | ${column('firstArrivals')} | ${column('halfBackMs')} |`);
	}
}

console.log('\n| instances | look at one candidate, us | signals of one attempt, us |');
console.log('| --- | --- | --- |');
for (const count of sizes) {
	const {barrierMicros, attemptMicros} = measureCosts(count);
	console.log(`| ${count} | ${barrierMicros.toFixed(2)} | ${attemptMicros.toFixed(2)} |`);
}
