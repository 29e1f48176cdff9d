/** Overload across separate processes: calls that are shed do not run, and callers are told so. */
import {expect} from 'chai';
import {Fleet, getJson} from './support/fleet.ts';

type Answer = {status: number; retryAfter: string | null; body: {error?: {code: string; outcome: string}; ticket?: string}};

it('calls over the capacity are shed before they run, with a retry-after time', async () => {
	const fleet = new Fleet();
	await fleet.start();
	try {
		fleet.platform.publish({
			'/services/booking': {kind: 'plain', operations: {book: {repeatable: false}, status: {repeatable: true}}},
			'/teams/desk/routes/booking': {service: 'booking'},
		});
		await fleet.plainAgent('vm-booking', 'booking', 300, {upstream: {capacity: 2}});
		const entry = await fleet.entry('vm-entry', {limits: {queue_wait_ms: 100}});
		const post = async (path: string, body: unknown, headers: Record<string, string> = {}): Promise<Answer> => {
			const res = await fetch(`http://${entry.callers}${path}`, {method: 'POST', headers: {'x-workspace': 'desk', ...headers}, body: JSON.stringify(body)});
			return {status: res.status, retryAfter: res.headers.get('retry-after'), body: await res.json() as Answer['body']};
		};

		const statusAnswers = await Promise.all(Array.from({length: 30}, async (item, index) => post('/v1/operations/booking/status', {booking: `s${index}`})));
		const tickets = await Promise.all(Array.from({length: 30}, async () => post('/v1/tickets/booking', {})));
		const bookAnswers = await Promise.all(tickets.map(async ({body}, index) =>
			post('/v1/operations/booking/book', {booking: `b${index}`}, {'x-ticket': body.ticket ?? ''})));
		for (const [prefix, answers, outcome] of [['s', statusAnswers, 'not_run'], ['b', bookAnswers, 'unknown']] as const) {
			expect(answers.filter(answer => answer.status === 200), 'answered').to.not.be.empty;
			expect(answers.filter(answer => answer.status === 503), 'shed').to.not.be.empty;
			for (const [index, answer] of answers.entries()) {
				const runCount = fleet.services[0]?.ledger.get(`${prefix}${index}`) ?? 0;
				expect(runCount).to.equal(answer.status === 200 ? 1 : 0);
				if (answer.status !== 200) {
					expect(answer.body.error).to.include({code: 'overloaded', outcome});
					expect(Number(answer.retryAfter)).to.be.within(1, 10);
				}
			}
		}

		const dump = await getJson(entry.control, '/dump') as {admission: {booking: {running: number; waiting: number}}; routing: {inFlight: unknown}};
		expect([dump.admission.booking.running, dump.admission.booking.waiting, dump.routing.inFlight]).to.deep.equal([0, 0, {}]);
	} finally {
		await fleet.stop();
	}
});
