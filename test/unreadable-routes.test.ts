/** A published route that cannot be decoded: what else is in force, and which calls are refused. */
import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {decodeItem} from '../platform/decode-published.ts';
import type {RouteCache} from '../platform/decode-routes.ts';
import {applyDelta, createDelta} from '../src/directory/configuration-delta.ts';
import type {DirectorySnapshot} from '../src/directory/directory.ts';
import type {PublishedConfiguration} from '../src/directory/directory-types.ts';
import {RouteTable} from '../src/forwarding/route-table.ts';
import {directorySnapshotSchema} from '../src/peers/directory-snapshot-schema.ts';
import {
	callGateway, sendSignedResponse, startTestGateway, startUpstream, testInstance,
} from './support/direct-fixtures.ts';

type RawRoute = Readonly<Record<string, unknown>>;

const sound: RawRoute = {
	name: 'sound', host: 'a.example', prefix: '/p/', kind: 'idempotent', timeout_ms: 1000, service: 'desk',
};
const inner: RawRoute = {...sound, name: 'inner', prefix: '/p/inner/'};
const other: RawRoute = {...sound, name: 'other', host: 'b.example'};

function decode(routes: readonly unknown[], version = 1, cache: RouteCache = new Map()): {configuration: PublishedConfiguration; leftOut: readonly string[]} {
	const change = decodeItem('op/config', Buffer.from(JSON.stringify({
		version,
		routes,
		services: [{name: 'desk'}],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 10_000, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
		tenants: [{name: 't', api_keys: ['k1']}],
	})).toString('base64'), cache);
	if (change.kind !== 'configuration') {
		throw new Error(change.kind === 'unreadable' ? change.reason : change.kind);
	}

	return {configuration: change.configuration, leftOut: change.leftOut ?? []};
}

/** Returns the service that a call would reach; `refused` for a route that cannot be used, `none` without a route. */
function findTarget(configuration: PublishedConfiguration, host: string, path: string): string {
	const route = new RouteTable(configuration).findRoute(host, path);
	return route ? route.targets[0]?.service ?? 'refused' : 'none';
}

const brokenFields: ReadonlyArray<Readonly<Record<string, unknown>>> = [
	{timeout_ms: 'soon'}, {timeout_ms: 0}, {kind: 7}, {service: 'a\nb'}, {service: null}, {split: [{service: 'desk'}]}, {split: []}, {name: null}, {public: 'yes'}, {attempts: -1},
];

it('guards against a configuration that one route takes out of force, and against calls of that route that reach the service of a shorter prefix', () => {
	for (const broken of brokenFields) {
		const {configuration, leftOut} = decode([sound, {...inner, service: 'elsewhere', ...broken}, other]);
		const found = ['/p/x', '/p/inner/x'].map(path => findTarget(configuration, 'a.example', path));
		expect([...found, findTarget(configuration, 'b.example', '/p/x')], JSON.stringify(broken)).to.deep.equal(['desk', 'refused', 'desk']);
		expect(leftOut, JSON.stringify(broken)).to.have.length(1);
		expect(leftOut[0]).to.include('name' in broken ? 'route 1' : '"inner"');
	}
});

it('guards against calls that reach the service of another route while a prefix cannot be read: all calls of its host are refused, those of other hosts are served', () => {
	// An empty prefix is a sound one, unless another field cannot be read either.
	for (const broken of [{prefix: undefined}, {prefix: null}, {prefix: 7}, {prefix: ['/p/']}, {prefix: '', kind: null}]) {
		const {configuration} = decode([sound, {...inner, ...broken}, other]);
		const found = ['/p/x', '/p/inner/x', '/q/'].map(path => findTarget(configuration, 'A.example:80', path));
		expect([...found, findTarget(configuration, 'b.example', '/p/x')], JSON.stringify(broken)).to.deep.equal(['refused', 'refused', 'refused', 'desk']);
	}
});

it('guards against calls that reach the service of another route while a host cannot be read: calls with its prefix are refused at each host, except by a route with a longer one', () => {
	for (const broken of [{host: undefined}, {host: null}, {host: 7}, {host: '', kind: null}]) {
		const longer = {...sound, name: 'longer', prefix: '/p/inner/most/'};
		const {configuration} = decode([sound, {...inner, ...broken}, longer, other]);
		const found = ['/p/x', '/p/inner/x', '/p/inner/most/x'].map(path => findTarget(configuration, 'a.example', path));
		expect([...found, ...['b.example', 'c.example'].map(name => findTarget(configuration, name, '/p/inner/x')), findTarget(configuration, 'c.example', '/p/x')], JSON.stringify(broken))
			.to.deep.equal(['desk', 'refused', 'desk', 'refused', 'refused', 'none']);
	}
});

it('guards against a configuration that would serve no call: while neither host nor prefix of a route can be read, the one before stays in force', () => {
	for (const raw of [null, 7, 'text', [], {}, {...sound, host: 1, prefix: 1}]) {
		expect(() => decode([sound, raw]), JSON.stringify(raw)).to.throw(/neither host nor prefix of route 1/);
	}
});

it('guards against a configuration that the depth of one route takes out of force: too deep a value costs that route', () => {
	const depth = 50_000;
	const deep = `${'['.repeat(depth)}${']'.repeat(depth)}`;
	const text = JSON.stringify({
		version: 1, routes: [sound, {...inner, split: 'deep'}, {...other, note: 'deep'}], services: [], limits: {
			max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1,
		},
	}).replaceAll('"deep"', deep);
	const change = decodeItem('op/config', Buffer.from(text).toString('base64'));
	if (change.kind !== 'configuration') {
		throw new Error(change.kind === 'unreadable' ? change.reason : change.kind);
	}

	const found = ['/p/x', '/p/inner/x'].map(path => findTarget(change.configuration, 'a.example', path));
	expect([...found, findTarget(change.configuration, 'b.example', '/p/x')]).to.deep.equal(['desk', 'refused', 'refused']);
	expect(change.leftOut).to.have.length(2);
});

it('guards against calls of an unknown kind that are repeated: each is run at most once, also if the kind is the name of a property of all objects', () => {
	for (const kind of ['other', '__proto__', 'constructor', 'toString', '']) {
		expect(decode([{...sound, kind}]).configuration.routes[0]!.kind, kind).to.equal('once');
	}
});

it('guards against findings without end: of thousands of routes that cannot be decoded a few are named, shortly, and the rest is counted', () => {
	const {configuration, leftOut} = decode(Array.from({length: 3000}, (_, at) => ({...sound, name: `${'n'.repeat(500)}${at}`, kind: null})));
	expect(configuration.routes).to.have.length(3000);
	expect(leftOut).to.have.length(9);
	expect(leftOut.every(text => text.length <= 200)).to.equal(true);
	expect(leftOut.at(-1)).to.equal('2992 more');
});

it('guards against a gateway that learns of the configuration from another one and serves what the source refuses, and against findings that only the first configuration has', () => {
	const cache: RouteCache = new Map();
	const {configuration: before} = decode([sound, inner, other], 1, cache);
	const broken = {...inner, timeout_ms: null};
	const {configuration} = decode([sound, broken, other], 2, cache);
	const again = decode([sound, broken, other, {...other, name: 'new', prefix: '/n/'}], 3, cache);
	expect(again.leftOut).to.have.length(1);
	const delta = createDelta(before, configuration);
	const received = directorySnapshotSchema.parse(structuredClone({versions: [], configuration, configurationDelta: delta})) as DirectorySnapshot;
	for (const copy of [received.configuration!, applyDelta(before, received.configurationDelta!), again.configuration]) {
		expect(['/p/x', '/p/inner/x'].map(path => findTarget(copy, 'a.example', path))).to.deep.equal(['desk', 'refused']);
	}
});

it('guards against calls of a route that cannot be decoded which run at another service: 503 with a time to return, whatever key they bear, and the other calls are served', async () => {
	const upstream = await startUpstream((req, res) => {
		sendSignedResponse(req, res, 200, 'ok');
	});
	const {configuration} = decode([sound, {...inner, timeout_ms: null}]);
	const gateway = await startTestGateway(configuration, [testInstance({id: 'i-1', address: upstream.address})]);
	try {
		for (const key of ['k1', 'unknown']) {
			const refused = await callGateway(gateway.url, {path: '/p/inner/x', headers: {'api-key': key}});
			expect([refused.status, Number(refused.headers['retry-after']) > 0]).to.deep.equal([503, true]);
		}

		expect(upstream.requests).to.have.length(0);
		const served = await callGateway(gateway.url, {headers: {'api-key': 'k1'}});
		expect([served.status, gateway.faults.count]).to.deep.equal([200, 0]);
	} finally {
		gateway.close();
		upstream.close();
	}
});
