/** Clients that want to end a gateway: each test has one gateway with low limits, one crowd in a process of its own, and one ordinary call afterwards. */
import {rpcPath} from '../src/links/rpc-dispatcher.ts';
import {isCallServed, startBodyService} from './support/body-service.ts';
import {crowdedLimitLines, crowdedNodeOptions, expectToOutlast} from './support/crowd-run.ts';
import {Processes} from './support/processes.ts';

const processes = new Processes();

after(() => {
	processes.stop();
});

const cases: ReadonlyArray<readonly [string, string, number, ('url' | 'controlUrl')?]> = [
	['bodies in chunks of one byte that do not end', 'tiny', 40],
	['bodies in chunks of 700 bytes that do not end', 'small', 60],
	['bodies in chunks of 256 kB that do not end', 'large', 60],
	['connections of which half leave early', 'leaving', 1500],
	['heads, bodies and reads that trickle', 'trickling', 300],
	['requests on connections that do not read', 'pipelining', 20],
	['heads of small fields that do not end', 'heads', 400],
	['responses in chunks of one byte that do not end', 'asking', 40],
	['bodies for its peers in chunks of one byte that do not end', 'tinyToPeers', 40, 'controlUrl'],
	['connections to its control listener of which half leave early', 'leaving', 1500, 'controlUrl'],
	['whole heads of many short fields, with bodies that do not end', 'fields', 200],
	['heads of many short fields that wait behind another request', 'waiting', 60],
	['responses that wait behind another one', 'answers', 110],
	['trailers of small fields that do not end', 'trailers', 240],
	['heads of small fields that do not end behind another request', 'nextHeads', 240],
	['nested JSON for its peers', 'nested', 4, 'controlUrl'],
	['responses to its peers that are not read', 'snapshots', 50, 'controlUrl'],
	['all of them at once', 'tiny,small,large,leaving,trickling,pipelining,heads', 40],
];

/** Routes that make the directory large, by the kind of the crowd. */
const unusedRoutesByKind: Readonly<Record<string, number | undefined>> = {snapshots: 1500};

for (const [what, kinds, count, target = 'url'] of cases) {
	it(`guards against ${what}: the gateway lives within its memory and descriptors, and serves an ordinary call afterwards`, async () => {
		const store = await startBodyService(processes, unusedRoutesByKind[kinds]);
		const gateway = await processes.startGateway(store, crowdedLimitLines, {nodeOptions: crowdedNodeOptions});
		const {child, url} = gateway;
		await expectToOutlast({
			processes, child, url: gateway[target], kinds, count, path: target === 'url' ? '/p/x' : rpcPath, isServed: async () => isCallServed(url),
		});
		child.kill('SIGKILL');
		store.close();
	});
}
