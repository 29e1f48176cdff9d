/** Values that the platform publishes, in every form that its pages allow: the settings templates and the decoders accept them all. */
import {Buffer} from 'node:buffer';
import {readFileSync} from 'node:fs';
import {expect} from 'chai';
import {decodeItem} from '../platform/decode-published.ts';
import {gatewaySettingsSchema, stagerSettingsSchema} from '../src/settings/direct-settings.ts';
import {parseSettings} from '../src/settings/parse-settings.ts';

const places: Readonly<Record<string, string>> = {
	node: 'front-randstad-a-1',
	zone: 'randstad-a',
	region: 'randstad',
	ip: '10.1.0.40',
	'listen.front': '10.1.0.40:8005',
	'listen.control': '10.1.0.40:8000',
	'listen.ready': '10.1.0.40:8002',
	'internal_ports.0': '7700',
	seeds: '10.1.0.40:8000,10.2.0.37:8000',
	'platform.address': '10.200.1.7:8007',
	app: '10.1.0.40:8004',
	service: 'huvo11a',
};

const zones: Readonly<Record<string, string>> = {'randstad-a': 'randstad', 'twente-a': 'twente'};

/** Fills a settings template; `numberText` replaces every published number. */
function renderTemplate(file: string, numberText: string, zonePlaces = zones): string {
	const fillZones = (body: string) => Object.entries(zonePlaces).map(([zone, region]) => body.replace('{{@}}', zone).replace('{{.}}', region)).join('');
	const text = readFileSync(file, 'utf8').replaceAll(/{{#zones}}(.*?){{\/zones}}/gs, (_, body: string) => fillZones(body));
	return text.replaceAll(/{{([\w.]+)}}/g, (_, key: string) => places[key] ?? numberText);
}

const templates = [
	{file: 'deploy/gateway.ini.template', schema: gatewaySettingsSchema},
	{file: 'deploy/stager.ini.template', schema: stagerSettingsSchema},
] as const;

it('guards against processes that end at start because a bound is a fraction, an exponent or empty', () => {
	for (const {file, schema} of templates) {
		for (const numberText of ['8', '13.4', '37.833333333333336', '5.109999999999999', '1e-05', '2E3', '']) {
			const parsed = parseSettings<unknown>(renderTemplate(file, numberText), file, schema);
			expect(parsed.ok ? [] : parsed.findings, `${file} with ${numberText}`).to.deep.equal([]);
		}
	}
});

it('guards against limits that silently become something else: text, signs and a bound of 0 give a finding with line and key', () => {
	for (const numberText of ['true', '-1', '1,5', 'NaN', '1e999']) {
		const parsed = parseSettings<unknown>(renderTemplate('deploy/gateway.ini.template', numberText), 'g.ini', gatewaySettingsSchema);
		expect(parsed.ok ? [] : parsed.findings.map(({key}) => key), numberText).to.include('limits.retry_slack');
	}

	const parsed = parseSettings<unknown>(renderTemplate('deploy/gateway.ini.template', '0'), 'g.ini', gatewaySettingsSchema);
	expect(parsed.ok ? [] : parsed.findings.map(({key}) => key)).to.have.members(['limits.version_bound_ms', 'limits.retry_window_s', 'limits.grace_s', 'limits.evacuate_ms', 'limits.memory_mb', 'limits.max_descriptors']);
});

it('guards against zones without a region, or with one that is no ID: the regions of the template are read, and none where the platform gives none', () => {
	const parse = (regions: Readonly<Record<string, string>>) => parseSettings(renderTemplate('deploy/gateway.ini.template', '8', regions), 'g.ini', gatewaySettingsSchema);
	for (const regions of [zones, {}]) {
		const parsed = parse(regions);
		expect(parsed.ok && parsed.settings.zones).to.deep.equal(regions);
	}

	const parsed = parse({'randstad-a': 'no region'});
	expect(parsed.ok ? [] : parsed.findings.map(({key}) => key)).to.deep.equal(['zones.randstad-a']);
});

const encodeValue = (value: unknown) => Buffer.from(JSON.stringify(value)).toString('base64');

const route = {
	name: 'r', host: 'h.example', prefix: '/p/', kind: 'stream', timeout_ms: 600.5, goal_ms: 80.25, priority: 0, service: 's', attempts: 2, public: false, sticky: true, resumable: true, gap_target_ms: 60.5,
};
const engine = {
	slots: 8, stride: 5, models: [{
		name: 'm', pace: 1.5, load_s: 0.4, warmup_s: 0.3,
	}], step_ms: 13.3, per_seq_ms: 0.0582, context_per_k: 0.0341, read_per_s: 12_700.5, usual: {prompt: 1003.5, answer: 72.25}, layers: 16, chunks: 96, chunk_bytes: 24_576,
};
const configuration = {
	version: 7,
	routes: [route],
	services: [{name: 's', max_conns: 1332, engine}, {
		name: 'o', origin: '172.20.0.3:8606', link_mbps: 4.38, max_conns: 48,
	}],
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000.5, idle_timeout_ms: 15_000,
	},
	tenants: [{name: 't', api_keys: ['k'], priority: 1}],
};

it('guards against a configuration that is refused for a fraction, a null, an unknown key or one field of a kind not known here', () => {
	const variants = [
		configuration,
		{...configuration, extra: {deep: [1]}, tenants: null},
		{
			...configuration, routes: [{
				...route, priority: null, service: null, split: [{service: 's', weight: 0.5}], other: 1,
			}],
		},
		{
			...configuration, services: [{
				name: 's', max_conns: null, engine: null, origin: null, link_mbps: null,
			}],
		},
		{
			...configuration, services: [{
				name: 's', engine: {
					...engine, usual: null, chunks: null, models: null, layers: null,
				},
			}],
		},
	];
	for (const [index, value] of variants.entries()) {
		const change = decodeItem('op/config', encodeValue(value));
		expect(change.kind === 'unreadable' ? change.reason : change.kind, `variant ${index}`).to.equal('configuration');
	}
});

it('guards against a worker that is lost for a fraction, an absent optional field or an unknown key in its entry', () => {
	const entry = {
		service: 's', address: '10.0.0.1:80', zone: 'z', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 12.5, models: [{name: 'm', version: 1, adapters: []}], layers: {from: 0, to: 16, version: 1}, sequence: 3, born: 5,
	};
	const variants = [entry, {...entry, cold_left_ms: undefined, born: undefined}, {...entry, models: undefined, layers: null}, {...entry, other: {x: 1}}];
	for (const [index, value] of variants.entries()) {
		expect(decodeItem('servers/i-1', encodeValue(value)).kind, `variant ${index}`).to.equal('instance');
	}
});
