/** The exchange of load counts between gateways, over datagrams on loopback. */
import {expect} from 'chai';
import {Directory} from '../src/directory/directory.ts';
import {InstanceTracker} from '../src/forwarding/instance-tracker.ts';
import type {PeerInfo} from '../src/messages/peers-exchange.ts';
import {LoadDatagrams} from '../src/peers/load-datagrams.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';

const port = 17_931;
const hosts = ['127.0.0.11', '127.0.0.12'];

function gatewayAt(host: string): PeerInfo {
	return {
		vm: host, startedAtMs: 1, role: 'gateway', zone: 'z', region: 'r', address: `${host}:1`,
	};
}

async function waitUntil(condition: () => boolean): Promise<void> {
	for (let round = 0; round < 200 && !condition(); round++) {
		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}

	expect(condition()).to.equal(true);
}

// Guards against two gateways that both find an engine idle, because one learns of the other's new call only with the next full update.
it('a new call reaches the other gateway before the next full update, and the counts of 130 instances all arrive', async () => {
	const log = createSilentLogger();
	const trackers = hosts.map(() => new InstanceTracker(log));
	const exchanges = hosts.map((host, index) => new LoadDatagrams({
		vm: host, tracker: trackers[index]!, directory: new Directory(log), gateways: () => hosts.filter(other => other !== host).map(other => gatewayAt(other)), port, log,
	}));
	for (const [index, exchange] of exchanges.entries()) {
		await exchange.start({host: hosts[index]!, port});
	}

	try {
		const startMs = performance.now();
		const call = trackers[0]!.inFlight.add('i-1', 1000);
		await waitUntil(() => trackers[1]!.getLoad('i-1').calls === 1);
		expect(performance.now() - startMs).to.be.lessThan(400);
		expect(trackers[1]!.getLoad('i-1').unreadTokens).to.equal(1000);
		trackers[0]!.inFlight.markStarted(call);
		await waitUntil(() => trackers[1]!.getLoad('i-1').unreadTokens === 0);
		trackers[0]!.inFlight.remove(call);
		await waitUntil(() => trackers[1]!.getLoad('i-1').calls === 0);

		const manyCalls = Array.from({length: 130}, (item, index) => trackers[0]!.inFlight.add(`many-${index}`, 5));
		await waitUntil(() => manyCalls.every(({instance}) => trackers[1]!.getLoad(instance).calls === 1));
		// Full updates repeat while nothing changes; none of the counts may be lost when they need several datagrams.
		await new Promise(resolve => {
			setTimeout(resolve, 1300);
		});
		expect(manyCalls.every(({instance}) => trackers[1]!.getLoad(instance).calls === 1)).to.equal(true);
	} finally {
		for (const exchange of exchanges) {
			exchange.stop();
		}
	}
});
