/** What an entry believes of an agent that has said it is leaving, whatever the VM list says. */
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {type Clock, install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {sendJson} from '../src/links/http-listener.ts';
import type {PeerClient} from '../src/links/peer-client.ts';
import {RpcDispatcher} from '../src/links/rpc-dispatcher.ts';
import {MembershipManager} from '../src/membership/membership-manager.ts';
import type {AgentReport} from '../src/messages/agent-report.ts';
import type {ListedVm} from '../src/messages/member-sync.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';

const listed = (vm: string): ListedVm => ({
	vm, role: 'upstream', state: 'live', zone: 'z', region: 'r', address: `${vm}:1`, services: ['s'],
});

const reportOf = (vm: string, report: Partial<AgentReport> = {}): AgentReport => ({
	vm, incarnation: '100-a', clockMs: 5, state: 'ready', service: 's', configRevision: 1, served: [], running: 0, queued: 0, capacity: 8, prefixes: [], ...report,
});

/** Runs a test with a member view whose list the test sets; only the monotonic clock is faked. */
async function withMembers(run: (members: MembershipManager, setList: (vms: readonly ListedVm[]) => Promise<void>, clock: Clock) => Promise<void>): Promise<void> {
	let vms: readonly ListedVm[] = [];
	const server = http.createServer((_, res) => {
		sendJson(res, 200, {vms});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const clock = install({toFake: ['performance']});
	try {
		const members = new MembershipManager({
			own: {vm: 'e', zone: 'z', address: '127.0.0.1:1'}, links: {} as unknown as PeerClient, rpc: new RpcDispatcher(), random: new RandomSource(5), log: createSilentLogger(),
			listUrl: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, isReader: () => false, onChange: () => undefined,
		});
		await run(members, async next => {
			vms = next;
			clock.tick(2000);
			await members.refresh();
		}, clock);
	} finally {
		clock.uninstall();
		server.close();
		server.closeAllConnections();
	}
}

const isUsable = (members: MembershipManager, name: string) => members.members.find(({vm}) => vm === name)?.usable ?? false;

it('guards against calls to an agent that has said it is leaving and whose VM lapses from the list and comes back: only another incarnation gets calls', async () => {
	await withMembers(async (members, setList, clock) => {
		const others = ['b', 'c', 'd'].map(vm => listed(vm));
		await setList([listed('a'), ...others]);
		members.recordReport(reportOf('a'));
		expect(isUsable(members, 'a')).to.equal(true);
		members.recordReport(reportOf('a', {state: 'draining', clockMs: 6}));
		expect(isUsable(members, 'a')).to.equal(false);
		await setList(others);
		for (let waitedMs = 0; waitedMs < 60_000; waitedMs += 4000) {
			clock.tick(4000);
			expect(isUsable(members, 'a')).to.equal(false);
		}

		await setList([listed('a'), ...others]);
		expect(isUsable(members, 'a'), 'after its return').to.equal(false);
		members.recordReport(reportOf('a', {clockMs: 4}));
		expect(isUsable(members, 'a'), 'after a late report').to.equal(false);
		members.recordReport(reportOf('a', {incarnation: '200-b', clockMs: 1}));
		expect(isUsable(members, 'a'), 'its next incarnation').to.equal(true);
	});
});

it('guards against a memory of agents that have left that grows without end', async () => {
	await withMembers(async (members, setList, clock) => {
		for (let round = 0; round < 12; round++) {
			const vms = Array.from({length: 500}, (_, at) => listed(`r${round}-${at}`));
			await setList([listed('b'), ...vms]);
			for (const {vm} of vms) {
				members.recordReport(reportOf(vm, {state: 'draining'}));
			}

			await setList([listed('b')]);
			clock.tick(7_200_000);
			expect(members.members.length).to.be.below(1000);
		}

		const {size} = Reflect.get(members, 'observations') as Map<string, unknown>;
		expect(size).to.be.at.most(4096 + 500);
	});
});
