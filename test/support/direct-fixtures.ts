/** Published state, upstreams, gateways and callers for tests. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {platformCodec} from '../../platform/call-headers.ts';
import {type ChangeContext, Directory} from '../../src/directory/directory.ts';
import type {
	EngineTiming, Instance, PublishedConfiguration, Route,
} from '../../src/directory/directory-types.ts';
import {type CallEnd, CallForwarder} from '../../src/forwarding/call-forwarder.ts';
import {CallBoundary} from '../../src/forwarding/call-boundary.ts';
import {CallerListener} from '../../src/forwarding/caller-listener.ts';
import {HomeRegions} from '../../src/placement/home-regions.ts';
import {InstanceSignals} from '../../src/placement/instance-signals.ts';
import {InstanceTracker} from '../../src/placement/instance-tracker.ts';
import type {LoadSource} from '../../src/placement/load-source.ts';
import {RegionMap} from '../../src/placement/region-map.ts';
import type {WireCodec} from '../../src/forwarding/wire-codec.ts';
import {bodyRoomFor} from '../../src/limits/body-room.ts';
import {MemoryBudget} from '../../src/limits/memory-budget.ts';
import {processLimitsFor} from '../../src/limits/process-limits.ts';
import type {ConnectionLimits} from '../../src/links/connection-limit.ts';
import {PromptQuarantine} from '../../src/quarantine/prompt-quarantine.ts';
import {type Crash, CrashDetector} from '../../src/quarantine/crash-detector.ts';
import {createServiceId} from '../../src/ids/service-id.ts';
import {createWorkspaceId} from '../../src/ids/workspace-id.ts';
import {PauseDetector} from '../../src/runtime/pause-detector.ts';
import {createSilentLogger} from '../../src/runtime/logger.ts';
import {RandomSource} from '../../src/runtime/random-source.ts';

/** Engine timing as a deployment publishes it. */
export const testEngineTiming: EngineTiming = {
	slots: 16, stepMs: 8.87, perCallMs: 0.0388, contextMsPerKilotoken: 0.0227, readTokensPerMs: 19.1, stepsPerPass: 5,
	usualPromptTokens: 977, usualAnswerTokens: 94, layers: 16, chunkCount: 4, chunkBytes: 8, models: ['m'],
};

/** The circumstances of changes that a watch tells as soon as they are made. */
export function observedNow(): ChangeContext {
	return {namedAfterMs: performance.now(), isAfterOutage: false};
}

/** Returns a route with defaults for all properties. */
export function testRoute(route: Partial<Route> = {}): Route {
	return {
		name: 'r', host: 'a.example', prefix: '/p/', kind: 'once', timeoutMs: 1000, aimMs: 100, attempts: 2, priority: 1, isPublic: false, isResumable: false,
		targets: [{service: createServiceId('desk'), weight: 1}], ...route,
	};
}

/** Returns a configuration with one route. */
export function testConfiguration(version: number, route: Partial<Route> = {}): PublishedConfiguration {
	return {
		version,
		routes: [testRoute(route)],
		services: [{name: createServiceId('desk'), maxConnections: 50}, {name: createServiceId('models'), maxConnections: 50, engine: testEngineTiming}],
		limits: {
			headerBytes: 2000, bodyBytes: 10_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		keys: {k1: {workspace: createWorkspaceId('w1')}},
	};
}

/** Returns an instance with defaults for all properties but the ID. */
export function testInstance(instance: Partial<Instance> & {readonly id: string}): Instance {
	return {
		service: createServiceId('desk'), address: '127.0.0.1:1', zone: 'z', isDraining: false, slots: 6, startedAtMs: 1, held: [], ...instance,
	};
}

/** Returns the boundary of a call; unless `expectsFault` is set, an exception in the code of the call fails the test. */
export function testBoundary({expectsFault = false} = {}): CallBoundary {
	return new CallBoundary({
		log: createSilentLogger(), disconnect: () => undefined, onFault(phase) {
			if (!expectsFault) {
				throw new Error(`an exception in the phase ${phase} of a call`);
			}
		},
	});
}

/** A fake upstream and the requests that it has received. */
export type TestUpstream = {readonly address: string; readonly requests: http.IncomingMessage[]; readonly close: () => void};

/** Handles one request to a fake upstream. */
export type UpstreamHandler = (req: http.IncomingMessage, res: http.ServerResponse, bodyText: string) => void;

/** Starts a fake upstream. */
export async function startUpstream(handler: UpstreamHandler): Promise<TestUpstream> {
	const requests: http.IncomingMessage[] = [];
	const server = http.createServer((req, res) => {
		requests.push(req);
		const parts: Buffer[] = [];
		req.on('data', (part: Buffer) => {
			parts.push(part);
		});
		req.on('end', () => {
			handler(req, res, Buffer.concat(parts).toString('utf8'));
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`, requests, close() {
			server.close();
			server.closeAllConnections();
		},
	};
}

/** Sends a response with the ID of the call and a signature, as real upstreams do. */
export function sendSignedResponse(req: http.IncomingMessage, res: http.ServerResponse, status: number, body: string): void {
	res.writeHead(status, {'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's.1', 'content-length': Buffer.byteLength(body)});
	res.end(body);
}

/** A gateway in the test process, without its control listeners. */
export type TestGateway = {readonly directory: Directory; readonly tracker: InstanceTracker; readonly forwarder: CallForwarder; readonly listener: CallerListener; readonly bodies: MemoryBudget; readonly quarantine: PromptQuarantine; readonly homes: HomeRegions; readonly crashes: readonly Crash[]; readonly ends: readonly CallEnd[]; readonly faults: {count: number}; readonly url: string; readonly close: () => void};

/** What a test changes of a gateway. */
type TestGatewayOptions = {readonly codec?: WireCodec; readonly retrySlack?: number; readonly homes?: HomeRegions; readonly hedgeRatio?: number; readonly onHedge?: (result: string) => void; readonly connections?: ConnectionLimits; readonly loads?: LoadSource};

/** Starts the caller listener of a gateway with the given configuration and instances. */
export async function startTestGateway(configuration: PublishedConfiguration | undefined, instances: readonly Instance[], options: TestGatewayOptions = {}): Promise<TestGateway> {
	const {codec = platformCodec, retrySlack = 100, homes = new HomeRegions(new RegionMap({})), hedgeRatio = 0, onHedge, connections, loads = {ask: async () => new Map()}} = options;
	const log = createSilentLogger();
	const directory = new Directory(log);
	directory.apply({revision: 1, changes: configuration ? [{revision: 1, change: {kind: 'configuration', configuration}}] : []});
	directory.replaceInstances({revision: 2, changes: instances.map(instance => ({revision: 2, change: {kind: 'instance', instance}}))});
	const tracker = new InstanceTracker(log, new InstanceSignals({log, random: new RandomSource(8), gatewayCount: () => 1}), {evacuations: directory.evacuations});
	const crashList: Crash[] = [];
	const faults = {count: 0};
	const ends: CallEnd[] = [];
	const pauses = new PauseDetector();
	const quarantine = new PromptQuarantine({log, hasTurn: () => true, tell: () => undefined});
	const crashes = new CrashDetector({
		probe: async instance => tracker.probeConnection(instance), onCrash(crash, instance) {
			crashList.push(crash);
			quarantine.recordCrash(crash, instance);
		}, log,
	});
	const forwarder = new CallForwarder({
		directory, codec, tracker, crashes, quarantine, loads, homes, random: new RandomSource(7), log, zone: 'z',
		retryBudget: {ratio: 0.2, slack: retrySlack, windowMs: 10_000}, versionBoundMs: 8000, clock: pauses, eventLoopDelayMs: () => 0, gatewayCount: () => 1, onEnd(end) {
			ends.push(end);
		},
		hedgeRatio: () => hedgeRatio, onHedge(_, result) {
			onHedge?.(result);
		},
	});
	quarantine.onHeld(() => {
		forwarder.endHeldCalls();
	});
	const bodies = new MemoryBudget(bodyRoomFor(350));
	const heads = new MemoryBudget(processLimitsFor(350, 4096).callers.heads);
	const listener = new CallerListener({
		forwarder, codec, log, heads, bodies, ...(connections && {connections}), limits: () => directory.table?.configuration.limits, onFault() {
			faults.count++;
		},
	});
	const {port} = await listener.start({host: '127.0.0.1', port: 0});
	return {
		directory, tracker, forwarder, listener, bodies, quarantine, homes, crashes: crashList, ends, faults, url: `http://127.0.0.1:${port}`, close() {
			listener.destroy();
			pauses.stop();
		},
	};
}

/** The response to a call; `complete` is false if it was truncated. */
export type TestResponse = {readonly status: number; readonly headers: http.IncomingHttpHeaders; readonly body: string; readonly complete: boolean};

/** Sends a call to a gateway. */
export async function callGateway(url: string, options: {path?: string; method?: string; headers?: Record<string, string>; body?: string; disconnectAfterMs?: number; readsNothing?: boolean} = {}): Promise<TestResponse> {
	const {path = '/p/x', method = 'POST', headers = {}, body = 'b', disconnectAfterMs, readsNothing = false} = options;
	return new Promise((resolve, reject) => {
		let hasResponse = false;
		let wasReset = false;
		const req = http.request(`${url}${path}`, {
			method, agent: false, headers: {
				host: 'a.example', 'attempt-id': 'id-1', 'api-key': 'k1', 'deadline-ms': '900', ...headers,
			},
		}, res => {
			let text = '';
			hasResponse = true;
			if (readsNothing) {
				return;
			}

			res.setEncoding('utf8').on('data', (part: string) => {
				text += part;
			});
			res.on('error', () => undefined);
			res.on('close', () => {
				resolve({
					status: res.statusCode ?? 0, headers: res.headers, body: text, complete: res.complete && !wasReset,
				});
			});
		});
		req.on('socket', socket => {
			socket.prependOnceListener('end', () => {
				// Node.js may report a reset as an end; the socket has no peer then.
				wasReset ||= socket.remoteAddress === undefined;
			});
		});
		req.on('error', err => {
			// The parser reports a response without a length as complete even if a reset cut it off.
			wasReset = true;
			if (!hasResponse || readsNothing) {
				reject(err);
			}
		});
		req.end(body);
		if (disconnectAfterMs !== undefined) {
			setTimeout(() => {
				req.destroy(new Error('left'));
			}, disconnectAfterMs);
		}
	});
}
