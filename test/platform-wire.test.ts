/** The platform's formats: what is read from them, and what cannot be read. */
import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import fc from 'fast-check';
import {platformCodec} from '../platform/call-headers.ts';
import {decodeItem, decodeRemoval} from '../platform/decode-published.ts';
import type {AttemptInstructions} from '../src/forwarding/wire-codec.ts';
import {createWorkspaceId} from '../src/ids/workspace-id.ts';

const encode = (value: unknown) => Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64');

const entry = {
	service: 's', address: '10.0.0.1:80', zone: 'z', version: 'v1', slots: 16, state: 'ready', cold_left_ms: 0, stage: 'unified', models: [{name: 'm', version: 2, adapters: []}], layers: {from: 0, to: 16, version: 2}, sequence: 4, born: 5,
};

it('guards against using what another writer left: an entry with a missing, odd or unreadable field names no instance, whatever stands in it', () => {
	expect(decodeItem('servers/i-1', encode(entry))).to.deep.include({kind: 'instance'});
	const broken = ['service', 'address', 'zone', 'slots', 'state'].flatMap(field => [{...entry, [field]: undefined}, {...entry, [field]: {}}, {...entry, [field]: 'odd value'}]);
	for (const value of [...broken.filter(({service, zone}) => service !== 'odd value' && zone !== 'odd value'), 'no json', '', null, 7, []]) {
		expect(decodeItem('servers/i-1', encode(value))).to.deep.equal({kind: 'instance-gone', id: 'i-1'});
	}

	fc.assert(fc.property(fc.string(), fc.string(), (key, bytes) => {
		expect(() => decodeItem(key, bytes)).not.to.throw();
		expect(() => decodeItem(`op/config${key}`, bytes)).not.to.throw();
		expect(() => decodeRemoval(key)).not.to.throw();
	}), {seed: 11, numRuns: 200});
});

it('guards against a worker that holds nothing taken for one that does: no models means nothing held, part of the layers is kept as a part', () => {
	const empty = decodeItem('servers/i-1', encode({...entry, models: [], layers: null}));
	const part = decodeItem('servers/i-1', encode({...entry, layers: {from: 4, to: 8, version: 2}}));
	expect(empty.kind === 'instance' && empty.instance.held).to.deep.equal([]);
	expect(part.kind === 'instance' && part.instance.held).to.deep.equal([{
		model: 'm', version: 2, fromLayer: 4, toLayer: 8,
	}]);
});

it('guards against repeating what may run once: a kind of route that is not known may not be repeated', () => {
	const route = {
		name: 'r', host: 'H.example', prefix: '/p/', kind: 'new_kind', timeout_ms: 500, service: 's', attempts: 2,
	};
	const limits = {
		max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1,
	};
	const change = decodeItem('op/config', encode({
		version: 3, routes: [route, {...route, kind: 'non_idempotent'}, {...route, kind: 'idempotent'}], services: [], limits,
	}));
	expect(change.kind === 'configuration' && change.configuration.routes.map(({kind}) => kind)).to.deep.equal(['once', 'once', 'idempotent']);
});

const instructions: AttemptInstructions = {
	deadlineMs: 321, instance: 'i-1', version: 2, workspace: createWorkspaceId('w'), priority: 1, lastEventId: '7', bodyBytes: 3, hasBody: true,
};

it('guards against changed calls: headers of one connection and forged ones are left out, all others pass unchanged and in order', () => {
	const raw = ['Host', 'h', 'X-One', '1', 'Connection', 'keep-alive, X-Hop', 'X-Hop', 'h', 'Tenant', 'forged', 'Api-Key', 'k', 'Transfer-Encoding', 'chunked', 'Last-Event-Id', '3', 'Token-Usage', '12,5', 'x-one', '2', 'Deadline-Ms', '999'];
	const sent = platformCodec.writeCallHeaders(raw, instructions);
	expect(sent.slice(0, 8)).to.deep.equal(['Host', 'h', 'X-One', '1', 'Token-Usage', '12,5', 'x-one', '2']);
	const added = sent.slice(8);
	const own = Object.fromEntries(added.flatMap((name, at) => (at % 2 === 0 ? [[name, added[at + 1]] as const] : [])));
	expect(own).to.deep.equal({
		'Deadline-Ms': '321', 'Expect-Instance': 'i-1', Connection: 'close', 'Content-Length': '3', 'Expect-Version': '2', Tenant: 'w', 'Request-Priority': '1', 'Last-Event-Id': '7',
	});
});

it('guards against false words about a run: only the header that says so and 421 mean that a call did not run', () => {
	const isNotRun = (status: number, headers: string[]) => platformCodec.readResponseHeaders(status, headers).isNotRun;
	expect([isNotRun(503, []), isNotRun(429, []), isNotRun(503, ['Not-Executed', '1']), isNotRun(421, []), isNotRun(500, [])]).to.deep.equal([false, false, true, true, false]);
	const answer = platformCodec.readResponseHeaders(200, ['Attempt-Id', 'a', 'Response-Seal', 's', 'Instance-Load', '3,2,16', 'Weight-Versions', '4', 'Connection', 'close']);
	expect(answer).to.deep.include({
		attemptId: 'a', isSigned: true, isEncoded: false, load: {calls: 5, slots: 16}, version: 4,
	});
	expect(answer.forwardedHeaders).not.to.include('Connection');
});
