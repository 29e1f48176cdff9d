/** Tests that calls of which nothing was written leave an instance that may get no further calls. */
import {expect} from 'chai';
import type {DirectoryChange} from '../src/directory/directory-types.ts';
import {createServiceId} from '../src/ids/service-id.ts';
import {
	callGateway, sendSignedResponse, startTestGateway, startUpstream, testConfiguration, testInstance,
} from './support/direct-fixtures.ts';

type Closing = readonly [name: string, change: DirectoryChange, runAfterPlacing: (apply: () => void) => void];

const service = createServiceId('desk');
const drained = testInstance({id: 'z', service, isDraining: true});

const closings: Closing[] = [
	['drains while the call connects', {kind: 'instance', instance: drained}, queueMicrotask],
	['leaves the list while the call connects', {kind: 'instance-gone', id: 'z'}, queueMicrotask],
	['drains before the call connects', {kind: 'instance', instance: drained}, apply => {
		apply();
	}],
];

for (const [name, change, runAfterPlacing] of closings) {
	it(`guards against a call that is written to an instance that ${name}: it moves, also if it may run only once and no retry is left`, async () => {
		const startNamed = async (id: string) => startUpstream((req, res) => {
			sendSignedResponse(req, res, 200, id);
		});
		const upstreams = {z: await startNamed('z'), w: await startNamed('w')};
		const instances = (['z', 'w'] as const).map(id => testInstance({
			id, zone: id, service, address: upstreams[id].address,
		}));
		const gateway = await startTestGateway(testConfiguration(1, {kind: 'once', targets: [{service, weight: 1}]}), instances, {retrySlack: 0});
		try {
			gateway.tracker.recordReportedLoad('w', 6);
			let placedAt: string | undefined;
			gateway.tracker.inFlight.setListener(id => {
				if (placedAt === undefined) {
					placedAt = id;
					runAfterPlacing(() => {
						gateway.directory.apply({revision: 3, changes: [{revision: 3, change}]});
					});
				}
			});
			const response = await callGateway(gateway.url);
			expect([placedAt, response.status, response.body, upstreams.z.requests.length]).to.deep.equal(['z', 200, 'w', 0]);
		} finally {
			gateway.close();
			upstreams.z.close();
			upstreams.w.close();
		}
	});
}
