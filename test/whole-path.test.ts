/** End-to-end tests over separate processes: calls through entry and agent to an upstream, with watched configuration and weights from the origin. */
import {randomBytes} from 'node:crypto';
import {expect} from 'chai';
import {digestOf} from '../src/ids/digest.ts';
import {expectedToken} from '../standins/engine.ts';
import {Fleet, getJson, waitFor} from './support/fleet.ts';

const weights = randomBytes(300_000);

async function startFleet(): Promise<Fleet> {
	const fleet = new Fleet();
	await fleet.start();
	const manifest = fleet.platform.addWeights('assistant', 'v1', weights, 65_536);
	fleet.platform.publish({
		'/models/assistant': {serve: 'v1', versions: {v1: {manifest}}},
		'/services/assistant': {kind: 'engine'},
		'/services/booking': {kind: 'plain', operations: {book: {repeatable: false}, status: {repeatable: true}}},
		'/teams/desk/routes/ask': {service: 'assistant', model: 'assistant'},
		'/teams/desk/routes/booking': {service: 'booking'},
	});
	return fleet;
}

it('a caller gets a streamed answer of the published version', async () => {
	const fleet = await startFleet();
	try {
		await fleet.engineAgent('vm-engine', 'assistant');
		const entry = await fleet.entry('vm-entry');
		await waitFor('the version is served', async () => JSON.stringify(await getJson(entry.control, '/dump')).includes('"version":"v1"'));
		const res = await fetch(`http://${entry.callers}/v1/generate/ask`, {
			method: 'POST', headers: {'x-workspace': 'desk'}, body: JSON.stringify({prompt: 'wheel is loose', max_tokens: 5}),
		});
		const text = await res.text();
		const lines = text.trim().split('\n').map(line => JSON.parse(line) as Record<string, unknown>);
		const expected = [0, 1, 2, 3, 4].map(seq => ({token: expectedToken(digestOf(weights), null, 'wheel is loose', seq)}));
		expect(lines).to.deep.equal([...expected, {done: true, tokens: 5, version: 'v1'}]);
		expect(res.headers.get('x-model-version')).to.equal('v1');
	} finally {
		await fleet.stop();
	}
});

it('a booking without a ticket does not run, and with one runs once', async () => {
	const fleet = await startFleet();
	try {
		await fleet.plainAgent('vm-booking', 'booking');
		const entry = await fleet.entry('vm-entry');
		const book = async (headers: Record<string, string>) => fetch(`http://${entry.callers}/v1/operations/booking/book`, {
			method: 'POST', headers: {'x-workspace': 'desk', ...headers}, body: JSON.stringify({booking: 'b1'}),
		});
		const refused = await book({});
		const {error} = await refused.json() as {error: {code: string; outcome: string; ticket: string}};
		expect([refused.status, error.code, error.outcome]).to.deep.equal([428, 'ticket_required', 'not_run']);
		expect(fleet.services[0]?.ledger.get('b1')).to.equal(undefined);
		const first = await book({'x-ticket': error.ticket});
		const second = await book({'x-ticket': error.ticket});
		expect(await first.json()).to.deep.equal({operation: 'book', booking: 'b1', run: 1});
		expect(await second.json()).to.deep.equal({operation: 'book', booking: 'b1', run: 1});
		expect(fleet.services[0]?.ledger.get('b1')).to.equal(1);
	} finally {
		await fleet.stop();
	}
});

it('a call that arrives before any upstream serves its version waits for one', async () => {
	const fleet = await startFleet();
	try {
		const entry = await fleet.entry('vm-entry', {limits: {queue_wait_ms: 20_000}});
		const answer = fetch(`http://${entry.callers}/v1/generate/ask`, {
			method: 'POST', headers: {'x-workspace': 'desk'}, body: JSON.stringify({prompt: 'early', max_tokens: 3}),
		});
		await fleet.engineAgent('vm-engine', 'assistant');
		const res = await answer;
		const text = await res.text();
		expect([res.status, text.trim().split('\n').at(-1)]).to.deep.equal([200, '{"done":true,"tokens":3,"version":"v1"}']);
	} finally {
		await fleet.stop();
	}
});
