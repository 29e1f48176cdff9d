/** Decoding and encoding of the platform's formats, including malformed input. */
import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import fc from 'fast-check';
import {platformCodec} from '../platform/call-headers.ts';
import {decodeItem, decodeRemoval} from '../platform/decode-published.ts';
import type {AttemptInstructions} from '../src/forwarding/wire-codec.ts';
import {createWorkspaceId} from '../src/ids/workspace-id.ts';

const encodeValue = (value: unknown) => Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64');

const validEntry = {
	service: 's', address: '10.0.0.1:80', zone: 'z', version: 'v1', slots: 16, state: 'ready', cold_left_ms: 0, stage: 'unified', models: [{name: 'm', version: 2, adapters: []}], layers: {from: 0, to: 16, version: 2}, sequence: 4, born: 5,
};

it('guards against calls to an instance with a malformed store entry: with a missing or invalid field it counts as gone, and no key or value makes decoding throw', () => {
	expect(decodeItem('servers/i-1', encodeValue(validEntry))).to.deep.include({kind: 'instance'});
	const malformed = ['service', 'address', 'zone', 'slots', 'state'].flatMap(field => [{...validEntry, [field]: undefined}, {...validEntry, [field]: {}}, {...validEntry, [field]: 'odd value'}]);
	for (const value of [...malformed.filter(({service, zone}) => service !== 'odd value' && zone !== 'odd value'), 'no json', '', null, 7, []]) {
		expect(decodeItem('servers/i-1', encodeValue(value))).to.deep.equal({kind: 'instance-gone', id: 'i-1'});
	}

	fc.assert(fc.property(fc.string(), fc.string(), (key, bytes) => {
		expect(() => decodeItem(key, bytes)).not.to.throw();
		expect(() => decodeItem(`op/config${key}`, bytes)).not.to.throw();
		expect(() => decodeRemoval(key)).not.to.throw();
	}), {seed: 11, numRuns: 200});
});

it('guards against treating an instance without models as one that holds some: no models means none held, and a range of layers is kept as a range', () => {
	const withoutModels = decodeItem('servers/i-1', encodeValue({...validEntry, models: [], layers: null}));
	const withLayerRange = decodeItem('servers/i-1', encodeValue({...validEntry, layers: {from: 4, to: 8, version: 2}}));
	expect(withoutModels.kind === 'instance' && withoutModels.instance.held).to.deep.equal([]);
	expect(withLayerRange.kind === 'instance' && withLayerRange.instance.held).to.deep.equal([{
		model: 'm', version: 2, fromLayer: 4, toLayer: 8,
	}]);
});

it('guards against retries of calls that may run only once: a route of unknown kind is decoded as one whose calls are not retried', () => {
	const route = {
		name: 'r', host: 'H.example', prefix: '/p/', kind: 'new_kind', timeout_ms: 500, service: 's', attempts: 2,
	};
	const limits = {
		max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1,
	};
	const change = decodeItem('op/config', encodeValue({
		version: 3, routes: [route, {...route, kind: 'non_idempotent'}, {...route, kind: 'idempotent'}], services: [], limits,
	}));
	expect(change.kind === 'configuration' && change.configuration.routes.map(({kind}) => kind)).to.deep.equal(['once', 'once', 'idempotent']);
});

const instructions: AttemptInstructions = {
	deadlineMs: 321, instance: 'i-1', version: 2, workspace: createWorkspaceId('w'), priority: 1, lastEventId: '7', bodyBytes: 3, hasBody: true,
};

it('guards against altered or forged calls: hop-by-hop and forged headers are removed, all others are forwarded unchanged and in order', () => {
	const rawHeaders = ['Host', 'h', 'X-One', '1', 'Connection', 'keep-alive, X-Hop', 'X-Hop', 'h', 'Tenant', 'forged', 'Api-Key', 'k', 'Transfer-Encoding', 'chunked', 'Last-Event-Id', '3', 'Token-Usage', '12,5', 'x-one', '2', 'Deadline-Ms', '999'];
	const forwarded = platformCodec.writeCallHeaders(rawHeaders, instructions);
	expect(forwarded.slice(0, 8)).to.deep.equal(['Host', 'h', 'X-One', '1', 'Token-Usage', '12,5', 'x-one', '2']);
	const added = forwarded.slice(8);
	const reserved = Object.fromEntries(added.flatMap((name, at) => (at % 2 === 0 ? [[name, added[at + 1]] as const] : [])));
	expect(reserved).to.deep.equal({
		'Deadline-Ms': '321', 'Expect-Instance': 'i-1', Connection: 'close', 'Content-Length': '3', 'Expect-Version': '2', Tenant: 'w', 'Request-Priority': '1', 'Last-Event-Id': '7',
	});
});

it('guards against a false claim that a call did not run: only the header Not-Executed and status 421 mean that', () => {
	const isNotRun = (status: number, headers: string[]) => platformCodec.readResponseHeaders(status, headers).isNotRun;
	expect([isNotRun(503, []), isNotRun(429, []), isNotRun(503, ['Not-Executed', '1']), isNotRun(421, []), isNotRun(500, [])]).to.deep.equal([false, false, true, true, false]);
	const response = platformCodec.readResponseHeaders(200, ['Attempt-Id', 'a', 'Response-Seal', 's', 'Instance-Load', '3,2,16', 'Weight-Versions', '4', 'Connection', 'close']);
	expect(response).to.deep.include({
		attemptId: 'a', isSigned: true, isEncoded: false, load: {calls: 5, slots: 16}, version: 4,
	});
	expect(response.forwardedHeaders).not.to.include('Connection');
});

it('guards against unbounded state from callers: of a prompt, the shared parts count without the last one, each once wherever it stands, and long or odd IDs become short digests', () => {
	const partsOf = (text: string) => platformCodec.readCallHeaders(['Prompt-Prefix', text]).promptParts;
	expect(partsOf('5c1e07a2:800, 91bd3f06:410,e4402b7d:250')).to.deep.equal(['5c1e07a2', '91bd3f06']);
	expect([...partsOf('e4402b7d:250'), ...partsOf('')]).to.deep.equal([]);
	expect(partsOf(Array.from({length: 1000}, (_, at) => `${at}:1`).join(','))).to.deep.equal(Array.from({length: 999}, (_, at) => String(at)));
	expect(partsOf('a:1,'.repeat(1000))).to.deep.equal(['a']);
	fc.assert(fc.property(fc.string({maxLength: 300}), text => {
		expect(partsOf(`${text},x:1`).every(id => /^[\w.:-]{1,32}$/.test(id))).to.equal(true);
	}), {seed: 24, numRuns: 200});
});
