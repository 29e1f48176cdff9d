/** How processes agree on the VM list that was read from the platform most recently, with answers that are late. */
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {PeerClient} from '../src/links/peer-client.ts';
import type {RpcDispatcher} from '../src/links/rpc-dispatcher.ts';
import {createVmList} from '../src/membership/vm-list.ts';
import {VmListExchange} from '../src/membership/vm-list-exchange.ts';
import type {ListedVm, MembersGetResult} from '../src/messages/member-sync.ts';

const listOf = (...vms: string[]) => createVmList(vms.map((vm): ListedVm => ({
	vm, role: 'upstream', state: 'live', zone: 'z', region: 'r', address: `${vm}:1`, services: ['desk'],
})));

/** Returns two processes; the second one pulls from the first, with answers that are under way for the given time, in milliseconds. */
function createPair(answerDelayMs: number): [VmListExchange, VmListExchange] {
	const handlers: Array<(params: {have: string}) => MembersGetResult> = [];
	const rpc = {
		method(name: string, schema: unknown, handler: (params: {have: string}) => MembersGetResult) {
			handlers.push(handler);
		},
	} as unknown as RpcDispatcher;
	const links = {
		async rpc(address: string, {params}: {params: {have: string}}) {
			const answer = handlers[0]!(params);
			await new Promise(resolve => {
				setTimeout(resolve, answerDelayMs);
			});
			return answer;
		},
	} as unknown as PeerClient;
	const create = () => new VmListExchange({links, rpc, onList: () => undefined});
	return [create(), create()];
}

it('guards against a VM list that goes back: an older list in a late answer does not replace one that was read from the platform meanwhile', async () => {
	const clock = install();
	try {
		const [first, second] = createPair(2000);
		first.adoptIfNewer(listOf('a'), 0);
		const pulled = second.handleOffer({list: first.version, address: 'first:1'} as Parameters<typeof second.handleOffer>[0]);
		await clock.tickAsync(1000);
		second.adoptIfNewer(listOf('a', 'b'), 0);
		await clock.tickAsync(1500);
		await pulled;
		expect(second.version).to.deep.equal({digest: listOf('a', 'b').digest, ageMs: 1500});
	} finally {
		clock.uninstall();
	}
});

it('guards against a list that gets younger as it is passed on: its age counts from when the answer was requested', async () => {
	const clock = install();
	try {
		const [first, second] = createPair(2000);
		first.adoptIfNewer(listOf('a'), 500);
		const pulled = second.handleOffer({list: first.version, address: 'first:1'} as Parameters<typeof second.handleOffer>[0]);
		await clock.tickAsync(2000);
		await pulled;
		expect(second.ageMs).to.be.at.least(first.ageMs!);
	} finally {
		clock.uninstall();
	}
});
