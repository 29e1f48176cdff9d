/** Calls at cold instances: how gateways learn that an instance is cold, and what happens to the calls that it cannot take. */
import {Buffer} from 'node:buffer';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {platformCodec} from '../platform/call-headers.ts';
import {decodeItem} from '../platform/decode-published.ts';
import {Directory} from '../src/directory/directory.ts';
import type {DirectoryChange, PublishedConfiguration} from '../src/directory/directory-types.ts';
import {createServiceId} from '../src/ids/service-id.ts';
import {DatagramPort} from '../src/links/datagram-port.ts';
import {directorySnapshotSchema} from '../src/peers/directory-snapshot-schema.ts';
import {serveStartClaims} from '../src/peers/start-claim-listener.ts';
import {StartClaims} from '../src/peers/start-claims.ts';
import {ColdStarts} from '../src/placement/cold-starts.ts';
import {HomeRegions} from '../src/placement/home-regions.ts';
import type {InstanceQuery} from '../src/placement/instance-query.ts';
import {InstanceSelector} from '../src/placement/instance-selector.ts';
import {InstanceSignals} from '../src/placement/instance-signals.ts';
import {InstanceTracker} from '../src/placement/instance-tracker.ts';
import {RegionMap} from '../src/placement/region-map.ts';
import {StartLimiter} from '../src/placement/start-limiter.ts';
import {VersionExpiry} from '../src/placement/version-expiry.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {
	callGateway, sendSignedResponse, startTestGateway, startUpstream, testConfiguration, testInstance, testRoute,
} from './support/direct-fixtures.ts';
import {sharedPort} from './support/loopback-ports.ts';

const log = createSilentLogger();
const encodeValue = (value: unknown) => Buffer.from(JSON.stringify(value)).toString('base64');

function withCold(configuration: PublishedConfiguration, startMs: number, callsPerSecond: number): PublishedConfiguration {
	return {...configuration, services: configuration.services.map(service => ({...service, cold: {startMs, callsPerSecond}}))};
}

it('guards against cold times that are misread: rates and times are decoded, unusable ones allow one call per second and are reported, and the rest of the configuration stays', () => {
	const decode = (service: object) => {
		const change = decodeItem('op/config', encodeValue({
			version: 1, routes: [], limits: {
				max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1,
			}, services: [{name: 's', ...service}],
		})) as Extract<DirectoryChange, {kind: 'configuration'}>;
		expect(change).to.have.property('configuration');
		return {cold: change.configuration.services[0]!.cold, findings: change.leftOut?.length};
	};

	expect(decode({cold_start_s: 3, cold_per_s: 14})).to.deep.equal({cold: {startMs: 3000, callsPerSecond: 14}, findings: 0});
	for (const none of [{}, {cold_start_s: 3}, {cold_start_s: 3, cold_per_s: 0}, {cold_start_s: null, cold_per_s: null}]) {
		expect(decode(none)).to.deep.equal({cold: undefined, findings: 0});
	}

	for (const rate of [-1, '14', 1e300, {}]) {
		expect(decode({cold_start_s: 3, cold_per_s: rate})).to.deep.equal({cold: {startMs: 3000, callsPerSecond: 1}, findings: 1});
	}

	expect(decode({cold_start_s: -3, cold_per_s: 14})).to.deep.equal({cold: {startMs: 0, callsPerSecond: 14}, findings: 1});
	const headers = (value: string) => platformCodec.readResponseHeaders(200, ['Cold-Ms', value]);
	expect(headers('1200.5')).to.deep.include({coldMs: 1200.5, unreadableSignals: []});
	expect(headers('-1')).to.deep.include({coldMs: undefined, unreadableSignals: ['cold-ms: -1']});
});

it('guards against messages to peers about a cold time that only counts down: entries of one cold time are no change, a new one is, and peers learn what is left of it', () => {
	const clock = install();
	try {
		const directory = new Directory(log);
		const peer = new Directory(log);
		directory.apply({revision: 1, changes: [{revision: 1, change: {kind: 'configuration', configuration: withCold(testConfiguration(1), 3000, 14)}}]});
		const list = (revision: number, coldLeftMs?: number) => {
			directory.replaceInstances({revision, changes: [{revision, change: {kind: 'instance', instance: testInstance({id: 'i', ...(coldLeftMs === undefined ? {} : {coldLeftMs})})}}]});
			return directory.instances[0];
		};

		const first = list(2, 3000);
		clock.tick(1200);
		expect(list(3, 1700), 'told 100 ms early').to.equal(first);
		clock.tick(300);
		const told = directorySnapshotSchema.parse(structuredClone(directory.snapshot(0, 0)));
		peer.mergeFromPeer(told as ReturnType<Directory['snapshot']>, performance.now());
		expect(peer.instances[0]?.coldUntilMs).to.equal(3000);
		expect(peer.table?.findService(createServiceId('desk'))?.cold).to.deep.equal({startMs: 3000, callsPerSecond: 14});
		clock.tick(2000);
		expect(list(4), 'warm').to.equal(first);
		expect(list(5, 3000)?.coldUntilMs, 'cold again').to.equal(6500);
		expect(list(6)?.coldUntilMs, 'warm before its time').to.equal(undefined);
	} finally {
		clock.uninstall();
	}
});

/** Starts a cold and a warm upstream of a plain service and a gateway; returns how many calls each got of 30. */
async function callColdService(coldLeftMs: number, coldHeader: string | undefined): Promise<{cold: number; warm: number; served: number}> {
	const coldUpstream = await startUpstream((req, res) => {
		if (coldHeader !== undefined) {
			res.setHeader('Cold-Ms', coldHeader);
		}

		sendSignedResponse(req, res, 200, 'cold');
	});
	const warmUpstream = await startUpstream((req, res) => {
		sendSignedResponse(req, res, 200, 'warm');
	});
	const gateway = await startTestGateway(withCold(testConfiguration(1), 0, 2), [testInstance({id: 'cold', address: coldUpstream.address, coldLeftMs}), testInstance({id: 'warm', address: warmUpstream.address})]);
	try {
		let served = 0;
		for (let call = 0; call < 30; call++) {
			const {status} = await callGateway(gateway.url);
			served += Number(status === 200);
		}

		return {cold: coldUpstream.requests.length, warm: warmUpstream.requests.length, served};
	} finally {
		for (const item of [gateway, coldUpstream, warmUpstream]) {
			item.close();
		}
	}
}

it('guards against calls that a cold instance cannot take, known from its entry or its last response: they go to other instances, and all are served', async () => {
	const [listed, said, warm] = [await callColdService(60_000, undefined), await callColdService(0, '60000'), await callColdService(0, undefined)];
	expect([listed.served, said.served, warm.served]).to.deep.equal([30, 30, 30]);
	expect(listed.cold).to.be.at.most(4);
	expect(said.cold).to.be.at.most(5);
	expect(warm.cold).to.be.greaterThan(5);
});

it('guards against a start that is used too late: a call whose start has lapsed is not written, and is served elsewhere', async () => {
	const upstreams = await Promise.all(['cold', 'warm'].map(async body => startUpstream((req, res) => {
		sendSignedResponse(req, res, 200, body);
	})));
	const gateway = await startTestGateway(withCold(testConfiguration(1), 0, 2), upstreams.map(({address}, at) => testInstance({id: `i-${at}`, address, ...(at === 0 ? {coldLeftMs: 60_000} : {})})));
	let claims = 0;
	Object.assign(gateway.tracker.coldStarts, {
		async claim() {
			claims++;
			return {isValid: () => false};
		},
	});
	try {
		for (let call = 0; call < 10; call++) {
			const {status, body} = await callGateway(gateway.url);
			expect([status, body]).to.deep.equal([200, 'warm']);
		}

		expect(upstreams[0]!.requests).to.have.length(0);
		expect(claims).to.be.greaterThan(0);
	} finally {
		for (const item of [gateway, ...upstreams]) {
			item.close();
		}
	}
});

it('guards against calls that are refused although a start is due soon: at a service whose only instance is cold, they wait for their turn', async () => {
	const upstream = await startUpstream((req, res) => {
		sendSignedResponse(req, res, 200, 'cold');
	});
	const gateway = await startTestGateway(withCold(testConfiguration(1), 0, 14), [testInstance({id: 'i', address: upstream.address, coldLeftMs: 60_000})]);
	try {
		const responses = await Promise.all([1, 2, 3, 4, 5, 6].map(async () => callGateway(gateway.url)));
		const served = responses.filter(({status}) => status === 200).length;
		expect(served, 'in a quarter of the time that the calls have').to.be.within(2, 4);
		expect(responses.filter(({status}) => status === 503)).to.have.length(6 - served);
		expect(responses.filter(({status}) => status === 503).every(({headers}) => Number(headers['retry-after']) > 0)).to.equal(true);
		expect(upstream.requests).to.have.length(served);
	} finally {
		gateway.close();
		upstream.close();
	}
});

const engineService = createServiceId('models');
const held = [{
	model: 'm', version: 1, fromLayer: 0, toLayer: 16,
}];

function createSelector(directory: Directory, tracker: InstanceTracker): InstanceSelector {
	return new InstanceSelector({
		directory, tracker, random: new RandomSource(3), log, zone: 'z', homes: new HomeRegions(new RegionMap({})), loads: {ask: async () => new Map()}, versionExpiry: new VersionExpiry(directory, 8000, () => 0),
	});
}

function createQuery(overrides: Partial<InstanceQuery>): InstanceQuery {
	return {
		route: testRoute({kind: 'stream'}), service: engineService, headers: platformCodec.readCallHeaders(['model', 'm', 'token-usage', '100,5']),
		priority: 0, isReturning: false, aimLeftMs: 400, deadlineLeftMs: 6000, tried: new Set(), isResponseStarted: false, requiredVersion: undefined, ...overrides,
	};
}

/** Creates a selector with one engine. */
function startSelector(instance: Parameters<typeof testInstance>[0]): {readonly selector: InstanceSelector; readonly tracker: InstanceTracker} {
	const directory = new Directory(log);
	directory.apply({revision: 1, changes: [{revision: 1, change: {kind: 'configuration', configuration: withCold(testConfiguration(1), 0, 14)}}]});
	directory.replaceInstances({revision: 2, changes: [{revision: 2, change: {kind: 'instance', instance: testInstance({service: engineService, held, ...instance})}}]});
	const tracker = new InstanceTracker(log, new InstanceSignals({log, random: new RandomSource(3), gatewayCount: () => 1}));
	return {selector: createSelector(directory, tracker), tracker};
}

it('guards against late calls that are sent a second time to an instance that is warming up: it has no free slot once its share of slots is used', async () => {
	const clock = install();
	try {
		const {selector, tracker} = startSelector({id: 'i-1', slots: 16, startedAtMs: Date.now()});
		const calls = Array.from({length: 8}, () => tracker.inFlight.add('i-1', 0));
		for (const call of calls) {
			tracker.inFlight.markStarted(call);
		}

		expect(await selector.select(createQuery({aimLeftMs: 4000}))).to.deep.include({hasFreeSlot: false});
		clock.tick(3000);
		expect(await selector.select(createQuery({aimLeftMs: 4000}))).to.deep.include({hasFreeSlot: true});
	} finally {
		clock.uninstall();
	}
});

it('guards against late calls that take the starts of a cold instance, or its trial call, from others: a second attempt passes such an instance over at once', async () => {
	const clock = install();
	try {
		const cold = startSelector({
			id: 'i-1', slots: 16, coldLeftMs: 60_000, startedAtMs: Date.now() - 60_000,
		});
		let claims = 0;
		Object.assign(cold.tracker.coldStarts, {
			async claim() {
				claims++;
				return {isValid: () => true};
			},
		});
		expect(await cold.selector.select(createQuery({onlyReady: true}))).to.deep.include({reason: 'no_upstream'});
		expect(claims).to.equal(0);
		expect(await cold.selector.select(createQuery({})), 'the start is left').to.have.property('instance');
		const due = startSelector({id: 'i-1', slots: 16, startedAtMs: Date.now() - 60_000});
		const attempt = due.tracker.signals.addAttempt(testInstance({id: 'i-1', startedAtMs: Date.now() - 60_000}), () => undefined);
		attempt.recordHead(503, platformCodec.readResponseHeaders(503, ['Retry-After', '1']));
		attempt.end();
		clock.tick(1100);
		expect(await due.selector.select(createQuery({onlyReady: true}))).to.deep.include({reason: 'no_upstream'});
		expect(await due.selector.select(createQuery({})), 'the trial is left').to.have.property('instance');
	} finally {
		clock.uninstall();
	}
});

it('guards against a zone that is cold as a whole: each of its engines gets what it can take, the other zone the rest, and callers of an all-cold service learn when to return', async () => {
	const clock = install();
	try {
		const directory = new Directory(log);
		const change = (at: number): DirectoryChange => ({
			kind: 'instance', instance: testInstance({
				id: `i-${at}`, service: engineService, address: `127.0.0.1:${at + 1}`, zone: at < 4 ? 'z' : 'y', held, startedAtMs: Date.now() - 60_000, ...(at < 4 ? {coldLeftMs: 10_000} : {}),
			}),
		});
		directory.apply({revision: 1, changes: [{kind: 'configuration' as const, configuration: withCold(testConfiguration(1), 3000, 14)}, ...Array.from({length: 8}, (_, at) => change(at))].map(item => ({revision: 1, change: item}))});
		const limiters = new Map<string, StartLimiter>();
		const random = new RandomSource(3);
		const coldStarts = new ColdStarts({
			log, limits: {overage: 1.5, slack: 5}, share: () => ({rank: 0, known: 1, count: 1}), random: () => 0, startedAtMs: 0, authority: {
				async claim({id}, spacing) {
					limiters.set(id, limiters.get(id) ?? new StartLimiter(0));
					return limiters.get(id)!.claim(performance.now(), spacing);
				},
			},
		});
		const tracker = new InstanceTracker(log, new InstanceSignals({log, random, gatewayCount: () => 1}), {coldStarts});
		const selector = createSelector(directory, tracker);
		const place = async (deadlineLeftMs = 6000) => selector.select(createQuery({deadlineLeftMs}));
		const starts = new Map<string, number>();
		for (let call = 0; call < 1000; call++) {
			clock.tick(5);
			const selection = await place();
			expect(selection).to.have.property('instance');
			const id = 'instance' in selection ? selection.instance.id : '';
			starts.set(id, (starts.get(id) ?? 0) + 1);
		}

		const cold = [0, 1, 2, 3].map(at => starts.get(`i-${at}`) ?? 0);
		expect(Math.min(...cold), `${cold.join(', ')} starts in 5 s`).to.be.at.least(40);
		expect(Math.max(...cold)).to.be.at.most(5 * 14);
		for (const at of [4, 5, 6, 7]) {
			tracker.recordLoading(`i-${at}`);
		}

		const last = await place(1);
		expect('retryAfterMs' in last && last.retryAfterMs, 'no start is left in this moment').to.be.within(1, 1500);
	} finally {
		clock.uninstall();
	}
});

it('guards against starts that two gateways are both granted, and calls that wait for a stager that is gone: it answers each claim once, and is soon not waited for', async () => {
	const port = sharedPort;
	const stager = new DatagramPort(log);
	serveStartClaims(stager, () => 7);
	const gateways = ['127.0.0.21', '127.0.0.22'].map(host => ({host, datagrams: new DatagramPort(log)}));
	const claims = gateways.map(({datagrams}) => new StartClaims({datagrams, port}));
	const engine = testInstance({id: 'i', address: '127.0.2.1:80'});
	const spacing = {intervalMs: 300, toleranceMs: 0};
	try {
		await stager.start({host: '127.0.2.1', port});
		for (const {host, datagrams} of gateways) {
			await datagrams.start({host, port});
		}

		await new Promise(resolve => {
			setTimeout(resolve, 310);
		});
		const answers = await Promise.all([...claims, ...claims].map(async claim => claim.claim(engine, spacing)));
		expect(answers.filter(answer => answer?.isAllowed)).to.have.length(1);
		expect(answers.every(answer => answer !== undefined)).to.equal(true);
		expect(claims[0]!.reportedGateways).to.equal(7);
		stager.close();
		const startMs = performance.now();
		for (let round = 0; round < 40; round++) {
			expect(await claims[0]!.claim(engine, spacing)).to.equal(undefined);
		}

		expect(performance.now() - startMs, '40 timeouts of 20 ms would take 800 ms').to.be.lessThan(400);
	} finally {
		for (const {datagrams} of gateways) {
			datagrams.close();
		}
	}
});
