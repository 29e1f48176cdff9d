/** A gateway as a process of its own, whose store comes back from an older copy. */
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {sendSignedResponse, startUpstream} from './support/direct-fixtures.ts';
import {startCalling} from './support/continuous-calls.ts';
import {deskConfiguration, deskEntry} from './support/desk-entries.ts';
import {DirectoryStore} from './support/directory-store.ts';
import {waitFor} from './support/fleet.ts';
import {Processes} from './support/processes.ts';

/** How long after an instance has said that it is leaving calls may still reach it, in milliseconds. */
const leavingGraceMs = 2000;

const renewals = 50;

it('guards against calls to an instance that leaves right after the store came back from a copy, whose revisions have not caught up', async () => {
	const processes = new Processes();
	const store = new DirectoryStore();
	const arrivals = new Map<string, number[]>(['i-1', 'i-2', 'i-3'].map(id => [id, []]));
	const upstreams = await Promise.all([...arrivals].map(async ([id, times]) => {
		const upstream = await startUpstream((req, res) => {
			times.push(performance.now());
			sendSignedResponse(req, res, 200, 'ok');
		});
		return {id, ...upstream};
	}));
	const list = ({id, address}: {readonly id: string; readonly address: string}, state: 'ready' | 'draining' = 'ready') => {
		store.put(`servers/${id}`, deskEntry(address, state));
	};

	const renew = () => {
		for (let at = 0; at < renewals; at++) {
			list(upstreams[at % 2]!);
		}
	};

	await store.start();
	store.put('op/config', deskConfiguration);
	renew();
	const {url} = await processes.startGateway(store);
	const calls = startCalling(url);
	try {
		await waitFor('both instances have had calls', () => arrivals.get('i-1')!.length > 5 && arrivals.get('i-2')!.length > 5);
		const copy = store.copy();
		renew();
		list(upstreams[2]!);
		await waitFor('the instance that the copy lacks has had calls', () => arrivals.get('i-3')!.length > 5);
		store.mode = 'refusing';
		await sleep(300);
		store.comeBackFrom(copy);
		store.mode = 'answering';
		await sleep(300);
		list(upstreams[0]!, 'draining');
		const leftAtMs = performance.now();
		await sleep(1200);
		list(upstreams[2]!);
		await sleep(2500);
		expect(arrivals.get('i-1')!.filter(atMs => atMs > leftAtMs + leavingGraceMs), 'late calls').to.deep.equal([]);
		expect(arrivals.get('i-3')!.filter(atMs => atMs > leftAtMs).length, 'calls to the instance that the copy lacks').to.be.greaterThan(5);
		expect(calls.statuses.filter(status => status !== 200)).to.deep.equal([]);
	} finally {
		await calls.stop();
		processes.stop();
		store.close();
		for (const upstream of upstreams) {
			upstream.close();
		}
	}
});
