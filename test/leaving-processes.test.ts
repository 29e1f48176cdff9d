/** A gateway as a process of its own, whose store does not answer while an instance says that it is leaving. */
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {SignallingUpstream} from '../standins/signalling-upstream.ts';
import {startCalling} from './support/continuous-calls.ts';
import {deskConfiguration, deskEntry} from './support/desk-entries.ts';
import {DirectoryStore} from './support/directory-store.ts';
import {waitFor} from './support/fleet.ts';
import {Processes} from './support/processes.ts';

/** How long after an instance has said that it is leaving calls may still reach it, in milliseconds. */
const leavingGraceMs = 2000;

for (const mode of ['refusing', 'silent'] as const) {
	it(`guards against calls to an instance that says it is leaving while the store is ${mode}: no call reaches it after 2 s, also when its entry lapses and comes back`, async () => {
		const processes = new Processes();
		const store = new DirectoryStore();
		const upstreams = ['i-1', 'i-2'].map(id => new SignallingUpstream(id));
		const [leaving] = upstreams as [SignallingUpstream, SignallingUpstream];
		const entryOf = ({address}: SignallingUpstream) => deskEntry(address);
		await store.start();
		store.put('op/config', deskConfiguration);
		for (const upstream of upstreams) {
			await upstream.start();
			store.put(`servers/${upstream.id}`, entryOf(upstream));
		}

		const {url} = await processes.startGateway(store);
		const calls = startCalling(url);
		try {
			await waitFor('the instance has had calls', () => leaving.arrivals.length > 5);
			store.mode = mode;
			await sleep(300);
			leaving.isLeaving = true;
			const saidAtMs = performance.now();
			const before = leaving.arrivals.length;
			await waitFor('a call has told that the instance is leaving', () => leaving.arrivals.length > before);
			store.remove('servers/i-1');
			await sleep(1500);
			store.mode = 'answering';
			await sleep(3000);
			store.put('servers/i-1', entryOf(leaving));
			await sleep(3000);
			expect(leaving.arrivals.filter(atMs => atMs > saidAtMs + leavingGraceMs), 'late calls').to.deep.equal([]);
			expect(leaving.violations).to.deep.equal([]);
			expect(calls.statuses.filter(status => status !== 200)).to.deep.equal([]);
			// Another run under the same ID gets calls: the store was heard again.
			const last = leaving.arrivals.length;
			leaving.isLeaving = false;
			store.put('servers/i-1', {...entryOf(leaving), born: Date.now()});
			await waitFor('the next run gets calls', () => leaving.arrivals.length > last);
		} finally {
			await calls.stop();
			processes.stop();
			store.close();
			for (const upstream of upstreams) {
				upstream.close();
			}
		}
	});
}
