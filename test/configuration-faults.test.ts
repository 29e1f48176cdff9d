/** Tests configuration and membership across separate processes, under faults of the platform, the VM list and single processes. */
import {once} from 'node:events';
import net from 'node:net';
import {pipeline} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
	endProcess, Fleet, type FleetProcess, getJson, waitFor,
} from './support/fleet.ts';

const west = {zone: 'zone-a', region: 'region-a'};
const east = {zone: 'zone-b', region: 'region-a'};

type Configuration = {revision: number; digest: string; duty: string; findings: Array<{key: string; file: string}>};

async function configurationOf(process: FleetProcess): Promise<Configuration | undefined> {
	const dump = await getJson(process.control, '/dump');
	return dump?.configuration as Configuration | undefined;
}

function processOf(fleet: Fleet, vm: string): FleetProcess {
	return fleet.processes.find(process => process.vm === vm)!;
}

async function configurationsOf(processes: readonly FleetProcess[]): Promise<Array<Configuration | undefined>> {
	return Promise.all(processes.map(async process => configurationOf(process)));
}

async function listOf(process: FleetProcess): Promise<{listed: number; isSuspect: boolean} | undefined> {
	const dump = await getJson(process.control, '/dump');
	return dump?.list as {listed: number; isSuspect: boolean} | undefined;
}

async function waitForWatchers(fleet: Fleet): Promise<void> {
	await waitFor('two processes of each zone watch', async () => {
		const watchers = await watchersOf(fleet);
		return watchers.length === 4;
	});
}

async function startFleet(agents: number): Promise<Fleet> {
	const fleet = new Fleet();
	await fleet.start();
	fleet.platform.publish({'/services/desk': {kind: 'plain', operations: {status: {repeatable: true}}}, '/teams/desk/routes/ask': {service: 'desk'}});
	await Promise.all(Array.from({length: agents}, async (_, at) => fleet.plainAgent(`vm-${at}`, 'desk', 1, {}, at % 2 === 0 ? west : east)));
	return fleet;
}

async function withFleet(agents: number, run: (fleet: Fleet) => Promise<void>): Promise<void> {
	const fleet = await startFleet(agents);
	try {
		await run(fleet);
	} finally {
		await fleet.stop();
	}
}

async function waitForRevision(processes: readonly FleetProcess[], revision: number): Promise<void> {
	await waitFor(`revision ${revision} is applied everywhere with one digest`, async () => {
		const found = await configurationsOf(processes);
		return found.every(item => item?.revision === revision) && new Set(found.map(item => item?.digest)).size === 1;
	});
}

/** Starts a TCP proxy; stopping it also destroys the open connections. */
async function startProxy(target: string): Promise<{address: string; stop: () => void}> {
	const [host = '', port = ''] = target.split(':');
	const sockets = new Set<net.Socket>();
	const server = net.createServer(socket => {
		const upstream = net.connect(Number(port), host);
		pipeline(socket, upstream, socket, () => {
			sockets.delete(socket);
		});
		sockets.add(socket);
	});
	await once(server.listen(0, '127.0.0.1'), 'listening');
	const stop = () => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	};

	return {address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, stop};
}

async function watchersOf(fleet: Fleet): Promise<FleetProcess[]> {
	const duties = await Promise.all(fleet.processes.map(async process => ({process, configuration: await configurationOf(process)})));
	return duties.filter(({configuration}) => configuration?.duty === 'watcher').map(({process}) => process);
}

it('a change reaches every process although a watcher dies while it spreads', async () => withFleet(8, async fleet => {
	await waitForWatchers(fleet);
	const [killed] = await watchersOf(fleet);
	fleet.platform.publish({'/teams/desk/limits': {weight: 2}});
	await endProcess(killed!.child);
	fleet.platform.publish({'/teams/desk/limits': {weight: 3}});
	await waitForRevision(fleet.processes.filter(process => process !== killed), 3);
}));

it('a service restored from a backup rolls no process back and gives no new process its old tree, and its next new revision applies', async () => withFleet(5, async fleet => {
	const {platform} = fleet;
	const backup = platform.snapshot();
	platform.publish({'/teams/desk/limits': {weight: 2}});
	platform.publish({'/teams/desk/limits': {weight: 3}});
	await waitForRevision(fleet.processes, 3);
	platform.faults.configurationDown = true;
	await sleep(500);
	platform.restore(backup);
	platform.faults.configurationDown = false;
	const fresh = await fleet.plainAgent('vm-fresh', 'desk', 1, {}, west);
	const atStart = await configurationOf(fresh);
	expect(atStart?.revision).to.equal(3);
	await waitFor('the older answer is reported as a finding', async () => {
		const found = await configurationsOf(fleet.processes);
		return found.some(item => item?.findings.some(({key}) => key === 'service-older'));
	});
	await waitForRevision(fleet.processes, 3);
	// The service publishes other content under used revision numbers: these change nothing, and the first new number replaces the tree.
	platform.publish({'/teams/other/limits': {weight: 5}});
	platform.publish({'/teams/other/limits': {weight: 6}});
	platform.publish({'/teams/other/limits': {weight: 7}});
	await waitForRevision(fleet.processes, 4);
	const late = await fleet.plainAgent('vm-late', 'desk', 1, {}, east);
	await waitForRevision([...fleet.processes, late], 4);
	await waitFor('no finding is left', async () => {
		const found = await configurationsOf(fleet.processes);
		return found.every(item => item?.findings.length === 0);
	});
}));

it('a zone that is cut off from the platform gets a change from other zones', async () => withFleet(4, async fleet => {
	const proxy = await startProxy(fleet.platformAddress);
	const url = `http://${proxy.address}`;
	const north = {zone: 'zone-c', region: 'region-a'};
	for (const vm of ['vm-cut-0', 'vm-cut-1']) {
		await fleet.plainAgent(vm, 'desk', 1, {platform: {configuration: url, vms: url}}, north);
	}

	await waitFor('the other zones list the zone', async () => {
		const lists = await Promise.all(fleet.processes.map(async process => listOf(process)));
		return lists.every(list => list?.listed === 6);
	});
	proxy.stop();
	fleet.platform.publish({'/teams/desk/limits': {weight: 2}});
	await waitForRevision(fleet.processes, 2);
	await sleep(2500);
	const after = await configurationsOf(fleet.processes);
	expect(after.map(item => item?.revision)).to.deep.equal([2, 2, 2, 2, 2, 2]);
}));

it('an invalid document keeps its last good value here and in fresh processes, and delays no other document', async () => withFleet(3, async fleet => {
	fleet.platform.publish({'/teams/desk/routes/ask': {service: 7}, '/teams/other/limits': {weight: 2}});
	await waitForRevision(fleet.processes, 2);
	const entry = await fleet.entry('vm-entry');
	const answer = await fetch(`http://${entry.callers}/v1/operations/ask/status`, {method: 'POST', headers: {'x-workspace': 'desk'}, body: '{}'});
	expect(answer.status).to.equal(200);
	const found = await configurationOf(entry);
	expect(found?.findings.map(({file}) => file)).to.deep.equal(['/teams/desk/routes/ask']);
}));

it('publications in quick succession leave one tree, and the calls to the service stay bounded', async () => withFleet(6, async fleet => {
	const {platform} = fleet;
	await waitForWatchers(fleet);
	const before = platform.configurationCalls;
	const startMs = performance.now();
	for (let count = 0; count < 50; count++) {
		platform.publish({[`/teams/team-${count % 3}/limits`]: {weight: count + 1}});
		await sleep(10);
	}

	await waitForRevision(fleet.processes, 51);
	// At most 4 watchers make two calls per minimum watch interval of 250 ms, and a few more for the start of their watches.
	const intervals = Math.ceil((performance.now() - startMs) / 250);
	expect(platform.configurationCalls - before).to.be.at.most(4 * 2 * (intervals + 2));
}));

it('a service that was down for a while is read by few processes when it comes back', async () => withFleet(8, async fleet => {
	const {platform} = fleet;
	await waitForWatchers(fleet);
	platform.faults.configurationDown = true;
	platform.publish({'/teams/desk/limits': {weight: 2}});
	await sleep(3000);
	const before = platform.configurationCalls;
	platform.faults.configurationDown = false;
	await waitForRevision(fleet.processes, 2);
	// Four watchers read once with an overlap and long-poll again; no other process reads the service.
	expect(platform.configurationCalls - before).to.be.at.most(4 * 3);
}));

it('a leaving VM gets no new work 3 s after it is told, though the list lags', async () => withFleet(4, async fleet => {
	const entry = await fleet.entry('vm-entry');
	const callOperation = async () => fetch(`http://${entry.callers}/v1/operations/ask/status`, {method: 'POST', headers: {'x-workspace': 'desk'}, body: JSON.stringify({booking: 'call'})});
	const runs = (at: number) => fleet.services[at]?.ledger.get('call') ?? 0;
	await waitFor('both VMs of the service get work', async () => {
		await callOperation();
		return runs(0) > 0 && runs(2) > 0;
	});
	fleet.platform.faults.vmListLagMs = 60_000;
	fleet.setVmState('vm-0', 'leaving');
	processOf(fleet, 'vm-0').child.kill('SIGTERM');
	await sleep(3000);
	// Above 90 % of the other VM's places, calls may run in the other zone.
	const runsOnOthers = () => runs(1) + runs(2) + runs(3);
	const [onLeavingBefore, onOthersBefore] = [runs(0), runsOnOthers()];
	const answers = await Promise.all(Array.from({length: 60}, async () => callOperation()));
	expect([runs(0), new Set(answers.map(({status}) => status))]).to.deep.equal([onLeavingBefore, new Set([200])]);
	expect(runsOnOthers()).to.equal(onOthersBefore + 60);
}));

it('a VM that the list marks as leaving refuses new work, and its process keeps running', async () => withFleet(4, async fleet => {
	const entry = await fleet.entry('vm-entry');
	const callOperation = async () => fetch(`http://${entry.callers}/v1/operations/ask/status`, {method: 'POST', headers: {'x-workspace': 'desk'}, body: JSON.stringify({booking: 'call'})});
	fleet.setVmState('vm-0', 'leaving');
	await sleep(3000);
	const before = fleet.services[0]!.ledger.get('call') ?? 0;
	const answers = await Promise.all(Array.from({length: 40}, async () => callOperation()));
	expect(new Set(answers.map(({status}) => status))).to.deep.equal(new Set([200]));
	expect(fleet.services[0]!.ledger.get('call') ?? 0).to.equal(before);
	const readiness = await getJson(processOf(fleet, 'vm-0').control, '/readyz');
	expect(readiness).to.deep.equal({ready: false});
}));

it('a VM list that shrinks to one VM takes no VM that still reports out of service', async () => withFleet(6, async fleet => {
	const entry = await fleet.entry('vm-entry');
	const callOperation = async () => fetch(`http://${entry.callers}/v1/operations/ask/status`, {method: 'POST', headers: {'x-workspace': 'desk'}, body: JSON.stringify({booking: 'call'})});
	await callOperation();
	fleet.platform.setVms(fleet.platform.publishedVms.filter(({vm}) => vm === 'vm-1'));
	await waitFor('the list is suspect', async () => {
		const list = await listOf(entry);
		return list?.isSuspect === true;
	});
	const before = [0, 2, 4].map(at => fleet.services[at]!.ledger.get('call') ?? 0);
	await Promise.all(Array.from({length: 60}, async () => callOperation()));
	const after = [0, 2, 4].map((at, index) => (fleet.services[at]!.ledger.get('call') ?? 0) - before[index]!);
	expect(after.reduce((sum, count) => sum + count, 0)).to.equal(60);
	expect(Math.min(...after)).to.be.greaterThan(0);
}));
