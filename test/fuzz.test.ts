/**
 * Sound messages with random changes, for each decoder of bytes from outside: no exception escapes, no value outside its type comes through,
 * and what is kept is bounded by what came in. FUZZ_RUNS and FUZZ_SEED set the runs of each property and the seed for a long run by hand.
 */
import {Buffer} from 'node:buffer';
import type {EventEmitter} from 'node:events';
import type http from 'node:http';
import {Readable} from 'node:stream';
import {expect} from 'chai';
import fc from 'fast-check';
import {ZodError} from 'zod';
import {platformCodec} from '../platform/call-headers.ts';
import {decodeItem} from '../platform/decode-published.ts';
import {EngineClient, PlatformWeightOrigin} from '../platform/engine-client.ts';
import {BrokenAnswerError} from '../src/calls/frame-checker.ts';
import {readFrames} from '../src/calls/frame-reader.ts';
import type {DirectoryChange} from '../src/directory/directory-types.ts';
import {EventOrder} from '../src/forwarding/event-order.ts';
import {EventSplitter} from '../src/forwarding/event-splitter.ts';
import {RouteTable} from '../src/forwarding/route-table.ts';
import {digestOf, isDigest} from '../src/ids/digest.ts';
import {isPromptPartId} from '../src/ids/prompt-part-id.ts';
import {createWorkspaceId} from '../src/ids/workspace-id.ts';
import {isIpv4Address} from '../src/links/address.ts';
import {DatagramPort} from '../src/links/datagram-port.ts';
import {isHeaderValue} from '../src/links/http-syntax.ts';
import type {PeerClient} from '../src/links/peer-client.ts';
import {RpcDispatcher} from '../src/links/rpc-dispatcher.ts';
import type {CallFrame} from '../src/messages/call-frame.ts';
import {findManifestFault, parseManifest} from '../src/rollout/manifest.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {datagramMessages, frames, rpcMessages} from './support/fuzz-messages.ts';
import {
	findOddValue, fuzzParameters, mutated, pieces,
} from './support/fuzz-mutations.ts';

const cutsArb = fc.array(fc.nat(), {maxLength: 8});

/** Runs a synchronous property with the parameters of this run; `cases` are inputs that once found a fault. */
function check(arb: fc.Arbitrary<Buffer>, run: (bytes: Buffer) => void, cases: readonly string[] = []): void {
	fc.assert(fc.property(arb, run), {...fuzzParameters, examples: cases.map((text): [Buffer] => [Buffer.from(text, 'latin1')])});
}

/** Splits the text of a head into alternating names and values, as Node.js does. */
function toRawHeaders(bytes: Buffer): string[] {
	return bytes.toString('latin1').split('\r\n').flatMap(line => {
		const at = line.indexOf(':');
		return at > 0 ? [line.slice(0, at), line.slice(at + 1).trim()] : [];
	});
}

const callHead = 'Host: a.example\r\nAttempt-Id: id-1\r\nApi-Key: k1\r\nDeadline-Ms: 900\r\nLast-Event-Id: 5\r\nModel: m\r\nToken-Usage: 977,94\r\n'
	+ 'Prompt-Prefix: a:10,b:20,c:3\r\nConnection: keep-alive, x-one\r\nX-One: 1\r\nContent-Length: 5\r\nTenant: forged\r\nExpect-Instance: forged';

/** The headers that a gateway sets itself, whatever a caller sends. */
const expectedHeaders: Readonly<Record<string, string>> = {
	'expect-instance': 'i-1', 'deadline-ms': '800', tenant: 'w1', 'content-length': '5', 'expect-version': '2',
};

it('fuzzing guards against headers of callers that escape as an exception, as a wrong value, or as a forged header at an upstream', () => {
	check(mutated(callHead), bytes => {
		const rawHeaders = toRawHeaders(bytes);
		const headers = platformCodec.readCallHeaders(rawHeaders);
		expect(findOddValue(headers)).to.equal(undefined);
		expect(headers.promptParts.every(part => isPromptPartId(part)), String(headers.promptParts)).to.equal(true);
		const written = platformCodec.writeCallHeaders(rawHeaders, {
			deadlineMs: 800, instance: 'i-1', version: 2, workspace: createWorkspaceId('w1'), priority: 1, lastEventId: undefined, bodyBytes: 5, hasBody: true,
		});
		for (const [name, value] of Object.entries(expectedHeaders)) {
			const values = written.filter((_, at) => at % 2 === 1 && written[at - 1]!.toLowerCase() === name);
			expect(values, name).to.deep.equal([value]);
		}
	});
});

const responseHead = 'Attempt-Id: id-1\r\nResponse-Seal: s.1\r\nInstance-Load: 3,1,16\r\nWeight-Versions: 2\r\nServed-By: i-1\r\nServer-Leaving: 1\r\nRetry-After: 1.5\r\nContent-Length: 2';

it('fuzzing guards against headers of upstreams that escape as an exception, a negative load or a signal without a number', () => {
	check(mutated(responseHead), bytes => {
		for (const status of [200, 421, 503]) {
			const {load, version, signals, unreadableSignals} = platformCodec.readResponseHeaders(status, toRawHeaders(bytes));
			expect([load?.calls, load?.slots, version].every(value => value === undefined || (Number.isSafeInteger(value) && value >= 0))).to.equal(true);
			expect(signals.every(signal => signal.kind === 'leaving' || !Number.isNaN(signal.forMs))).to.equal(true);
			expect(unreadableSignals.every(text => text.length < 100)).to.equal(true);
		}
	});
});

const publishedConfiguration = {
	version: 7,
	routes: [
		{
			name: 'r', host: 'h.example', prefix: '/p/', kind: 'stream', timeout_ms: 600.5, goal_ms: 80.25, priority: 0, service: 's', attempts: 2, public: false, resumable: true,
		},
		{
			name: 'q', host: 'h.example', prefix: '/p/q/', kind: 'idempotent', timeout_ms: 50, split: [{service: 's', weight: 0.5}, {service: 't', weight: 2}],
		},
	],
	services: [{
		name: 's', max_conns: 13, engine: {
			slots: 8, stride: 5, models: [{name: 'm'}], step_ms: 13.3, per_seq_ms: 0.0582, context_per_k: 0.0341, read_per_s: 12_700.5,
			usual: {prompt: 1003.5, answer: 72.25}, layers: 16, chunks: 96, chunk_bytes: 24_576,
		},
	}, {name: 't', origin: '172.20.0.3:8606', link_mbps: 4.38}],
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000.5, idle_timeout_ms: 15_000,
	},
	tenants: [{name: 't', api_keys: ['k'], priority: 1}],
};
const publishedInstance = {
	service: 's', address: '10.0.0.1:80', zone: 'z', slots: 8, state: 'ready', cold_left_ms: 12.5, models: [{name: 'm', version: 1}], layers: {from: 0, to: 16, version: 1}, born: 5,
};

const changeChecks: {readonly [Kind in DirectoryChange['kind']]: (change: Extract<DirectoryChange, {kind: Kind}>) => void} = {
	configuration({configuration, leftOut = []}) {
		const {routes, limits, services} = configuration;
		expect(routes.every(({kind, targets}) => ['idempotent', 'once', 'stream'].includes(kind) && targets.every(({weight}) => weight >= 0))).to.equal(true);
		expect(routes.every(({timeoutMs, aimMs, attempts}) => timeoutMs > 0 && aimMs > 0 && attempts > 0), JSON.stringify(routes)).to.equal(true);
		expect(Object.values(limits).every(limit => limit >= 0), JSON.stringify(limits)).to.equal(true);
		expect(services.every(({engine, maxConnections}) => maxConnections > 0 && (!engine || (engine.slots > 0 && engine.readTokensPerMs > 0))), JSON.stringify(services)).to.equal(true);
		expect(leftOut.length <= 9 && leftOut.every(text => text.length <= 200), JSON.stringify(leftOut)).to.equal(true);
		new RouteTable(configuration).findRoute('h.example', '/p/q/x');
	},
	version({version}) {
		expect(Number.isSafeInteger(version) && version > 0).to.equal(true);
	},
	instance({instance: {id, address, slots}}) {
		expect(isHeaderValue(id) && isIpv4Address(address) && slots > 0).to.equal(true);
	},
	'instance-gone': () => undefined,
	evacuation: () => undefined,
	'evacuation-ended': () => undefined,
	unreadable({reason}) {
		expect(reason.length).to.be.at.most(200);
	},
};

const publishedSamples: ReadonlyArray<{readonly key: string; readonly value: unknown; readonly cases?: readonly string[]}> = [
	{
		key: 'op/config', value: publishedConfiguration, cases: [
			// Seeds 7 and 11: a negative limit, a kind that names a property of all objects, a link that is infinite in bytes.
			JSON.stringify(publishedConfiguration).replace('16384', '-1'),
			JSON.stringify(publishedConfiguration).replace('"stream"', '"__proto__"'),
			JSON.stringify(publishedConfiguration).replace('4.38', '1e308'),
		],
	},
	{key: 'op/version/m', value: {model: 'm', version: 3}},
	{key: 'servers/i-1', value: publishedInstance},
];

for (const {key, value, cases} of publishedSamples) {
	it(`fuzzing guards against a value of the store at ${key} that escapes as an exception or comes through outside its type`, () => {
		check(mutated(value), bytes => {
			const change = decodeItem(key, bytes.toString('base64'));
			expect(findOddValue(change)).to.equal(undefined);
			changeChecks[change.kind](change as never);
		}, cases);
	});
}

const manifest = {
	model: 'm', version: '2', chunk_bytes: 8, total_bytes: 20, chunks: ['a', 'b', 'c'].map(text => digestOf(Buffer.from(text))),
};

it('fuzzing guards against answers of engines and of the origin that come through outside their types', async () => {
	const report = {
		...publishedInstance, busy: false, sequence: 4, born: 5,
	};
	const published = {
		model: 'm', version: 2, chunk_bytes: 8, digests: manifest.chunks,
	};
	await fc.assert(fc.asyncProperty(mutated(report), mutated({held: [0, 1, 5]}), mutated(published), async (reportBytes, heldBytes, manifestBytes) => {
		const answers: Record<string, Buffer> = {'/v1/report': reportBytes, '/v1/stage-get/m': heldBytes, '/v1/manifest/m': manifestBytes};
		const links = {json: async (url: string) => JSON.parse(answers[new URL(url).pathname]!.toString('utf8')) as unknown} as unknown as PeerClient;
		const engine = new EngineClient(links, '127.0.0.1:1');
		const results = await Promise.allSettled([engine.fetchReport('m', 16), engine.listChunks('m'), new PlatformWeightOrigin(links).fetchManifest('127.0.0.1:1', 'm', 2)]);
		const [state, held, listed] = results.map(result => (result.status === 'fulfilled' ? result.value : undefined)) as [
			Awaited<ReturnType<EngineClient['fetchReport']>> | undefined, readonly number[] | undefined, typeof manifest | undefined,
		];
		expect(findOddValue([state, held, listed])).to.equal(undefined);
		expect(held?.every(number => Number.isSafeInteger(number) && number >= 0) ?? true, String(held)).to.equal(true);
		expect(state === undefined || (Number.isSafeInteger(state.orderCount) && state.orderCount >= 0), JSON.stringify(state)).to.equal(true);
		expect(listed === undefined || listed.chunks.every(digest => isDigest(digest))).to.equal(true);
	}), {
		// Seed 7: places of chunks and a count of orders that are no whole numbers.
		...fuzzParameters,
		examples: [[JSON.stringify({...report, sequence: -1}), JSON.stringify({held: [-1, 1.5]}), JSON.stringify(published)].map(text => Buffer.from(text)) as [Buffer, Buffer, Buffer]],
	});
});

it('fuzzing guards against a manifest that is taken although it is not one: only errors of its form escape, and what comes through has sizes and digests', () => {
	check(mutated(manifest), bytes => {
		try {
			const parsed = parseManifest(bytes);
			expect(parsed.chunks.every(digest => isDigest(digest)) && Number.isSafeInteger(parsed.chunk_bytes) && Number.isSafeInteger(parsed.total_bytes)).to.equal(true);
			findManifestFault(parsed, {
				model: 'm', version: 2, chunkCount: 3, chunkBytes: 8,
			});
		} catch (err) {
			expect(err instanceof ZodError || err instanceof SyntaxError, String(err)).to.equal(true);
		}
	});
});

it('fuzzing guards against a datagram that escapes as an exception, or whose handler gets a value outside its type', () => {
	const port = new DatagramPort(createSilentLogger());
	const received: unknown[] = [];
	for (const {schema, message} of datagramMessages) {
		port.on(String(message[0]), schema, value => {
			received.push(value);
		});
	}

	const socket = Reflect.get(port, 'socket') as EventEmitter;
	check(mutated(...datagramMessages.map(({message}) => message)), bytes => {
		received.splice(0);
		socket.emit('message', bytes, {address: '127.0.0.1', port: 9});
		expect(findOddValue(received)).to.equal(undefined);
		expect(JSON.stringify(received).length).to.be.at.most((2 * bytes.length) + 100);
	});
	port.close();
});

it('fuzzing guards against a request between processes that gets no answer, or whose method gets a value outside its type', async () => {
	const dispatcher = new RpcDispatcher();
	const received: unknown[] = [];
	for (const {method, schema} of rpcMessages) {
		dispatcher.method(method, schema, params => {
			received.push(params);
			return 'done';
		});
	}

	const requests = rpcMessages.map(({method, params}, id) => ({
		jsonrpc: '2.0', id, method, params,
	}));
	await fc.assert(fc.asyncProperty(mutated(...requests, requests.slice(0, 2)), async bytes => {
		received.splice(0);
		let status = 0;
		let body: string | undefined;
		const res = {
			writeHead(code: number) {
				status = code;
				return res;
			},
			end(text?: string | Buffer) {
				body = text?.toString();
			},
		};
		await dispatcher.handle(Readable.from([bytes]) as http.IncomingMessage, res as unknown as http.ServerResponse, {} as never);
		expect([200, 204]).to.include(status);
		expect(status === 204 || typeof JSON.parse(body!) === 'object').to.equal(true);
		expect(findOddValue(received)).to.equal(undefined);
		expect(body?.length ?? 0).to.be.at.most((100 * bytes.length) + 10_000);
	}), fuzzParameters);
});

it('fuzzing guards against an answer of an agent that is taken although it has a gap, another attempt or no end: only errors of a broken answer escape', async () => {
	const call = {
		attempt: 'a-1', work: {
			kind: 'generate', model: 'm', version: 'v1', adapter: null, prompt: 'p', maxTokens: 5, resumeFrom: 0,
		},
	} as const;
	await fc.assert(fc.asyncProperty(mutated(frames.map(frame => `${JSON.stringify(frame)}\n`).join('')), cutsArb, async (bytes, cuts) => {
		const taken: CallFrame[] = [];
		let isWhole = false;
		try {
			for await (const frame of readFrames(Readable.from(pieces(bytes, cuts)), call)) {
				taken.push(frame);
			}

			isWhole = true;
		} catch (err) {
			expect(err, String(err)).to.be.instanceOf(BrokenAnswerError);
		}

		expect(findOddValue(taken)).to.equal(undefined);
		expect(taken.every(({attempt, seq}, at) => attempt === 'a-1' && seq === at)).to.equal(true);
		const last = taken.at(-1)?.kind;
		expect(isWhole).to.equal(last === 'end' || last === 'refused' || last === 'failed');
		const tokens = taken.flatMap(frame => (frame.kind === 'tokens' ? frame.tokens : []));
		expect(tokens.length).to.be.at.most(5);
	}), fuzzParameters);
});

it('fuzzing guards against a stream of events that depends on how it was cut into pieces, loses bytes, or gives the caller an event twice', () => {
	const stream = Array.from({length: 8}, (_, at) => `id: ${at + 1}\nevent: token\ndata: {"text":"t${at}"}\n\n`).join('');
	fc.assert(fc.property(mutated(stream, stream.replaceAll('\n', '\r\n')), cutsArb, fc.constantFrom(undefined, '', '3', 'x', '1e1'), (bytes, cuts, resumedAfter) => {
		const splitter = new EventSplitter();
		const events = pieces(bytes, cuts).flatMap(piece => splitter.push(piece));
		const whole = new EventSplitter().push(bytes);
		expect(events.map(({bytes: part, id}) => [part.toString('latin1'), id])).to.deep.equal(whole.map(({bytes: part, id}) => [part.toString('latin1'), id]));
		const passed = events.reduce((sum, {bytes: part}) => sum + part.length, 0);
		expect(passed + splitter.pendingBytes).to.equal(bytes.length);
		const order = new EventOrder(resumedAfter);
		const ids = events.filter(({id}) => id !== undefined && order.check(id) === 'next').map(({id}) => Number(id));
		expect(ids.every((id, at) => Number.isSafeInteger(id) && (at === 0 || id > ids[at - 1]!))).to.equal(true);
		expect(resumedAfter === '3' ? ids.every(id => id > 3) : true).to.equal(true);
	}), fuzzParameters);
});
