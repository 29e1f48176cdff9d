/** Prints the processor time of placing one call, at services of several sizes: `node build/bench.mjs placement-cost`. */
import process from 'node:process';
import {Directory} from '../src/directory/directory.ts';
import type {DirectoryChange, Route} from '../src/directory/directory-types.ts';
import {createRegionId, type RegionId} from '../src/ids/region-id.ts';
import {createServiceId} from '../src/ids/service-id.ts';
import {HomeRegions} from '../src/placement/home-regions.ts';
import {InstanceSelector} from '../src/placement/instance-selector.ts';
import {InstanceSignals} from '../src/placement/instance-signals.ts';
import {InstanceTracker} from '../src/placement/instance-tracker.ts';
import {RegionMap} from '../src/placement/region-map.ts';
import {VersionExpiry} from '../src/placement/version-expiry.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {defaultTiming} from './placing-scenarios.ts';

const sizes = [11, 110, 330];
const iterations = 40_000;
const zones = ['a', 'b', 'c'];
const regions = {a: createRegionId('near'), b: createRegionId('far'), c: createRegionId('far')};
const service = createServiceId('models');
const model = 'assistant';

const route: Route = {
	name: 'ask', host: 'models.example', prefix: '/', kind: 'stream', timeoutMs: 6000, aimMs: 400, attempts: 2, priority: 0, isPublic: true, isResumable: true,
	targets: [{service, weight: 1}],
};

function createDirectory(count: number): Directory {
	const directory = new Directory(createSilentLogger());
	const changes: DirectoryChange[] = [
		{
			kind: 'configuration', configuration: {
				version: 1, routes: [route], services: [{name: service, maxConnections: 500, engine: {...defaultTiming, models: [model]}}],
				limits: {
					headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
				},
			},
		},
		{kind: 'version', model, version: 1},
		...Array.from({length: count}, (_, at): DirectoryChange => ({
			kind: 'instance', instance: {
				id: `i-${at}`, service, address: `127.0.0.1:${at + 1}`, zone: zones[at % zones.length]!, isDraining: false, slots: 16, startedAtMs: 1,
				held: [{
					model, version: 1, fromLayer: 0, toLayer: defaultTiming.layers,
				}],
			},
		})),
	];
	directory.apply({revision: 1, changes: changes.map(change => ({revision: 1, change}))});
	return directory;
}

/** Returns the mean processor time of one placement, in microseconds; with home regions, every second call is restricted to them. */
async function measure(count: number, homeRegions?: readonly RegionId[]): Promise<number> {
	const log = createSilentLogger();
	const random = new RandomSource(1);
	const directory = createDirectory(count);
	const tracker = new InstanceTracker(log, new InstanceSignals({log, random, gatewayCount: () => count}));
	const selector = new InstanceSelector({
		directory, tracker, random, log, homes: new HomeRegions(new RegionMap(regions)), zone: zones[0]!, versionExpiry: new VersionExpiry(directory, 8000, () => 0),
		loads: {ask: async instances => new Map(instances.map(({id}, at) => [id, {calls: at, unreadTokens: 500 * at}]))},
	});
	const place = async (permittedRegions?: readonly RegionId[]) => selector.select({
		route, service, permittedRegions, priority: 0, isReturning: false, aimLeftMs: 400, deadlineLeftMs: 6000, tried: new Set(), isResponseStarted: false, requiredVersion: undefined,
		headers: {
			attemptId: '1', host: route.host, key: undefined, deadlineMs: 6000, lastEventId: undefined, model, promptTokens: 800, promptParts: [],
		},
	});
	for (let round = 0; round < iterations / 5; round++) {
		await place(round % 2 === 0 ? homeRegions : undefined);
	}

	const start = process.cpuUsage();
	for (let round = 0; round < iterations; round++) {
		await place(round % 2 === 0 ? homeRegions : undefined);
	}

	const {user, system} = process.cpuUsage(start);
	return (user + system) / iterations;
}

console.log('| engines | one placement, µs | with home regions, µs |');
console.log('| --- | --- | --- |');
for (const size of sizes) {
	const micros = await measure(size);
	const restrictedMicros = await measure(size, [regions.b]);
	console.log(`| ${size} | ${micros.toFixed(1)} | ${restrictedMicros.toFixed(1)} |`);
}
