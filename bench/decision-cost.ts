/** Measures the processor time of one routing decision and of one admission. */
import type {Priority} from '../src/configuration/documents.ts';
import {type AdmissionCall, AdmissionQueue} from '../src/limits/admission-queue.ts';
import type {Member} from '../src/membership/member.ts';
import {UpstreamRouter} from '../src/routing/upstream-router.ts';
import {RandomSource} from '../src/runtime/random-source.ts';

const iterations = 5000;

const manifest = 'a'.repeat(64);

function createMembers(count: number): Member[] {
	return Array.from({length: count}, (item, index) => {
		const vm = `vm-${index}`;
		return {
			vm, role: 'upstream', state: 'live', zone: 'zone', region: 'region', address: '', services: ['assistant'], usable: true, reason: '',
			sight: {
				failedConnects: 0, reportAtMs: performance.now(), report: {
					vm, incarnation: '1', state: 'ready', service: 'assistant', configRevision: 1, running: index % 8, queued: 0, capacity: 8, prefixes: [],
					served: ['v1', 'v2'].map(version => ({
						model: 'assistant', version, manifest, adapters: [],
					})),
				},
			},
		};
	});
}

/** Returns the mean duration of a function after a warm-up, in microseconds. */
function meanMicros(work: () => void): number {
	for (let round = 0; round < iterations / 5; round++) {
		work();
	}

	const startMs = performance.now();
	for (let round = 0; round < iterations; round++) {
		work();
	}

	return (performance.now() - startMs) * 1000 / iterations;
}

/**
 * Measures one choice of an upstream (by version, load and prefix affinity) with the start and end of its attempt, and the query for
 * the capacity that admission uses.
 *
 * @param count - number of candidates
 * @returns durations in microseconds
 */
export function measureChoice(count: number): {chooseMicros: number; capacityMicros: number} {
	const members = createMembers(count);
	const versions = {v1: {manifest, adapters: []}, v2: {manifest, adapters: []}};
	const router = new UpstreamRouter({
		membership: {members, upstreamsOf: service => members.filter(member => member.usable && member.services.includes(service))},
		store: {
			model: () => ({
				serve: 'v2', previous: 'v1', versions, objective: 'time',
			}), service: () => undefined,
		},
		random: new RandomSource(1), zone: 'zone',
	});
	const route = {service: 'assistant', model: 'assistant'};
	const prompt = 'the front wheel of the stroller squeaks '.repeat(20);
	let callCount = 0;
	return {
		chooseMicros: meanMicros(() => {
			const target = router.choose(route, new Set(), undefined, `${callCount++ % 50} ${prompt}`);
			router.beginAttempt(target?.member.vm ?? '', 'assistant')('answered');
		}),
		capacityMicros: meanMicros(() => {
			router.capacityOf('assistant');
		}),
	};
}

/**
 * Measures one admission and one release while calls of all workspaces wait.
 *
 * @param workspaces - number of workspaces with waiting calls
 * @returns the duration in microseconds
 */
export function measureAdmission(workspaces: number): number {
	const queue = new AdmissionQueue<AdmissionCall>({
		limit: {current: 48, recordAnswer: () => undefined}, maxWaitMs: 1e9, shareOf: name => ({weight: 1 + (name.length % 3), max_concurrent: 256}),
	});
	const running: AdmissionCall[] = [];
	let offerCount = 0;
	const offerCall = (): void => {
		const call = {
			workspace: `workspace-${offerCount++ % workspaces}`, priority: 'normal' satisfies Priority as Priority, arrivedAtMs: 0, deadlineAtMs: 1e12,
		};
		queue.offer(call, offerCount);
		running.push(...queue.dispatch(offerCount).map(verdict => verdict.call));
	};

	for (let index = 0; index < 48 + (3 * workspaces); index++) {
		offerCall();
	}

	return meanMicros(() => {
		const finished = running.shift();
		if (finished) {
			queue.release(finished, offerCount, true);
		}

		offerCall();
	});
}
