/** What one value of the store, of another process or of the operators may cost: itself, and nothing else. */
import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import fc from 'fast-check';
import {decodeItem} from '../platform/decode-published.ts';
import {Directory} from '../src/directory/directory.ts';
import type {PublishedConfiguration} from '../src/directory/directory-types.ts';
import {createServiceId} from '../src/ids/service-id.ts';
import {isAddress} from '../src/links/address.ts';
import {DatagramPort} from '../src/links/datagram-port.ts';
import {peerInfoSchema} from '../src/messages/peers-exchange.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {
	callGateway, sendSignedResponse, startTestGateway, startUpstream, testConfiguration, testInstance,
} from './support/direct-fixtures.ts';

const encodeValue = (value: unknown) => Buffer.from(JSON.stringify(value)).toString('base64');

const entry = {
	service: 'desk', address: '10.0.0.1:80', zone: 'z', slots: 8, state: 'ready', born: 5,
};

it('guards against an entry that ends each gateway that chooses it: an address without a port that exists or without an IP address names no instance', () => {
	for (const address of ['10.0.0.1:65536', '10.0.0.1:99999', '10.0.0.1:0', '10.0.0.300:80', '10.0.0.1:080000', 'a.example:80', '10.0.0.1', '10.0.0.1:80\n', '']) {
		expect(decodeItem('servers/i-1', encodeValue({...entry, address})).kind, address).to.equal('instance-gone');
	}

	expect(decodeItem('servers/i-1', encodeValue({...entry, address: '10.0.0.1:65535'})).kind).to.equal('instance');
});

it('guards against an instance that no call can name: an ID that is no value of a header names no instance', () => {
	for (const id of ['', 'i\n1', 'i\u0000', 'i-ł']) {
		expect(decodeItem(`servers/${id}`, encodeValue(entry)).kind, id).to.equal('instance-gone');
	}
});

it('guards against processes that end each other: an address that does not exist is refused where it comes in, and a datagram to it is not sent', () => {
	const peer = {
		vm: 'v', startedAtMs: 1, role: 'gateway', zone: 'z', region: 'r',
	};
	for (const address of ['10.0.0.1:65536', '10.0.0.1:0', '10.0.0.1', ':80', 'a b:80', '10.0.0.1:8x']) {
		expect(peerInfoSchema.safeParse({...peer, address}).success, address).to.equal(false);
	}

	expect(['10.0.0.1:80', 'localhost:80', '[::1]:80'].every(address => isAddress(address))).to.equal(true);
	const port = new DatagramPort(createSilentLogger());
	for (const number of [0, 65_536, -1, Number.NaN]) {
		port.send(['x'], {host: '127.0.0.1', port: number});
	}

	port.close();
});

/** Names that operators may give. */
const names = ['Balie Noord', 'Vermeer & Zonen', 'Łódź', '自転車', 'a;b="c"', 'ß'.repeat(200)];

const publishedConfiguration = {
	version: 1,
	routes: [{
		name: 'route & more', host: 'a.example', prefix: '/p/', kind: 'non_idempotent', timeout_ms: 1000, service: 'desk & café',
	}],
	services: [{name: 'desk & café'}],
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 10_000, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
	},
	tenants: names.map((name, at) => ({name, api_keys: [`k${at}`]})),
};

function decodeConfiguration(value: unknown): {configuration: PublishedConfiguration; leftOut: readonly string[]} {
	const change = decodeItem('op/config', encodeValue(value));
	if (change.kind !== 'configuration') {
		throw new Error(change.kind === 'unreadable' ? change.reason : change.kind);
	}

	return {configuration: change.configuration, leftOut: change.leftOut ?? []};
}

it('guards against a configuration that one name takes out of force: names of tenants, services and routes may hold spaces and letters of any language, up to the header of the upstream', async () => {
	const {configuration} = decodeConfiguration(publishedConfiguration);
	const tenants: string[] = [];
	const upstream = await startUpstream((req, res) => {
		tenants.push(Buffer.from(String(req.headers.tenant), 'latin1').toString('utf8'));
		sendSignedResponse(req, res, 200, 'ok');
	});
	const instance = decodeItem('servers/i-1', encodeValue({...entry, service: 'desk & café', address: upstream.address}));
	const gateway = await startTestGateway(configuration, instance.kind === 'instance' ? [testInstance(instance.instance)] : []);
	try {
		for (const at of names.keys()) {
			const {status} = await callGateway(gateway.url, {headers: {'api-key': `k${at}`}});
			expect(status, names[at]).to.equal(200);
		}

		expect(tenants).to.deep.equal(names);
	} finally {
		gateway.close();
		upstream.close();
	}
});

it('guards against a configuration that one unusable value takes out of force: a tenant whose name no header can hold has no keys, an origin without an address is none, the rest is in force', () => {
	const {configuration, leftOut} = decodeConfiguration({
		...publishedConfiguration,
		services: [{name: 'desk & café', origin: '10.0.0.1:99999'}],
		tenants: [{name: 'a\nb', api_keys: ['bad']}, {name: '', api_keys: ['empty']}, {name: 'good', api_keys: ['k']}],
	});
	expect(Object.keys(configuration.keys!)).to.deep.equal(['k']);
	expect([configuration.services[0]!.origin, leftOut.length]).to.deep.equal([undefined, 3]);
});

it('guards against limits that end gateways or refuse every call: a negative one is no limit, and the configuration before stays in force', () => {
	for (const field of Object.keys(publishedConfiguration.limits)) {
		for (const value of [-1, -5000, -0.5]) {
			const change = decodeItem('op/config', encodeValue({...publishedConfiguration, limits: {...publishedConfiguration.limits, [field]: value}}));
			expect(change.kind, `${field}: ${value}`).to.equal('unreadable');
		}
	}
});

it('guards against a value of the store that ends the process: decoding never throws, whatever one field of an entry or a configuration holds', () => {
	const values = fc.oneof(fc.jsonValue(), fc.string(), fc.double(), fc.constant(null));
	fc.assert(fc.property(fc.constantFrom(...Object.keys(entry), 'models', 'layers'), values, (field, value) => {
		decodeItem('servers/i-1', encodeValue({...entry, [field]: value}));
	}), {seed: 35, numRuns: 500});
	fc.assert(fc.property(fc.constantFrom(...Object.keys(publishedConfiguration)), values, (field, value) => {
		decodeItem('op/config', encodeValue({...publishedConfiguration, [field]: value}));
	}), {seed: 35, numRuns: 500});
	fc.assert(fc.property(fc.string(), fc.string(), (key, text) => {
		decodeItem(`op/version/${key}`, text);
		decodeItem(key, Buffer.from(text).toString('base64'));
	}), {seed: 35, numRuns: 500});
});

it('guards against workers that another writer hides: an entry with their address, a later start and a service that no configuration names takes none out of use', () => {
	const directory = new Directory(createSilentLogger());
	const worker = testInstance({id: 'i-1', address: '10.0.0.1:80', startedAtMs: 5});
	const foreign = testInstance({
		id: 'other', address: '10.0.0.1:80', startedAtMs: 9, service: createServiceId('unknown'),
	});
	directory.apply({revision: 1, changes: [{revision: 1, change: {kind: 'configuration', configuration: testConfiguration(1)}}]});
	directory.replaceInstances({revision: 2, changes: [worker, foreign].map(instance => ({revision: 2, change: {kind: 'instance', instance}}))});
	expect(directory.instances.map(({id}) => id)).to.deep.equal(['i-1']);
	const held = {
		model: 'm', version: 2, fromLayer: 0, toLayer: 16,
	};
	directory.recordHeldModel(worker.address, worker.startedAtMs, held);
	expect(directory.instances).to.deep.equal([{...worker, held: [held]}]);
	// A service that a later configuration names counts from then on: the address belongs to its worker.
	const configuration = testConfiguration(2);
	const services = [...configuration.services, {name: createServiceId('unknown'), maxConnections: 5}];
	directory.apply({revision: 3, changes: [{revision: 3, change: {kind: 'configuration', configuration: {...configuration, services}}}]});
	expect(directory.instances.map(({id}) => id)).to.deep.equal(['other']);
});
