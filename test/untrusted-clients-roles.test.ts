/** Clients that want to end an entry, an agent or a stager: each test has one process with low limits, one crowd, and one ordinary request afterwards. */
import {startBodyService} from './support/body-service.ts';
import {
	crowdedLimitLines, crowdedLimits, crowdedNodeOptions, expectToOutlast,
} from './support/crowd-run.ts';
import {
	Fleet, type FleetProcess, getJson, waitFor,
} from './support/fleet.ts';
import {isAnswered, Processes} from './support/processes.ts';

const processes = new Processes();

after(() => {
	processes.stop();
});

const crowds: ReadonlyArray<readonly [string, string, number]> = [
	['bodies in chunks of 256 kB that do not end', 'large', 120],
	['bodies in chunks of 700 bytes that do not end', 'small', 60],
	['connections of which half leave early', 'leaving', 1500],
	['whole bodies of nested JSON', 'nested', 4],
	['a crowd of each kind at once', 'tiny,small,large,leaving,trickling,pipelining,heads', 40],
];

/** The listeners of an entry and an agent, and the path of the requests that a crowd sends there. */
const listeners: Readonly<Record<string, (entry: FleetProcess, agent: FleetProcess) => {readonly process: FleetProcess; readonly address: string; readonly path: string}>> = {
	'callers of an entry': entry => ({process: entry, address: entry.callers, path: '/v1/operations/booking/status'}),
	'control of an entry': entry => ({process: entry, address: entry.control, path: '/rpc'}),
	'control of an agent': (_, agent) => ({process: agent, address: agent.control, path: '/calls'}),
};

async function withFleet(test: (entry: FleetProcess, agent: FleetProcess) => Promise<void>): Promise<void> {
	const fleet = new Fleet(undefined, undefined, crowdedNodeOptions);
	try {
		await fleet.start();
		fleet.platform.publish({
			'/services/booking': {kind: 'plain', operations: {status: {repeatable: true}}},
			'/teams/desk/routes/booking': {service: 'booking'},
		});
		const agent = await fleet.plainAgent('vm-booking', 'booking', 1, {limits: crowdedLimits});
		const entry = await fleet.entry('vm-entry', {limits: crowdedLimits});
		await test(entry, agent);
	} finally {
		await fleet.stop();
	}
}

/** Sends an ordinary operation through an entry and an agent; returns whether it was served. */
async function isOperationServed(entry: FleetProcess): Promise<boolean> {
	try {
		const res = await fetch(`http://${entry.callers}/v1/operations/booking/status`, {
			method: 'POST', headers: {'x-workspace': 'desk', connection: 'close'}, body: '{"booking": "b1"}', signal: AbortSignal.timeout(5000),
		});
		return res.status === 200;
	} catch {
		// The connection was closed, or there was no answer in time.
		return false;
	}
}

for (const [listener, select] of Object.entries(listeners)) {
	for (const [what, kinds, count] of crowds) {
		it(`guards the ${listener} against ${what}: the process lives within its memory and descriptors, and an ordinary operation is served afterwards`, async () => {
			await withFleet(async (entry, agent) => {
				const {process: {child, control}, address, path} = select(entry, agent);
				await waitFor('an operation is served before', async () => isOperationServed(entry));
				await expectToOutlast({
					processes, child, url: `http://${address}`, kinds, count, path, async isServed() {
						const health = await getJson(control, '/healthz');
						return health?.healthy === true && isOperationServed(entry);
					},
				});
			});
		});
	}
}

it('guards an agent against answers that it keeps for repeated calls: the process lives within its memory, and an ordinary operation is served afterwards', async () => {
	await withFleet(async (entry, {child}) => {
		await waitFor('an operation is served before', async () => isOperationServed(entry));
		await expectToOutlast({
			processes, child, url: `http://${entry.callers}`, kinds: 'queries', count: 40, path: '/v1/operations/booking/status', isServed: async () => isOperationServed(entry),
		});
	});
});

for (const [what, kinds, count] of crowds) {
	it(`guards the control of a stager against ${what}: the process lives within its memory and descriptors, and an ordinary request is served afterwards`, async () => {
		const store = await startBodyService(processes);
		const {child, controlUrl} = await processes.startStager(store, crowdedLimitLines, crowdedNodeOptions);
		await expectToOutlast({
			processes, child, url: controlUrl, kinds, count, path: '/rpc', isServed: async () => isAnswered(`${controlUrl}/healthz`),
		});
		child.kill('SIGKILL');
		store.close();
	});
}
