/** Home regions of routes and workspaces: what is decoded, at which instances calls may run, and how calls are refused that may run at none. */
import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {decodeItem} from '../platform/decode-published.ts';
import {applyDelta, createDelta} from '../src/directory/configuration-delta.ts';
import {Directory, type DirectorySnapshot} from '../src/directory/directory.ts';
import type {Instance, PublishedConfiguration, Route} from '../src/directory/directory-types.ts';
import {createRegionId, type RegionId} from '../src/ids/region-id.ts';
import {createWorkspaceId} from '../src/ids/workspace-id.ts';
import {directorySnapshotSchema} from '../src/peers/directory-snapshot-schema.ts';
import {HomeDemand} from '../src/placement/home-demand.ts';
import {findPermittedRegions, HomeRegions} from '../src/placement/home-regions.ts';
import {InstanceSelector} from '../src/placement/instance-selector.ts';
import {InstanceSignals} from '../src/placement/instance-signals.ts';
import {InstanceTracker} from '../src/placement/instance-tracker.ts';
import {RegionMap} from '../src/placement/region-map.ts';
import {type Candidate, selectPlainInstance} from '../src/placement/select-instance.ts';
import {VersionExpiry} from '../src/placement/version-expiry.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {
	callGateway, sendSignedResponse, startTestGateway, startUpstream, testConfiguration, type TestGateway, testInstance, testRoute, type TestUpstream, type UpstreamHandler,
} from './support/direct-fixtures.ts';

const [east, west, north] = ['east', 'west', 'north'].map(name => createRegionId(name)) as [RegionId, RegionId, RegionId];
const zones = {z: east, w: west};

const open: Array<{close: () => void}> = [];

afterEach(() => {
	for (const item of open.splice(0)) {
		item.close();
	}
});

function decode(routeHomes: unknown, tenantHomes: unknown): {configuration: PublishedConfiguration; leftOut: readonly string[]} {
	const change = decodeItem('op/config', Buffer.from(JSON.stringify({
		version: 1,
		routes: [{
			name: 'r', host: 'a.example', prefix: '/p/', kind: 'idempotent', timeout_ms: 1000, service: 'desk', home_regions: routeHomes,
		}],
		services: [{name: 'desk'}],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 10_000, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
		tenants: [{name: 't', api_keys: ['k1', 'k2'], home_regions: tenantHomes}],
	})).toString('base64'));
	if (change.kind !== 'configuration') {
		throw new Error(change.kind);
	}

	return {configuration: change.configuration, leftOut: change.leftOut ?? []};
}

it('guards against a restriction that is not read: names of regions count at routes and workspaces, an absent or empty list restricts nothing', () => {
	const {configuration} = decode(['east', 'no such region'], ['west']);
	expect(configuration.routes[0]!.homeRegions).to.deep.equal(['east', 'no such region']);
	expect(configuration.keys!.k2!.homeRegions).to.deep.equal(['west']);
	for (const none of [undefined, null, []]) {
		const {routes, keys} = decode(none, none).configuration;
		expect([routes[0]!.homeRegions, keys!.k1!.homeRegions]).to.deep.equal([undefined, undefined]);
	}
});

it('guards against calls that run anywhere because a restriction cannot be read: the route is refused, a workspace keeps its keys and may run nowhere', () => {
	for (const broken of ['east', 7, {}, ['east', 7], [null], true]) {
		const {configuration: {routes, keys}, leftOut} = decode(broken, broken);
		expect([routes[0]!.targets, keys!.k1!.homeRegions, keys!.k2!.workspace], JSON.stringify(broken)).to.deep.equal([[], [], 't']);
		expect(leftOut).to.have.length(2);
		expect(leftOut[1]).to.include('"t"');
	}
});

it('guards against restrictions that are lost between processes: a whole configuration and a difference keep those of routes and workspaces', () => {
	const before = decode(undefined, undefined).configuration;
	const configuration = {...decode(['east'], ['east', 'west']).configuration, version: 2};
	const received = directorySnapshotSchema.parse(structuredClone({versions: [], configuration, configurationDelta: createDelta(before, configuration)})) as DirectorySnapshot;
	for (const copy of [received.configuration!, applyDelta(before, received.configurationDelta!)]) {
		expect([copy.routes[0]!.homeRegions, copy.keys!.k1!.homeRegions]).to.deep.equal([['east'], ['east', 'west']]);
	}
});

it('guards against a restriction that replaces the other one: a call may run only where both its route and its workspace permit it', () => {
	const workspace = createWorkspaceId('w1');
	const find = (ofRoute?: RegionId[], ofHolder?: RegionId[]) => findPermittedRegions(testRoute({homeRegions: ofRoute}), {workspace, homeRegions: ofHolder});
	expect([find(), find([east]), find(undefined, [west]), find([east, west], [west, north]), find([east], [west]), find([east], [])])
		.to.deep.equal([undefined, [east], [west], [west], [], []]);
	expect(findPermittedRegions(testRoute({homeRegions: [east]}), undefined)).to.deep.equal([east]);
});

it('guards against a call with home regions at an instance of which nobody knows the region', () => {
	const regions = new RegionMap(zones);
	expect(['z', 'w', 'unknown', 'toString'].map(zone => regions.permits(zone, [east, north]))).to.deep.equal([true, false, false, false]);
	expect(regions.permits('unknown', undefined)).to.equal(true);
});

/** Starts a gateway in `z`, with an upstream there, which answers as `home` says, and two in `w`, which answer. */
async function start(route: Partial<Route>, home: UpstreamHandler, holderRegions?: RegionId[]): Promise<{gateway: TestGateway; atHome: TestUpstream; away: TestUpstream}> {
	const atHome = await startUpstream(home);
	const away = await startUpstream((req, res) => {
		sendSignedResponse(req, res, 200, 'away');
	});
	const service = route.kind === 'stream' ? 'models' : 'desk';
	const base = testConfiguration(1, route);
	const targets = [{service: base.services.find(({name}) => name === service)!.name, weight: 1}];
	const configuration = {
		...base, routes: [{...base.routes[0]!, targets}], keys: {k1: {workspace: createWorkspaceId('w1'), homeRegions: holderRegions}},
	};
	const held = [{
		model: 'm', version: 1, fromLayer: 0, toLayer: 16,
	}];
	const common = {service: targets[0]!.service, held};
	const gateway = await startTestGateway(configuration, [
		testInstance({
			id: 'home', address: atHome.address, zone: 'z', ...common,
		}),
		testInstance({
			id: 'away-1', address: away.address, zone: 'w', ...common,
		}),
		testInstance({
			id: 'away-2', address: away.address, zone: 'unknown', ...common,
		}),
	], {homes: new HomeRegions(new RegionMap(zones))});
	open.push(atHome, away, gateway);
	return {gateway, atHome, away};
}

const headers = {model: 'm', 'token-usage': '100,50'};

it('guards against a retry in another region: after a refusal, a broken connection and a broken stream at home, no other region gets the call', async () => {
	const homes: ReadonlyArray<[Route['kind'], UpstreamHandler]> = [
		['once', (req, res) => {
			res.writeHead(503, {'not-executed': '1', 'attempt-id': req.headers['attempt-id'] as string}).end();
		}],
		['idempotent', req => {
			req.socket.destroy();
		}],
		['stream', (req, res) => {
			res.writeHead(200, {
				'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's', 'content-type': 'text/event-stream', 'weight-versions': '1',
			});
			res.write('id: 1\ndata: a\n\n');
			setTimeout(() => res.destroy(), 20);
		}],
	];
	for (const [kind, handler] of homes) {
		const {gateway, atHome, away} = await start({
			kind, isResumable: true, attempts: 3, homeRegions: [east],
		}, handler);
		await callGateway(gateway.url, {headers});
		expect([atHome.requests.length > 0, away.requests.length], kind).to.deep.equal([true, 0]);
	}
});

it('guards against a second attempt in another region while the instance at home is silent', async () => {
	const {gateway, atHome, away} = await start({
		kind: 'idempotent', attempts: 3, homeRegions: [east],
	}, () => undefined);
	const response = await callGateway(gateway.url, {headers: {'deadline-ms': '700'}});
	expect([response.status, atHome.requests.length, away.requests.length]).to.deep.equal([504, 1, 0]);
});

it('guards against a call that runs outside its home regions, and a refusal of it that is late, no 503 or without a time to return', async () => {
	const cases: ReadonlyArray<[Partial<Route>, RegionId[] | undefined, string]> = [
		[{homeRegions: [north]}, undefined, 'no_home_instance'],
		[{}, [north], 'no_home_instance'],
		[{homeRegions: [east, north]}, [west, north], 'no_home_instance'],
		[{homeRegions: [east]}, [west], 'home_regions_contradict'],
		[{homeRegions: [east]}, [], 'home_regions_unreadable'],
		[{}, [], 'home_regions_unreadable'],
	];
	for (const [route, holderRegions, reason] of cases) {
		const {gateway, atHome, away} = await start(route, req => {
			req.socket.destroy();
		}, holderRegions);
		const response = await callGateway(gateway.url);
		const {refused} = gateway.homes.dump() as {refused: ReadonlyArray<Readonly<Record<string, unknown>>>};
		expect([response.status, Number(response.headers['retry-after']) > 0, atHome.requests.length + away.requests.length]).to.deep.equal([503, true, 0]);
		expect(refused.map(item => [item.reason, item.calls])).to.deep.equal([[reason, 1]]);
	}
});

it('guards against a call that is refused although it may run: one in both home regions is served there, one without any where there is a place', async () => {
	const serve: UpstreamHandler = (req, res) => {
		sendSignedResponse(req, res, 200, 'home');
	};

	for (const [route, holderRegions] of [[{homeRegions: [east, west]}, [east]], [{}, undefined]] as const) {
		const {gateway} = await start(route, serve, holderRegions && [...holderRegions]);
		const response = await callGateway(gateway.url);
		expect([response.status, response.body]).to.deep.equal([200, 'home']);
	}
});

it('guards against home instances that a sample misses: the only two among 330 are found for each call, also after one has been tried', async () => {
	const refusals: Array<Record<string, unknown>> = [];
	const log = Object.assign(createSilentLogger(), {
		info(fields: Record<string, unknown>) {
			refusals.push(fields);
		},
	});
	const random = new RandomSource(3);
	const directory = new Directory(log);
	const route = testRoute();
	const instances = Array.from({length: 330}, (_, at): Instance => testInstance({id: `i-${at}`, zone: at === 100 || at === 200 ? 'w' : 'z'}));
	directory.apply({revision: 1, changes: [{revision: 1, change: {kind: 'configuration', configuration: testConfiguration(1)}}]});
	directory.replaceInstances({revision: 2, changes: instances.map(instance => ({revision: 2, change: {kind: 'instance', instance}}))});
	const selector = new InstanceSelector({
		directory, tracker: new InstanceTracker(log, new InstanceSignals({log, random, gatewayCount: () => 1})), random, log, zone: 'z',
		homes: new HomeRegions(new RegionMap(zones)), loads: {ask: async () => new Map()}, versionExpiry: new VersionExpiry(directory, 8000, () => 0),
	});
	const select = async (tried: readonly string[]) => {
		const selected = await selector.select({
			route, service: route.targets[0]!.service, permittedRegions: [west], priority: 0, isReturning: false, aimLeftMs: 100, deadlineLeftMs: 900, tried: new Set(tried), isResponseStarted: false, requiredVersion: undefined,
			headers: {
				attemptId: '1', host: route.host, key: undefined, deadlineMs: 900, lastEventId: undefined, model: undefined, promptTokens: 0, promptParts: [],
			},
		});
		return 'instance' in selected ? selected.instance.id : selected.reason;
	};

	for (let round = 0; round < 50; round++) {
		expect(await select([])).to.be.oneOf(['i-100', 'i-200']);
		expect(await select(['i-100'])).to.equal('i-200');
	}

	expect(await select(['i-100', 'i-200'])).to.equal('no_home_instance');
	expect(refusals.at(-1)).to.include({event: 'no_place', reason: 'no_home_instance'}).and.to.have.deep.property('permittedRegions', [west]);
});

it('guards against bound calls without a place: calls without restriction avoid a region that bound calls fill, and no other, and not for long', () => {
	const demand = new HomeDemand();
	for (let at = 0; at < 200; at++) {
		demand.record(east, at % 4 !== 0, at);
		demand.record(west, at % 20 === 0, at);
	}

	const useMs = (region: RegionId, calls: number, nowMs = 200) => demand.reserveMs(region, {calls, slots: 6}, nowMs);
	expect([useMs(east, 1), useMs(west, 6), useMs(north, 6)]).to.deep.equal([0, 0, 0]);
	expect(useMs(east, 5)).to.be.greaterThan(30);
	expect(useMs(east, 5, 200_000)).to.equal(0);
	const candidate = (id: string, homeReserveMs: number): Candidate => ({
		id, isLocal: true, load: {calls: 5, unreadTokens: 0, slowness: 1}, slots: 6, isSuspect: false, startWindowMs: Number.POSITIVE_INFINITY, homeReserveMs,
	});
	expect(selectPlainInstance([candidate('east', useMs(east, 5)), candidate('west', useMs(west, 5))], () => 0)).to.include({kind: 'place', id: 'west'});
});

it('guards against a configuration with a misspelt region that nobody notices: its name is logged once for each version', () => {
	const warnings: object[] = [];
	const log = Object.assign(createSilentLogger(), {
		warn(fields: object) {
			warnings.push(fields);
		},
	});
	const homes = new HomeRegions(new RegionMap(zones));
	const configuration = testConfiguration(3, {homeRegions: [east, north]});
	homes.checkConfiguration(configuration, log);
	homes.checkConfiguration(configuration, log);
	homes.checkConfiguration(testConfiguration(4, {homeRegions: [east]}), log);
	expect(warnings).to.deep.equal([{
		event: 'home_region_unknown', version: 3, regions: [north], count: 1,
	}]);
});
