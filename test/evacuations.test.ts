/** Evacuation of zones: what is decoded and known, how it reaches every process, and what becomes of calls. */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import {decodeItem, decodeRemoval} from '../platform/decode-published.ts';
import {lacksEvacuations} from '../src/directory/directory-state.ts';
import {Directory, type DirectorySnapshot} from '../src/directory/directory.ts';
import type {DirectoryChange, Route} from '../src/directory/directory-types.ts';
import {Evacuations} from '../src/directory/evacuations.ts';
import {createRegionId} from '../src/ids/region-id.ts';
import {createServiceId} from '../src/ids/service-id.ts';
import {createStoreEra} from '../src/ids/store-era.ts';
import {directorySnapshotSchema} from '../src/peers/directory-snapshot-schema.ts';
import {HomeRegions} from '../src/placement/home-regions.ts';
import {InFlightCalls} from '../src/placement/in-flight-calls.ts';
import {RegionMap} from '../src/placement/region-map.ts';
import {EvacuationReport} from '../src/reports/evacuation-report.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {
	callGateway, sendSignedResponse, startTestGateway, startUpstream, testConfiguration, type TestGateway, testInstance, type TestUpstream, type UpstreamHandler,
} from './support/direct-fixtures.ts';
import {DirectoryStore} from './support/directory-store.ts';
import {waitFor} from './support/fleet.ts';
import {observedConfiguration, observedPlain, readLines} from './support/observed-gateway.ts';
import {Processes} from './support/processes.ts';
import {type ReplicaFleet, withReplicas} from './support/replica-fleet.ts';

const open: Array<{close: () => void}> = [];

afterEach(() => {
	for (const item of open.splice(0)) {
		item.close();
	}
});

const begin = (zone: string): DirectoryChange => ({kind: 'evacuation', zone});
const end = (zone: string): DirectoryChange => ({kind: 'evacuation-ended', zone});
const createEvacuations = () => new Evacuations(createSilentLogger());

/** Applies a full read of the source that has the evacuations of some zones, each with the revision at which it began. */
function read(evacuations: Evacuations, revision: number, begun: ReadonlyArray<[string, number]>): void {
	const changes = begun.map(([zone, begunAt]) => ({revision: begunAt, change: begin(zone)}));
	evacuations.recordComplete({revision, changes}, true);
	for (const [zone, begunAt] of begun) {
		evacuations.record(zone, true, {revision: begunAt});
	}
}

it('guards against an evacuation that is not in force because its value cannot be read, and one that never ends: the key alone counts', () => {
	const encode = (text: string) => Buffer.from(text).toString('base64');
	for (const text of ['{}', 'null', '7', '{"zone":"other"}', '{', '']) {
		expect(decodeItem('op/evacuate/z-a', encode(text)), text).to.deep.equal(begin('z-a'));
	}

	expect(decodeRemoval('op/evacuate/z-a')).to.deep.equal(end('z-a'));
	expect(decodeItem('op/other', encode('{}')).kind).to.equal('unreadable');
	expect(decodeRemoval('op/config').kind).to.equal('unreadable');
});

it('guards against an older message that begins or ends an evacuation again: the later revision wins, whatever the order', () => {
	const evacuations = createEvacuations();
	read(evacuations, 10, [['z', 8]]);
	evacuations.record('z', false, {revision: 7});
	expect(evacuations.isEvacuated('z')).to.equal(true);
	expect(evacuations.endedAtMs('z')).to.equal(undefined);
	evacuations.record('z', false, {revision: 12});
	evacuations.record('z', true, {revision: 8});
	expect(evacuations.isEvacuated('z')).to.equal(false);
	expect(evacuations.endedAtMs('z')).to.be.a('number');
});

it('guards against an evacuation whose end was missed: a full read that lacks it ends it, an earlier read or one without its revision does not', () => {
	const evacuations = createEvacuations();
	read(evacuations, 10, [['z', 8], ['w', 9]]);
	evacuations.record('late', true, {revision: 30});
	evacuations.recordComplete({revision: 20, changes: []}, false);
	expect(evacuations.zones).to.have.members(['z', 'w', 'late']);
	read(evacuations, 21, [['w', 9]]);
	expect(evacuations.zones).to.have.members(['w', 'late']);
	expect(evacuations.endedAtMs('z')).to.be.a('number');
});

it('guards against processes that disagree for good: after any changes and messages, all that have heard of each other know the same', () => {
	const step = fc.oneof(
		fc.record({kind: fc.constant('change' as const), zone: fc.constantFrom('a', 'b', 'c'), isEvacuated: fc.boolean()}),
		fc.record({kind: fc.constant('read' as const), by: fc.nat(2)}),
		fc.record({kind: fc.constant('message' as const), from: fc.nat(2), to: fc.nat(2)}),
	);
	fc.assert(fc.property(fc.array(step, {maxLength: 40}), steps => {
		const processes = [createEvacuations(), createEvacuations(), createEvacuations()];
		const source = new Map<string, number>();
		let revision = 1;
		const send = (from: number, to: number) => {
			const {shareable} = processes[from]!;
			if (shareable) {
				processes[to]!.merge(shareable, performance.now());
			}
		};

		for (const item of steps) {
			if (item.kind === 'change') {
				revision++;
				source.delete(item.zone);
				if (item.isEvacuated) {
					source.set(item.zone, revision);
				}
			} else if (item.kind === 'read') {
				read(processes[item.by]!, revision, [...source]);
			} else {
				send(item.from, item.to);
			}
		}

		read(processes[0]!, revision, [...source]);
		send(0, 1);
		send(1, 2);
		for (const evacuations of processes) {
			expect(evacuations.zones.toSorted()).to.deep.equal([...source.keys()].toSorted());
			expect(processes.some(other => evacuations.lacks(other.lastChange!))).to.equal(false);
		}
	}), {seed: 63, numRuns: 500});
});

it('guards against an evacuation that ends because the source came back from an older copy: it lasts until there was time to publish it again', () => {
	const clock = install({toFake: ['setTimeout', 'clearTimeout', 'performance']});
	try {
		const evacuations = createEvacuations();
		read(evacuations, 150, [['kept', 140], ['lost', 141], ['written', 142]]);
		const copy = {era: createStoreEra(1), revision: 47, changes: []};
		evacuations.recordComplete(copy, true);
		expect(evacuations.zones).to.have.members(['kept', 'lost', 'written']);
		evacuations.record('written', true, {era: createStoreEra(1), revision: 48});
		evacuations.record('kept', true, {era: createStoreEra(1), revision: 49});
		evacuations.record('kept', false, {revision: 151});
		clock.tick(20_000);
		expect(evacuations.zones).to.have.members(['kept', 'written']);
		evacuations.record('kept', false, {era: createStoreEra(1), revision: 60});
		expect(evacuations.zones).to.deep.equal(['written']);
	} finally {
		clock.uninstall();
	}
});

it('guards against evacuations that never end at processes that learn of them from others after the source came back without them', () => {
	const clock = install({toFake: ['setTimeout', 'clearTimeout', 'performance']});
	try {
		const era = createStoreEra(1);
		const [reader, relayed, started] = [createEvacuations(), createEvacuations(), createEvacuations()];
		read(reader, 150, [['z', 140]]);
		reader.recordComplete({era, revision: 47, changes: []}, true);
		clock.tick(2000);
		reader.recordComplete({era, revision: 60, changes: []}, false);
		relayed.merge(reader.shareable!, performance.now());
		started.recordComplete({era, revision: 60, changes: []}, true);
		started.merge(reader.shareable!, performance.now());
		expect([relayed.zones, started.zones]).to.deep.equal([['z'], ['z']]);
		clock.tick(2900);
		expect([reader.zones, relayed.zones, started.zones]).to.deep.equal([['z'], ['z'], ['z']]);
		clock.tick(2100);
		expect([reader.zones, relayed.zones, started.zones]).to.deep.equal([[], [], []]);
		expect(relayed.lacks(reader.lastChange!)).to.equal(false);
	} finally {
		clock.uninstall();
	}
});

it('guards against an evacuation that never ends since its revision in the earlier era was learned late, and one that ends early since the source came back twice', () => {
	const clock = install({toFake: ['setTimeout', 'clearTimeout', 'performance']});
	try {
		const evacuations = createEvacuations();
		read(evacuations, 150, [['again', 140], ['twice', 141]]);
		evacuations.recordComplete({era: createStoreEra(1), revision: 47, changes: []}, true);
		evacuations.record('again', true, {revision: 145});
		evacuations.record('twice', true, {era: createStoreEra(1), revision: 48});
		clock.tick(4000);
		evacuations.recordComplete({era: createStoreEra(2), revision: 40, changes: []}, true);
		clock.tick(1100);
		expect(evacuations.zones).to.deep.equal(['twice']);
		clock.tick(4000);
		expect(evacuations.zones).to.deep.equal([]);
	} finally {
		clock.uninstall();
	}
});

it('guards against processes that are not told of an evacuation that ends because it was not published again', () => {
	const clock = install({toFake: ['setTimeout', 'clearTimeout', 'performance']});
	try {
		const directory = new Directory(createSilentLogger());
		read(directory.evacuations, 150, [['z', 140]]);
		directory.evacuations.recordComplete({era: createStoreEra(1), revision: 47, changes: []}, true);
		directory.apply({revision: 47, changes: []});
		let notified = 0;
		directory.onChange(() => {
			notified++;
		});
		clock.tick(5100);
		expect([directory.evacuations.zones, notified]).to.deep.equal([[], 1]);
	} finally {
		clock.uninstall();
	}
});

it('guards against evacuations that are lost between processes: a snapshot tells them to one that knows none, with the time of an end', () => {
	const [sender, receiver] = [new Directory(createSilentLogger()), new Directory(createSilentLogger())];
	read(sender.evacuations, 10, [['z', 8], ['w', 9]]);
	const ended = {revision: 11, changes: [{revision: 11, change: end('w')}]};
	sender.evacuations.recordComplete(ended, false);
	sender.apply(ended);
	expect(receiver.evacuations.isKnown).to.equal(false);
	expect(lacksEvacuations(receiver.evacuations, sender.state)).to.equal(true);
	let notified = 0;
	receiver.onChange(() => {
		notified++;
	});
	const snapshot = directorySnapshotSchema.parse(structuredClone(sender.snapshot(0, 0))) as DirectorySnapshot;
	receiver.mergeFromPeer(snapshot, receiver.clock.nowMs);
	const {evacuations} = receiver;
	expect([evacuations.isKnown, evacuations.zones, notified]).to.deep.equal([true, ['z'], 1]);
	expect(evacuations.endedAtMs('w')).to.be.closeTo(performance.now(), 200);
	expect(lacksEvacuations(receiver.evacuations, sender.state)).to.equal(false);
	receiver.mergeFromPeer({versions: []}, receiver.clock.nowMs);
	expect(evacuations.zones).to.deep.equal(['z']);
});

/** Starts a gateway with one upstream in `z` and one in `w`, which answer with the name of their zone unless `handle` does. */
async function start(route: Partial<Route> = {}, handle?: UpstreamHandler): Promise<{gateway: TestGateway; upstreams: Record<'z' | 'w', TestUpstream>}> {
	const startIn = async (zone: string) => startUpstream(handle ?? ((req, res) => {
		sendSignedResponse(req, res, 200, zone);
	}));
	const upstreams = {z: await startIn('z'), w: await startIn('w')};
	const service = createServiceId(route.kind === 'stream' ? 'models' : 'desk');
	const held = [{
		model: 'm', version: 1, fromLayer: 0, toLayer: 16,
	}];
	const instances = (['z', 'w'] as const).map(zone => testInstance({
		id: zone, zone, address: upstreams[zone].address, service, held,
	}));
	const homes = new HomeRegions(new RegionMap({z: createRegionId('east'), w: createRegionId('west')}));
	const gateway = await startTestGateway(testConfiguration(1, {targets: [{service, weight: 1}], ...route}), instances, {homes, retrySlack: 0});
	open.push(upstreams.z, upstreams.w, gateway);
	return {gateway, upstreams};
}

function apply({directory}: TestGateway, revision: number, ...changes: DirectoryChange[]): void {
	directory.apply({revision, changes: changes.map(change => ({revision, change}))});
}

it('guards against calls at instances of an evacuated zone, and calls that stay away after its end', async () => {
	const {gateway} = await start();
	const served = async () => {
		const responses = await Promise.all(Array.from({length: 12}, async () => callGateway(gateway.url)));
		return [...new Set(responses.map(({status, body}) => `${status} ${body}`))];
	};

	const {directory, tracker} = gateway;
	apply(gateway, 3, begin('z'));
	expect(['z', 'w'].map(id => tracker.barrierAt(directory.instance(id)!)?.reason)).to.deep.equal(['evacuated', undefined]);
	expect(await served()).to.deep.equal(['200 w']);
	apply(gateway, 4, end('z'));
	expect(await served()).to.include('200 z');
});

it('guards against an evacuation of an unknown zone that takes the others out of force, or of which nobody hears', async () => {
	const {gateway} = await start();
	apply(gateway, 3, begin('z'), begin('nowhere'));
	const warnings: object[] = [];
	const log = Object.assign(createSilentLogger(), {
		warn(fields: object) {
			warnings.push(fields);
		},
	});
	const report = new EvacuationReport({
		directory: gateway.directory, regions: new RegionMap({}), inFlight: new InFlightCalls(), boundMs: 5000, directoryAgeMs: () => 0, log,
	});
	report.checkZones();
	report.checkZones();
	expect(warnings).to.deep.equal([{event: 'evacuation_zone_unknown', zone: 'nowhere', revision: 3}]);
	const response = await callGateway(gateway.url);
	expect(response.body).to.equal('w');
});

it('guards against calls that are sent to the last evacuated zone because no other is left, and refusals without the reason or a time to return', async () => {
	for (const [route, zones, reason] of [
		[{}, ['z', 'w'], 'all_zones_evacuated'],
		[{homeRegions: [createRegionId('east')]}, ['z'], 'no_home_instance'],
		[{homeRegions: [createRegionId('east')]}, ['z', 'w'], 'all_zones_evacuated'],
	] as const) {
		const {gateway, upstreams} = await start(route);
		apply(gateway, 3, ...zones.map(zone => begin(zone)));
		const response = await callGateway(gateway.url);
		expect([response.status, upstreams.z.requests.length + upstreams.w.requests.length]).to.deep.equal([503, 0]);
		expect(Number(response.headers['retry-after'])).to.be.within(1, 2);
		expect(gateway.ends.map(item => item.reason)).to.deep.equal([reason]);
	}
});

it('guards against a call that is sent although its zone was evacuated after it was placed: it moves, also if it may run only once and no retry is left', async () => {
	const {gateway, upstreams} = await start({kind: 'once'});
	// The other instance looks busier, so that the call is placed in the zone of the gateway.
	gateway.tracker.recordReportedLoad('w', 6);
	let placedAt: string | undefined;
	gateway.tracker.inFlight.setListener(id => {
		if (placedAt === undefined) {
			placedAt = id;
			queueMicrotask(() => {
				apply(gateway, 3, begin('z'));
			});
		}
	});
	const response = await callGateway(gateway.url);
	expect([placedAt, response.status, response.body, upstreams.z.requests.length]).to.deep.equal(['z', 200, 'w', 0]);
});

it('guards against a call that is sent by what was known before the process stood still: it waits until that is confirmed, but not for long', async () => {
	const {gateway, upstreams} = await start();
	const {confirmation} = gateway.directory.evacuations;
	confirmation.require();
	const call = callGateway(gateway.url);
	await sleep(80);
	expect(upstreams.z.requests.length + upstreams.w.requests.length).to.equal(0);
	apply(gateway, 3, begin('z'));
	confirmation.confirm();
	const moved = await call;
	expect(moved.body).to.equal('w');
	confirmation.require();
	const late = await callGateway(gateway.url);
	expect(late.status).to.equal(200);
});

it('guards against work that an evacuation breaks off: a stream under way ends as usual', async () => {
	const {gateway, upstreams} = await start({kind: 'stream', timeoutMs: 3000}, (req, res) => {
		res.writeHead(200, {
			'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's', 'content-type': 'text/event-stream', 'weight-versions': '1',
		});
		res.write('id: 1\ndata: a\n\n');
		setTimeout(() => res.end('id: 2\ndata: b\n\n'), 150);
	});
	const call = callGateway(gateway.url, {headers: {model: 'm', 'token-usage': '100,50'}});
	while (upstreams.z.requests.length + upstreams.w.requests.length === 0) {
		await sleep(5);
	}

	apply(gateway, 3, begin('z'), begin('w'));
	const response = await call;
	expect([response.status, response.complete, response.body.includes('data: b')]).to.deep.equal([200, true, true]);
	expect(upstreams.z.requests.length + upstreams.w.requests.length).to.equal(1);
});

const size = {gateways: 12, stagers: 0, zones: ['z-a', 'z-b', 'z-c']};

/** Time within which a change reaches all processes that are not cut off, in milliseconds: with a source that answers, and with one that is unstable. */
const spreadMs = {usual: 2000, unstable: 5000};

function evacuate({source}: ReplicaFleet, zone: string): void {
	source.publish('published', `op/evacuate/${zone}`, begin(zone));
}

const isEvacuatedAt = ({gateways}: ReplicaFleet, zone: string) => gateways.map(({directory}) => directory.evacuations.isEvacuated(zone));

it('guards against a process that does not hear of an evacuation or of its end: both reach all gateways, few of which read the source', async () => {
	await withReplicas(5, size, async fleet => {
		evacuate(fleet, 'z-a');
		await fleet.pass(spreadMs.usual);
		expect(isEvacuatedAt(fleet, 'z-a')).to.not.include(false);
		fleet.source.publish('published', 'op/evacuate/z-a', end('z-a'));
		await fleet.pass(spreadMs.usual);
		expect(isEvacuatedAt(fleet, 'z-a')).to.not.include(true);
		expect(fleet.gateways.every(({directory}) => directory.evacuations.endedAtMs('z-a') !== undefined)).to.equal(true);
	});
}).timeout(60_000);

it('guards against a process that starts while the source is out and sends calls to an evacuated zone: it learns of it from others before it knows of no evacuations', async () => {
	await withReplicas(6, size, async fleet => {
		evacuate(fleet, 'z-a');
		await fleet.pass(spreadMs.usual);
		fleet.add('gateway', 50, 'z-b');
		const added = fleet.gateways.at(-1)!;
		for (const {info} of fleet.gateways) {
			fleet.source.refused.add(info.vm);
		}

		const known: boolean[] = [];
		added.directory.onChange(() => {
			const {configurationVersion, evacuations} = added.directory;
			known.push(configurationVersion > 0 && evacuations.isKnown ? evacuations.isEvacuated('z-a') : true);
		});
		added.replica.start();
		await fleet.pass(spreadMs.unstable);
		expect([added.directory.evacuations.isKnown, added.directory.evacuations.isEvacuated('z-a')]).to.deep.equal([true, true]);
		expect(known).to.not.include(false);
		expect(isEvacuatedAt(fleet, 'z-a')).to.not.include(false);
	});
}).timeout(60_000);

it('guards against an evacuation that waits for a source which is silent to those with the duty to watch it', async () => {
	await withReplicas(7, size, async fleet => {
		for (const {info} of fleet.gateways.filter(({replica}) => replica.isWatching).slice(0, 3)) {
			fleet.source.silent.add(info.vm);
		}

		evacuate(fleet, 'z-b');
		await fleet.pass(spreadMs.unstable);
		expect(isEvacuatedAt(fleet, 'z-b')).to.not.include(false);
	});
}).timeout(60_000);

it('guards against a process that was cut off and goes on with what it knew: after it is back, it learns of the begin and of the end of evacuations', async () => {
	await withReplicas(8, size, async fleet => {
		evacuate(fleet, 'z-a');
		await fleet.pass(spreadMs.usual);
		const {info, directory: {evacuations}} = fleet.gateways.at(-1)!;
		fleet.isCut = (from, to) => from.vm === info.vm || to.vm === info.vm;
		fleet.source.silent.add(info.vm);
		evacuate(fleet, 'z-b');
		fleet.source.publish('published', 'op/evacuate/z-a', end('z-a'));
		await fleet.pass(spreadMs.unstable);
		expect(evacuations.zones).to.deep.equal(['z-a']);
		fleet.isCut = () => false;
		await fleet.pass(spreadMs.unstable);
		expect(evacuations.zones).to.deep.equal(['z-b']);
	});
}).timeout(60_000);

it('guards against a process that stood still and counts as confirmed before it has heard of an evacuation', async () => {
	await withReplicas(9, size, async fleet => {
		const stopped = [...fleet.chooseOrdinary()].map(vm => fleet.gateways.find(({info}) => info.vm === vm)!);
		for (const item of stopped) {
			item.isDown = true;
			fleet.source.silent.add(item.info.vm);
		}

		evacuate(fleet, 'z-a');
		await fleet.pass(spreadMs.unstable);
		const confirmed: Array<{isEvacuated: boolean; afterMs: number}> = [];
		const resumedAtMs = performance.now();
		const resume = async ({directory: {evacuations}, replica}: ReplicaFleet['gateways'][number]) => {
			expect(evacuations.isEvacuated('z-a')).to.equal(false);
			evacuations.confirmation.require();
			replica.catchUp();
			await evacuations.confirmation.wait();
			confirmed.push({isEvacuated: evacuations.isEvacuated('z-a'), afterMs: performance.now() - resumedAtMs});
		};

		for (const item of stopped) {
			item.isDown = false;
			void resume(item);
		}

		await fleet.pass(spreadMs.usual);
		expect(confirmed.map(({isEvacuated}) => isEvacuated)).to.deep.equal(stopped.map(() => true));
		expect(confirmed.every(({afterMs}) => afterMs < 200)).to.equal(true);
	});
}).timeout(60_000);

it('guards against an evacuation that a real gateway does not follow, or does not show: it is in force when the gateway is ready, and until its key is removed', async () => {
	const processes = new Processes();
	const store = new DirectoryStore();
	const upstream = await startUpstream((req, res) => {
		sendSignedResponse(req, res, 200, 'ok');
	});
	try {
		await store.start();
		store.put('op/config', observedConfiguration);
		store.put('servers/i-desk', observedPlain('desk', upstream.address));
		store.put('op/evacuate/z', {});
		const gateway = await processes.startGateway(store);
		const refused = await callGateway(gateway.url);
		const res = await fetch(`${gateway.controlUrl}/dump`);
		const {evacuations} = await res.json() as {evacuations: {isKnown: boolean; zones: Array<{zone: string; isEvacuated: boolean}>}};
		expect([refused.status, evacuations.isKnown]).to.deep.equal([503, true]);
		expect(evacuations.zones.map(({zone, isEvacuated}) => [zone, isEvacuated])).to.deep.equal([['z', true]]);
		store.remove('op/evacuate/z');
		await waitFor('the evacuation has ended', () => readLines(gateway).some(({event, zone}) => event === 'evacuation_ended' && zone === 'z'));
		const served = await callGateway(gateway.url);
		expect([served.status, upstream.requests.length]).to.deep.equal([200, 1]);
		expect(readLines(gateway).filter(({event}) => event === 'zone_evacuated')).to.have.length(1);
	} finally {
		processes.stop();
		store.close();
		upstream.close();
	}
});
