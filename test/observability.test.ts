/** Tests of what operators observe: call metrics, the request id in all log lines of a call, rollout progress by zone, and readiness. */
import {spawn} from 'node:child_process';
import {randomBytes} from 'node:crypto';
import path from 'node:path';
import process from 'node:process';
import {expect} from 'chai';
import {summarizeRollout} from '../src/reports/rollout-overview.ts';
import {Fleet, getJson, waitFor} from './support/fleet.ts';

type LogLine = {event?: string; request_id?: string; workspace?: string; code?: string};

it('metrics count calls by outcome, and every line of a call has its request id and workspace', async () => {
	const fleet = new Fleet();
	try {
		await fleet.start();
		const manifest = fleet.platform.addWeights('assistant', 'v1', randomBytes(100_000), 20_000);
		fleet.platform.publish({
			'/models/assistant': {serve: 'v1', versions: {v1: {manifest}}},
			'/services/assistant': {kind: 'engine'},
			'/services/booking': {kind: 'plain', operations: {book: {repeatable: false}}},
			'/teams/desk/routes/ask': {service: 'assistant', model: 'assistant'},
			'/teams/desk/routes/booking': {service: 'booking'},
		});
		// Tokens that arrive in one read have no time between them, so the engine leaves 100 ms between two.
		const agent = await fleet.engineAgent('vm-engine', 'assistant', {tokenMs: 100});
		const entry = await fleet.entry('vm-entry');
		await waitFor('the version is served', async () => JSON.stringify(await getJson(entry.control, '/dump')).includes('"version":"v1"'));
		const post = async (resource: string, body: unknown) => fetch(`http://${entry.callers}${resource}`, {
			method: 'POST', headers: {'x-workspace': 'desk'}, body: JSON.stringify(body),
		});
		const answered = await post('/v1/generate/ask', {prompt: 'p', max_tokens: 4});
		await answered.text();
		const refused = await post('/v1/operations/booking/book', {booking: 'b'});
		await refused.text();
		const res = await fetch(`http://${entry.control}/metrics`);
		const metrics = await res.text();
		expect(metrics).to.include('cactusreach_calls_total{outcome="answered"} 1').and.include('cactusreach_calls_total{outcome="not_run"} 1');
		for (const name of ['first_token_ms', 'between_tokens_ms', 'event_loop_delay_ms']) {
			const line = new RegExp(`^cactusreach_${name}{quantile="0.99"} (.*)$`, 'm').exec(metrics);
			expect(Number(line?.[1]), name).to.be.at.least(name === 'event_loop_delay_ms' ? 0 : 0.001);
		}

		// Log lines are written in batches, so this one may be delayed.
		await waitFor('the refusal is logged', () => entry.log.some(text => text.includes('"call_refused"')));
		const lines = entry.log.filter(text => text.startsWith('{')).map(text => JSON.parse(text) as LogLine);
		const ofCall = lines.filter(line => line.event === 'call_refused');
		expect(ofCall.map(line => [line.request_id, line.workspace])).to.deep.equal([[refused.headers.get('x-request-id'), 'desk']]);
		expect(await runDump(agent.control, '--rollout')).to.include('assistant v1 in zone-a: served by 1 of 1, 5 of 5 chunks');
	} finally {
		await fleet.stop();
	}
});

/** Guards against load balancers that continue to send calls to a draining entry. */
it('a draining entry is healthy but not ready', async () => {
	const fleet = new Fleet();
	try {
		await fleet.start();
		fleet.platform.publish({'/services/assistant': {kind: 'engine'}});
		const entry = await fleet.entry('vm-entry', {limits: {drain_notice_ms: 60_000}});
		entry.child.kill('SIGTERM');
		await waitFor('readiness is off', async () => {
			const state = await getJson(entry.control, '/readyz');
			return state?.ready === false;
		});
		expect(await getJson(entry.control, '/healthz')).to.deep.equal({healthy: true});
		expect(await getJson(entry.control, '/dump?part=draining')).to.deep.equal({draining: true});
	} finally {
		await fleet.stop();
	}
});

it('rollout progress counts silent agents of a zone and leaves out plain services', () => {
	const served = [{model: 'm', version: 'v2'}];
	const state = (held: number, total: number, serving = false) => ({report: {served: serving ? served : []}, rollout: [{...served[0] as {model: string; version: string}, held, total}]});
	const engine = {services: ['ask']};
	const progress = summarizeRollout([
		{...engine, zone: 'a', state: state(4, 4, true)},
		{...engine, zone: 'a', state: state(0, 0)},
		{...engine, zone: 'b', state: undefined},
		{services: ['book'], zone: 'a', state: {report: {served: []}, rollout: []}},
	]);
	expect(progress).to.deep.equal([
		{
			zone: 'a', model: 'm', version: 'v2', serving: 1, agents: 2, silent: 0, heldChunks: 4, neededChunks: 8,
		},
		{
			zone: 'b', model: 'm', version: 'v2', serving: 0, agents: 1, silent: 1, heldChunks: 0, neededChunks: 4,
		},
	]);
});

async function runDump(...args: string[]): Promise<string> {
	const child = spawn(process.execPath, [path.join(import.meta.dirname, '../dist/cactusreach.cjs'), 'dump', ...args], {stdio: ['ignore', 'pipe', 'inherit']});
	let out = '';
	child.stdout.setEncoding('utf8').on('data', (text: string) => {
		out += text;
	});
	await new Promise(resolve => {
		child.once('close', resolve);
	});
	return out;
}
