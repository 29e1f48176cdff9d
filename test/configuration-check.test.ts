/** Tests of `cactusreach check` for published configurations: what it finds, where, and what a configuration would change for calls. */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {expect} from 'chai';
import fc from 'fast-check';
import {decodeItem} from '../platform/decode-published.ts';
import {inspectConfiguration} from '../platform/inspect-configuration.ts';
import {
	checkConfiguration, type DeploymentFacts, findFaults, toCheckedConfiguration,
} from '../src/checks/check-configuration.ts';
import {compareCallRoutes} from '../src/checks/compare-routes.ts';
import type {CheckedConfiguration, GroupedFinding} from '../src/checks/configuration-finding.ts';
import {findRegionContradictions} from '../src/checks/find-region-contradictions.ts';
import {parseJsonWithLines} from '../src/checks/parse-json-with-lines.ts';
import {RouteIndex} from '../src/checks/route-index.ts';
import type {PublishedConfiguration, Route} from '../src/directory/directory-types.ts';
import {RouteTable} from '../src/forwarding/route-table.ts';
import {createRegionId} from '../src/ids/region-id.ts';
import {createServiceId} from '../src/ids/service-id.ts';
import {createWorkspaceId} from '../src/ids/workspace-id.ts';
import {testConfiguration, testInstance, testRoute} from './support/direct-fixtures.ts';
import {DirectoryStore} from './support/directory-store.ts';
import {waitFor} from './support/fleet.ts';
import {observedConfiguration} from './support/observed-gateway.ts';
import {Processes} from './support/processes.ts';

type Raw = Readonly<Record<string, unknown>>;

const program = path.join(import.meta.dirname, '../dist/cactusreach.cjs');
const folder = mkdtempSync(path.join(tmpdir(), 'cactusreach-check-'));

after(() => {
	rmSync(folder, {recursive: true});
});

const route: Raw = {
	name: 'a', host: 'a.example', prefix: '/a/', kind: 'idempotent', timeout_ms: 500, goal_ms: 400, attempts: 2, service: 'desk',
};
const valid = {
	version: 2,
	routes: [route, {...route, name: 'b', prefix: '/b/'}] as readonly unknown[],
	services: [{name: 'desk', max_conns: 50}, {name: 'spare', max_conns: 50}] as readonly unknown[],
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 10_000, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
	} as unknown,
	tenants: [{name: 'w1', api_keys: ['secret-1', 'secret-2'], priority: 2}] as readonly unknown[],
};

function withRoute(fields: Raw): typeof valid {
	return {...valid, routes: [{...route, ...fields}, valid.routes[1]]};
}

function read(value: unknown, file = 'c.json'): {faults: GroupedFinding[]; checked: CheckedConfiguration | undefined} {
	const parsed = parseJsonWithLines(JSON.stringify(value, null, 1));
	const inspected = parsed.ok ? inspectConfiguration(parsed.value) : undefined;
	if (!parsed.ok || !inspected) {
		throw new Error('is no published configuration');
	}

	const parsedFile = {
		file, lines: parsed.lines, duplicates: parsed.duplicates, inspected,
	};
	return {faults: findFaults(parsedFile), checked: toCheckedConfiguration(parsedFile)};
}

function check(value: unknown, facts: DeploymentFacts = {}): GroupedFinding[] {
	const {faults, checked} = read(value);
	return [...faults, ...(checked ? checkConfiguration(checked, facts) : [])];
}

/** Returns group, effect, key and reason of each finding. */
function brief(findings: readonly GroupedFinding[]): string[] {
	return findings.map(({group, effect, key, reason}) => `${effect ?? group} ${key} ${reason}`);
}

function differences(before: unknown, after: unknown): string[] {
	return brief(check(after, {inForce: read(before, 'old.json').checked!}).filter(({group}) => group === 'difference'));
}

it('guards against findings on a configuration without faults', () => {
	expect(check(valid, {retryLimit: {ratio: 0.2, slack: 100}, inForce: read(valid).checked!})).to.deep.equal([]);
	expect(check(observedConfiguration)).to.deep.equal([]);
});

it('guards against an error that is not reported, or not where it stands', () => {
	const cases: ReadonlyArray<readonly [unknown, string, string]> = [
		[withRoute({timeout_ms: 'soon'}), 'routes.0.timeout_ms', 'calls of the route are refused'],
		[withRoute({service: null}), 'routes.0', 'names no service'],
		[withRoute({kind: 'sometimes'}), 'routes.0.kind', 'no known kind'],
		[withRoute({service: 'gone'}), 'routes.0.service', 'service gone that is not published'],
		[withRoute({split: [{service: 'gone', weight: 1}]}), 'routes.0.split', 'service gone that is not published'],
		[withRoute({host: 1, prefix: 1}), 'routes.0', 'the whole configuration is refused'],
		[withRoute({name: 'b'}), 'routes.1.name', 'more than one route'],
		[{...valid, services: [...valid.services, {name: 'desk'}]}, 'services.2.name', 'more than one service'],
		[{...valid, services: [{name: 'desk', origin: 'nowhere'}]}, 'services.0', 'has no address'],
		[{...valid, services: [{name: 'desk', max_conns: 0}]}, 'services.0.max_conns', 'Too small'],
		[{...valid, limits: {...valid.limits as Raw, max_body_bytes: -1}}, 'limits.max_body_bytes', 'Too small'],
		[{...valid, limits: undefined}, 'limits', 'is missing'],
		[{...valid, tenants: [...valid.tenants, {name: 'w2', api_keys: ['secret-2']}]}, 'tenants.1.api_keys', 'a key that workspace w1 has too'],
		[{...valid, tenants: [{name: 'a\nb', api_keys: ['secret-1']}]}, 'tenants.0', 'control'],
	];
	for (const [value, key, text] of cases) {
		const findings = check(value).filter(({group}) => group === 'error');
		expect(findings.map(finding => finding.key), text).to.deep.equal([key]);
		expect(findings[0]!.reason).to.include(text);
		const lastField = key.split('.').at(-1)!;
		const line = JSON.stringify(value, null, 1).split('\n')[findings[0]!.line! - 1];
		expect(line, key).to.include(/^\d/.test(lastField) ? '{' : (text === 'is missing' ? '{' : `"${lastField}"`));
	}
});

/** Returns the paths of all values in a JSON value. */
function listPaths(value: unknown, at: ReadonlyArray<string | number> = []): Array<ReadonlyArray<string | number>> {
	const entries: Array<[string | number, unknown]> = Array.isArray(value) ? [...value.entries()] : Object.entries(value ?? {});
	return typeof value === 'object' ? entries.flatMap(([key, item]) => [[...at, key], ...listPaths(item, [...at, key])]) : [];
}

function replaceAt(value: unknown, [key, ...rest]: ReadonlyArray<string | number>, by: unknown): unknown {
	if (key === undefined) {
		return by;
	}

	// An earlier change may have replaced what the path leads through.
	if (typeof value !== 'object' || value === null || !Object.hasOwn(value, key)) {
		return value;
	}

	const item = replaceAt((value as Raw)[key], rest, by);
	return Array.isArray(value) ? value.with(Number(key), item) : {...value, [key]: item};
}

it('guards against a check that takes another configuration than processes do, or fails with an exception', () => {
	const engine = {
		slots: 4, step_ms: 1, read_per_s: 1000, models: [{name: 'm'}],
	};
	const whole = {
		...valid, routes: [{
			...route, priority: 1, public: true, resumable: false, split: [{service: 'desk', weight: 1}],
		}, valid.routes[1]], services: [...valid.services, {name: 'models', engine, origin: '127.0.0.1:1'}],
	};
	const values = [null, 0, -1, 0.5, '', 'x', '/a/', 'desk', 'a\nb', true, [], {}, [null], [{}], [{name: ''}], [{service: 'desk', weight: 1}]];
	const mutation = fc.tuple(fc.constantFrom(...listPaths(whole)), fc.constantFrom<unknown>(...values));
	fc.assert(fc.property(fc.array(mutation, {minLength: 1, maxLength: 3}), mutations => {
		let value: unknown = whole;
		for (const [at, by] of mutations) {
			value = replaceAt(value, at, by);
		}

		check(value, {retryLimit: {ratio: 0, slack: 0}, inForce: read(whole).checked!});
		const {faults, checked} = read(value);
		const change = decodeItem('op/config', Buffer.from(JSON.stringify(value)).toString('base64'));
		expect(checked?.configuration).to.deep.equal(change.kind === 'configuration' ? change.configuration : undefined);
		if (change.kind !== 'configuration' || change.leftOut!.length > 0) {
			expect(faults).to.have.length.above(0);
		}
	}), {seed: 613, numRuns: 1500});
});

it('guards against entries that no call matches and nobody notices', () => {
	const cases: ReadonlyArray<readonly [unknown, string]> = [
		[withRoute({prefix: '/b/'}), 'never-matches routes.1.prefix no call matches the route, since route "a" comes before it and has the same host and prefix'],
		[withRoute({name: 'broken', prefix: undefined}), 'never-matches routes.1.prefix no call matches the route, since route "broken" comes before it and has a host or prefix that cannot be read'],
		[withRoute({host: 'a.example:80'}), 'never-matches routes.0.host has a port; hosts of calls are compared without their port; no call matches the route'],
		[withRoute({prefix: 'a/'}), 'never-matches routes.0.prefix does not begin with a slash; no call matches the route'],
		[withRoute({prefix: '/a/?x='}), 'never-matches routes.0.prefix has a character that no path has; no call matches the route'],
		[withRoute({split: [{service: 'desk', weight: 3}, {service: 'spare', weight: 0}]}), 'never-matches routes.0.split weight 0: service spare gets no call'],
		[
			withRoute({split: [{service: 'desk', weight: 0.5}, {service: 'spare', weight: 0.5}]}),
			'never-matches routes.0.split weight 0.5 of 1: service spare gets no call, since shares are drawn in whole numbers',
		],
		[{...valid, tenants: [...valid.tenants, {name: 'w2', api_keys: []}]}, 'never-matches tenants.1.api_keys workspace w2 has no key, so that no call belongs to it'],
	];
	for (const [value, text] of cases) {
		expect(brief(check(value)).filter(line => line.startsWith('never'))).to.deep.equal([text]);
	}

	const withoutKeys = brief(check({...valid, tenants: []}));
	expect(withoutKeys).to.have.length(2);
	expect(withoutKeys[0]).to.include('calls need a key, and no workspace has one');
});

it('guards against limits that contradict each other and come into force', () => {
	const cases: ReadonlyArray<readonly [unknown, string]> = [
		[withRoute({timeout_ms: 399}), 'contradiction routes.0.timeout_ms 399 ms is below the target time of the route, 400 ms'],
		[withRoute({resumable: true}), 'contradiction routes.0.resumable has no effect: only streams are resumed'],
		[withRoute({attempts: 3}), 'contradiction routes.0.attempts 3 attempts are not covered by the retry limit, which allows 1 retries even for a single call at a single gateway'],
		[{...valid, limits: {...valid.limits as Raw, idle_timeout_ms: 2999}}, 'contradiction limits.idle_timeout_ms 2999 ms is below the time for the headers of a call, 3000 ms'],
		[{...valid, limits: {...valid.limits as Raw, max_body_bytes: 0}}, 'contradiction limits.max_body_bytes is 0, so that every call with a body is refused'],
	];
	for (const [value, text] of cases) {
		expect(brief(check(value, {retryLimit: {ratio: 0.1, slack: 2}}))).to.deep.equal([text]);
	}

	// A timeout below the default target time contradicts nothing that was written.
	expect(check(withRoute({goal_ms: undefined}))).to.deep.equal([]);
	expect(check(withRoute({attempts: 3}))).to.deep.equal([]);
});

it('guards against home regions in which no call can run', () => {
	const regions = (...names: string[]) => names.map(name => createRegionId(name));
	const configuration = {
		...testConfiguration(1),
		routes: [{...testRoute({name: 'x'}), homeRegions: regions('north', 'east')}, testRoute({name: 'free'}), {...testRoute({name: 'lost'}), homeRegions: regions('moon')}],
		keys: {
			k1: {workspace: createWorkspaceId('w1'), homeRegions: regions('south')}, k2: {workspace: createWorkspaceId('w2'), homeRegions: regions('east')}, k3: {workspace: createWorkspaceId('w3')},
		},
	};
	const checked: CheckedConfiguration = {
		configuration, workspaces: [], isGiven: () => true, locate: place => ({file: 'f', key: 'at' in place ? `${place.part} ${place.at}` : place.part}),
	};
	const disjoint = [
		'contradiction route 0 has no region in common with workspace w1; their calls are refused',
		'contradiction route 2 has no region in common with workspace w1, w2; their calls are refused',
	];
	expect(brief(findRegionContradictions(checked, {}))).to.deep.equal(disjoint);
	const regionByZone = new Map([['n-1', 'north'], ['s-1', 'south'], ['e-1', 'east']]);
	const instances = [testInstance({id: 'i-1', zone: 's-1'}), testInstance({id: 'i-2', zone: 'e-1', isDraining: true}), testInstance({id: 'i-3', zone: 'unknown'})];
	const unknown = 'contradiction route 2 names region moon that no zone has; it permits nothing';
	expect(brief(findRegionContradictions(checked, {regionByZone, instances}))).to.deep.equal([
		...disjoint,
		unknown,
		'contradiction route 0 service desk has no instance in north, east; its calls are refused',
		'contradiction route 2 service desk has no instance in moon; its calls are refused',
	]);
	expect(findRegionContradictions(checked, {regionByZone, instances: [testInstance({id: 'i-1', zone: 'n-1'})]})).to.have.length(4);
	const [north, free] = configuration.routes as [Route, Route];
	const narrower = {...north, homeRegions: regions('east')};
	const changes = [[free, north], [north, narrower], [narrower, north], [north, free]].map(([from, to]) => compareCallRoutes(from, to).find(({field}) => field === 'homeRegions')?.effect);
	expect(changes).to.deep.equal(['moved', 'moved', 'none', 'none']);
});

it('guards against a change whose effect on calls is not told', () => {
	const next = {...valid, version: 3};
	const withNextRoute = (fields: Raw) => ({...withRoute(fields), version: 3});
	const cases: ReadonlyArray<readonly [unknown, readonly string[]]> = [
		[next, []],
		[{...next, routes: [route]}, ['refused routes.1 route "b" is removed: its calls are refused, since they match no route']],
		[{...next, routes: [valid.routes[1], route]}, []],
		[withNextRoute({name: 'z'}), ['none routes.0.name route "z": name "a" becomes "z"']],
		[
			withNextRoute({split: [{service: 'desk', weight: 1}, {service: 'spare', weight: 3}]}),
			['moved routes.0.split route "a": calls go to service desk (25 %), service spare (75 %) instead of service desk'],
		],
		[withNextRoute({split: [{service: 'desk', weight: 7}]}), []],
		[withNextRoute({timeout_ms: 450}), ['limited routes.0.timeout_ms route "a": timeout in ms: 500 becomes 450']],
		[withNextRoute({timeout_ms: 550}), ['none routes.0.timeout_ms route "a": timeout in ms: 500 becomes 550']],
		[withNextRoute({kind: 'non_idempotent'}), ['limited routes.0.kind route "a": kind idempotent becomes once']],
		[withNextRoute({priority: 6}), ['limited routes.0.priority route "a": priority: 5 becomes 6']],
		[withNextRoute({public: true}), ['served routes.0.public route "a": calls no longer need a key']],
		[withNextRoute({timeout_ms: -1}), ['refused routes.0 route "a": its calls are refused, since route "a" cannot be read']],
		[{
			...next, routes: [...valid.routes, {
				...route, name: 'c', prefix: '/a/c/', service: 'spare',
			}],
		}, ['moved routes.2 route "c" is new, and takes calls of route "a": calls go to service spare instead of service desk']],
		[{...next, routes: [...valid.routes, {...route, name: 'c', prefix: '/c/'}]}, ['served routes.2 route "c" is new: its calls, which are refused until now, are served']],
		[{...next, services: [valid.services[0], {name: 'spare', max_conns: 40}]}, ['limited services.1.max_conns service spare changes: connections to an instance: 50 becomes 40']],
		[{...next, services: [valid.services[0]]}, ['none services.1 service spare is removed; no route sends calls to it']],
		[{...next, services: [valid.services[1]]}, ['refused services.0 service desk is removed; calls that routes send to it are refused']],
		[
			{...next, tenants: [{name: 'w1', api_keys: ['secret-1'], priority: 3}]},
			['refused tenants.0 workspace w1 loses 1 key; calls with it are refused', 'limited tenants.0 workspace w1 changes: priority: 2 becomes 3'],
		],
		[
			{...next, tenants: [{name: 'w2', api_keys: ['secret-1', 'secret-2'], priority: 2}]},
			['moved tenants.0 workspace w1 is removed, and passes 2 keys on to another workspace, for which these calls count', 'served tenants.0 workspace w2 is new'],
		],
		[{...next, tenants: null}, ['served tenants.0 calls no longer need a key']],
		[{...next, limits: {...valid.limits as Raw, max_body_bytes: 9000}}, ['limited limits.max_body_bytes bytes of the body of a call: 10000 becomes 9000']],
		[{...valid, version: 1}, ['ignored version version 1 is not above 2, the one in force: processes do not take this configuration']],
	];
	for (const [value, expected] of cases) {
		expect(differences(valid, value)).to.deep.equal(expected);
	}
});

it('guards against a difference that is told for another route than the one that calls belong to', () => {
	const text = fc.constantFrom('', '/', '/a/', '/a/b/', '/a/b/c/', '/b/', 'x');
	const host = fc.constantFrom('', 'a.example', 'b.example');
	const routes = fc.array(fc.record({host, prefix: text, isRefused: fc.boolean()}), {maxLength: 8});
	fc.assert(fc.property(routes, host, text, (list, callHost, callPath) => {
		const configuration: PublishedConfiguration = {
			...testConfiguration(1), routes: list.map(({host, prefix, isRefused}, at) => testRoute({
				name: String(at), host, prefix, ...(isRefused ? {targets: []} : {}),
			})),
		};
		const found = new RouteIndex(configuration.routes).findRoute(callHost, callPath);
		expect(found?.name).to.equal(new RouteTable(configuration).findRoute(callHost, callPath)?.name);
	}), {seed: 613, numRuns: 3000});
});

/** Returns a configuration of many routes, of which each counts how often its fields are read. */
function countReads(routeCount: number): {checked: CheckedConfiguration; reads: () => number} {
	let reads = 0;
	const routes = Array.from({length: routeCount}, (_, at) => new Proxy(testRoute({name: `r${at}`, host: `h${at % 3}.example`, prefix: `/p${at}/`}), {
		get(target, key, receiver) {
			reads++;
			return Reflect.get(target, key, receiver) as unknown;
		},
	}));
	const keys = Object.fromEntries(routes.map((_, at) => [`k${at}`, {workspace: createWorkspaceId(`w${at}`), homeRegions: [createRegionId(`region-${at % 5}`)]}]));
	const workspaces = Object.entries(keys).map(([key, {workspace}]) => ({name: workspace, keys: [key]}));
	return {
		checked: {
			configuration: {...testConfiguration(1), routes, keys}, workspaces, isGiven: () => true, locate: () => ({file: 'f', key: 'k'}),
		},
		reads: () => reads,
	};
}

it('guards against a check whose work grows faster than the number of routes', () => {
	const [small, large] = [500, 5000].map(count => {
		const {checked, reads} = countReads(count);
		const inForce = countReads(count);
		checkConfiguration(checked, {
			inForce: inForce.checked, retryLimit: {ratio: 0.1, slack: 50}, regionByZone: new Map([['z', 'region-0']]), instances: [testInstance({id: 'i', service: createServiceId('desk')})],
		});
		return reads() + inForce.reads();
	}) as [number, number];
	expect(large / small).to.be.within(9, 11);
});

type Run = {readonly code: number | null; readonly out: string; readonly err: string};

async function run(...args: string[]): Promise<Run> {
	const child = spawn(process.execPath, [program, 'check', ...args], {stdio: ['ignore', 'pipe', 'pipe']});
	let [out, err] = ['', ''];
	child.stdout.setEncoding('utf8').on('data', (text: string) => {
		out += text;
	});
	child.stderr.setEncoding('utf8').on('data', (text: string) => {
		err += text;
	});
	return new Promise(resolve => {
		child.once('close', code => {
			resolve({code, out, err});
		});
	});
}

function write(name: string, text: string): string {
	const file = path.join(folder, name);
	writeFileSync(file, text);
	return file;
}

it('guards against a file that is half written and passes, or ends the check with an exception', async () => {
	const text = JSON.stringify(valid, null, 1);
	for (let length = 0; length < text.length; length++) {
		const parsed = parseJsonWithLines(text.slice(0, length));
		expect(parsed.ok ? 'accepted' : parsed.line, String(length)).to.be.within(1, text.split('\n').length);
	}

	const file = write('half.json', text.slice(0, text.indexOf('"services"')));
	const line = text.slice(0, text.indexOf('"services"')).split('\n').length;
	const half = await run(file, '--against', write('whole.json', text));
	expect(half).to.deep.equal({code: 1, err: '', out: `${file}:${line}: (syntax): expected a key in quotes, found the end of the file\n1 file, 1 finding, 0 notes\n`});
	const against = await run(write('whole.json', text), '--against', file);
	expect([against.code, against.out.split('\n')[0]]).to.deep.equal([1, `${file}: (file): holds no configuration that processes take; nothing is compared with it`]);
	const part = write('part.json', JSON.stringify({version: 3, routes: [route]}, null, 1));
	const incomplete = await run(part);
	expect([incomplete.code, incomplete.out]).to.deep.equal([1, `${part}:1: services: is missing\n${part}:1: limits: is missing\n1 file, 2 findings\n`]);
});

it('guards against exit codes and output that scripts cannot rely on, and against keys in them', async () => {
	const old = write('old.json', JSON.stringify(valid, null, 1));
	const same = await run(old, '--against', old);
	expect(same).to.deep.equal({code: 0, out: '1 file, 0 findings, 0 notes\n', err: ''});
	const harmless = write('harmless.json', JSON.stringify({...withRoute({timeout_ms: 600}), version: 3}, null, 1));
	const noted = await run(harmless, '--against', old);
	expect(noted).to.deep.equal({code: 0, out: `${harmless}:9: routes.0.timeout_ms: route "a": timeout in ms: 500 becomes 600 [none]\n1 file, 0 findings, 1 note\n`, err: ''});
	const changed = write('changed.json', JSON.stringify({...withRoute({attempts: 3}), version: 3, tenants: [{name: 'w1', api_keys: ['secret-1', 'secret-1']}]}, null, 1));
	const settings = write('g.ini', '[process]\nvm = v\nzone = z\nregion = r\n[listen]\ncallers = 127.0.0.1:1\ncontrol = 127.0.0.1:2\nreadiness = 127.0.0.1:3\ndatagrams = 127.0.0.1:4\n'
		+ '[directory]\naddress = 127.0.0.1:5\n[limits]\nretry_ratio = 0\nretry_slack = 1\n');
	const found = await run(changed, '--against', old, '--settings', settings, '--json');
	expect(found.out).not.to.include('secret');
	const report = JSON.parse(found.out) as {files: number; findings: GroupedFinding[]; notes: GroupedFinding[]};
	expect([found.code, report.files, report.findings.map(({group, effect, key, line}) => [group, effect, key, line])]).to.deep.equal([1, 1, [
		['contradiction', undefined, 'routes.0.attempts', 11],
		['contradiction', undefined, 'routes.1.attempts', 21],
		['difference', 'refused', 'tenants.0', 42],
		['difference', 'limited', 'tenants.0', 42],
	]]);
	expect(report.notes.map(({effect, key}) => [effect, key])).to.deep.equal([['none', 'routes.0.attempts']]);
	const wrong = await Promise.all([run('examples/entry.ini', '--against', old), run(old, '--against', 'nowhere'), run(old, '--agianst', old), run()]);
	expect(wrong.map(({code, err}) => [code, err.trimEnd().split('\n').length])).to.deep.equal(wrong.map(() => [2, 1]));
});

it('guards against a comparison with a running process that misses what is in force there', async function () {
	this.timeout(60_000);
	const processes = new Processes();
	const store = new DirectoryStore();
	try {
		await store.start();
		store.put('op/config', valid);
		const gateway = await processes.startGateway(store);
		const address = gateway.controlUrl.replace('http://', '');
		const same = write('same.json', JSON.stringify(valid, null, 1));
		await waitFor('the configuration is in force', async () => {
			const {code} = await run(same, '--against', address);
			return code === 0;
		});
		const fewer = write('fewer.json', JSON.stringify({...valid, version: 3, routes: [route]}, null, 1));
		const found = await run(fewer, '--against', address);
		expect(found).to.deep.equal({code: 1, err: '', out: `${address}: route b: route "b" is removed: its calls are refused, since they match no route [refused]\n1 file, 1 finding, 0 notes\n`});
		const absent = await run(fewer, '--against', store.address);
		expect([absent.code, absent.out.includes('(process): cannot be asked for its configuration')]).to.deep.equal([1, true]);
	} finally {
		processes.stop();
		store.close();
	}
});
