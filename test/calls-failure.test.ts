/** Calls under failures, with separate processes. The run counts in the ledger of the plain service stand-in decide what is correct. */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {decodeTicket, encodeTicket} from '../src/calls/ticket.ts';
import {digestOf} from '../src/ids/digest.ts';
import type {CallRequest} from '../src/messages/call-request.ts';
import {formatAddress} from '../src/links/http-listener.ts';
import {expectedToken} from '../standins/engine.ts';
import {PlainServiceStandin} from '../standins/plain-service.ts';
import {bookingCall} from './support/call-samples.ts';
import {
	endProcess, Fleet, type FleetProcess, getJson, waitFor,
} from './support/fleet.ts';
import {TcpRelay} from './support/tcp-relay.ts';

const weights = randomBytes(50_000);

type Answer = {status: number; body: {error?: {code: string; outcome: string; ticket?: string}; run?: number}};

/** Runs a test with a fleet whose platform publishes one model and two plain services. */
async function withFleet(test: (fleet: Fleet) => Promise<void>): Promise<void> {
	const fleet = new Fleet();
	try {
		await fleet.start();
		const manifest = fleet.platform.addWeights('assistant', 'v1', weights, 65_536);
		const operations = {book: {repeatable: false}, status: {repeatable: true}};
		fleet.platform.publish({
			'/models/assistant': {serve: 'v1', versions: {v1: {manifest}}},
			'/services/assistant': {kind: 'engine'},
			'/services/booking': {kind: 'plain', operations},
			'/services/stock': {kind: 'plain', operations},
			'/teams/desk/routes/ask': {service: 'assistant', model: 'assistant'},
			'/teams/desk/routes/booking': {service: 'booking'},
		});
		await test(fleet);
	} finally {
		await fleet.stop();
	}
}

async function post(entry: FleetProcess, path: string, headers: Record<string, string>, body: unknown): Promise<Answer> {
	const res = await fetch(`http://${entry.callers}/v1/${path}`, {
		method: 'POST', headers: {'x-workspace': 'desk', connection: 'close', ...headers}, body: JSON.stringify(body),
	});
	return {status: res.status, body: await res.json() as Answer['body']};
}

/** Returns undefined if the function throws, as it does when the connection breaks. */
async function undefinedOnError<Result>(act: () => Promise<Result>): Promise<Result | undefined> {
	try {
		return await act();
	} catch {
		return undefined;
	}
}

async function book(entry: FleetProcess, ticket: string, booking: string, deadlineMs = 20_000): Promise<Answer> {
	return post(entry, 'operations/booking/book', {'x-ticket': ticket, 'x-deadline-ms': String(deadlineMs)}, {booking});
}

/** Requests tickets until the entry has discovered an agent of the service and issues one. */
async function waitForTicket(entry: FleetProcess): Promise<string> {
	let ticket: string | undefined;
	await waitFor('a ticket is given', async () => {
		const {body} = await post(entry, 'operations/booking/book', {}, {booking: 'none'});
		ticket = body.error?.ticket;
		return ticket !== undefined;
	});
	return ticket ?? '';
}

/** Returns the number of runs of the booking that its answer reports. */
async function runCountOf(answer: Promise<Answer>): Promise<number | undefined> {
	const {body} = await answer;
	return body.run;
}

function codeAndOutcomeOf({body}: Answer): Array<string | undefined> {
	return [body.error?.code, body.error?.outcome];
}

async function readReport({control}: FleetProcess): Promise<{incarnation: string; clockMs: number}> {
	const res = await fetch(`http://${control}/rpc`, {
		method: 'POST', body: JSON.stringify({
			jsonrpc: '2.0', id: 1, method: 'agent.report', params: {},
		}),
	});
	const {result} = await res.json() as {result: {incarnation: string; clockMs: number}};
	return result;
}

/** A request to an agent whose bytes the test sends in parts. */
class RawRequest {
	readonly answer: Promise<string>;
	private readonly socket: net.Socket;

	constructor(agent: FleetProcess, private readonly body: string) {
		const {port, hostname} = new URL(`http://${agent.control}`);
		this.socket = net.connect(Number(port), hostname);
		this.socket.write(`POST /calls HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: ${body.length}\r\n\r\n`);
		this.answer = new Promise(resolve => {
			let text = '';
			this.socket.on('data', part => {
				text += part.toString('utf8');
			}).once('close', () => {
				resolve(text);
			});
		});
	}

	send(from: number, to?: number): void {
		this.socket.write(this.body.slice(from, to));
	}
}

async function waitForRun(fleet: Fleet, booking: string): Promise<void> {
	await waitFor(`${booking} runs`, () => fleet.services[0]?.ledger.get(booking) === 1);
}

/** Blocks the runs of the first service until the returned function is called. */
function blockRuns(fleet: Fleet): () => void {
	let release: () => void = () => undefined;
	const gate = new Promise<void>(resolve => {
		release = resolve;
	});
	const [service] = fleet.services;
	if (service) {
		service.responseGate = gate;
	}

	return release;
}

/** Starts a TCP relay between the entries and an agent. */
async function startRelay(fleet: Fleet, agent: FleetProcess): Promise<TcpRelay> {
	const relay = new TcpRelay(agent.control);
	fleet.setVmAddress(agent.vm, await relay.start());
	return relay;
}

async function isUnready({control}: FleetProcess): Promise<boolean> {
	const answer = await getJson(control, '/readyz');
	return answer?.ready === false;
}

async function waitForVersion(entry: FleetProcess, agents = 1): Promise<void> {
	await waitFor('the version is served', async () => {
		const text = JSON.stringify(await getJson(entry.control, '/dump'));
		return text.split('"version":"v1"').length > agents;
	});
}

async function generate(entry: FleetProcess, tokens: number, onPart: (text: string) => void = () => undefined): Promise<string> {
	const res = await fetch(`http://${entry.callers}/v1/generate/ask`, {
		method: 'POST', headers: {'x-workspace': 'desk'}, body: JSON.stringify({prompt: 'p', max_tokens: tokens}),
	});
	let text = '';
	for await (const part of res.body ?? []) {
		text += Buffer.from(part as Uint8Array).toString('utf8');
		onPart(text);
	}

	return text;
}

function completeText(tokens: number): string {
	const lines = Array.from({length: tokens}, (_, seq) => JSON.stringify({token: expectedToken(digestOf(weights), null, 'p', seq)}));
	return `${[...lines, JSON.stringify({done: true, tokens, version: 'v1'})].join('\n')}\n`;
}

// Guards against a second booking when a caller's entry dies and the caller retries through another entry.
it('an entry killed during a booking: the retry through another entry gets the answer of the only run', async () => {
	await withFleet(async fleet => {
		await fleet.plainAgent('vm-booking', 'booking');
		const release = blockRuns(fleet);
		const [first, second] = await Promise.all([fleet.entry('vm-entry1'), fleet.entry('vm-entry2')]);
		const ticket = await waitForTicket(first);
		const lost = undefinedOnError(async () => book(first, ticket, 'b1'));
		await waitForRun(fleet, 'b1');
		await endProcess(first.child);
		expect(await lost).to.equal(undefined);
		const repeated = book(second, ticket, 'b1');
		release();
		expect(await runCountOf(repeated)).to.equal(1);
		expect(fleet.services[0]?.ledger.get('b1')).to.equal(1);
	});
});

// Guards against a new incarnation that treats an old ticket as one that has not run.
it('an agent killed and replaced during a booking: unknown, and no second run', async () => {
	await withFleet(async fleet => {
		const service = new PlainServiceStandin({runMs: 1});
		fleet.services.push(service);
		const upstream = {kind: 'plain', service: 'booking', address: `http://${formatAddress(await service.start({host: '127.0.0.1', port: 0}))}`};
		const agent = await fleet.agent('vm-booking', upstream);
		blockRuns(fleet);
		const entry = await fleet.entry('vm-entry');
		const ticket = await waitForTicket(entry);
		const broken = book(entry, ticket, 'b1');
		await waitForRun(fleet, 'b1');
		await endProcess(agent.child);
		expect(codeAndOutcomeOf(await broken)).to.deep.equal(['outcome_unknown', 'unknown']);
		expect(codeAndOutcomeOf(await book(entry, ticket, 'b2'))).to.deep.equal(['outcome_unknown', 'unknown']);
		await fleet.agent('vm-booking', upstream, {listen: {control: agent.control}});
		expect(codeAndOutcomeOf(await book(entry, ticket, 'b1'))).to.deep.equal(['outcome_unknown', 'unknown']);
		expect([...service.ledger]).to.deep.equal([['b1', 1]]);
	});
});

// Guards against a process that forwards a call after its deadline because it was stopped in the meantime.
it('an agent stopped before it forwards refuses the expired calls after it is resumed', async () => {
	await withFleet(async fleet => {
		const agent = await fleet.plainAgent('vm-booking', 'booking');
		const entry = await fleet.entry('vm-entry');
		const ticket = await waitForTicket(entry);
		const report = await readReport(agent);
		const call = (booking: string, change: Partial<CallRequest>) => JSON.stringify(bookingCall({
			attempt: booking, remainingMs: 1000, work: {kind: 'operation', operation: 'status', body: {booking}}, ...change,
		}));
		// One request is partly received before the stop; the other waits complete in a socket buffer of the stopped process.
		const partialRequest = new RawRequest(agent, call('b1', {}));
		partialRequest.send(0, 50);
		await getJson(agent.control, '/healthz');
		await sleep(200);
		agent.child.kill('SIGSTOP');
		partialRequest.send(50);
		const bufferedRequest = new RawRequest(agent, call('b2', {
			remainingMs: 60_000, agentDeadline: {incarnation: report.incarnation, atMs: report.clockMs + 1000},
		}));
		bufferedRequest.send(0);
		const [answer] = await Promise.all([book(entry, ticket, 'b3', 1500), sleep(1300)]);
		expect(answer.body.error?.outcome).to.equal('unknown');
		agent.child.kill('SIGCONT');
		expect(await partialRequest.answer).to.contain('"code":"expired"');
		expect(await bufferedRequest.answer).to.contain('"code":"expired"');
		expect([...fleet.services[0]?.ledger ?? []]).to.deep.equal([]);
	});
});

// Guards against "not run" or a second run when the service ran the booking but its answer was lost.
it('an answer lost after the run: unknown, and no second run', async () => {
	await withFleet(async fleet => {
		await fleet.plainAgent('vm-booking', 'booking');
		const entry = await fleet.entry('vm-entry');
		const ticket = await waitForTicket(entry);
		for (const service of fleet.services) {
			service.dropResponses = true;
		}

		expect(codeAndOutcomeOf(await book(entry, ticket, 'b1'))).to.deep.equal(['outcome_unknown', 'unknown']);
		expect(codeAndOutcomeOf(await book(entry, ticket, 'b1'))).to.deep.equal(['outcome_unknown', 'unknown']);
		expect(fleet.services[0]?.ledger.get('b1')).to.equal(1);
	});
});

// Guards against a retry by the HTTP library, and against giving up on a booking that still runs, when a connection breaks or goes silent.
it('a connection cut or silent during a booking: the answer arrives over a fresh connection, with one run', async () => {
	await withFleet(async fleet => {
		const agent = await fleet.plainAgent('vm-booking', 'booking');
		const relay = await startRelay(fleet, agent);
		const entry = await fleet.entry('vm-entry');
		for (const [booking, fault] of [['b1', 'resetConnections'], ['b2', 'stallConnections']] as const) {
			const ticket = await waitForTicket(entry);
			const release = blockRuns(fleet);
			const answer = book(entry, ticket, booking);
			await waitForRun(fleet, booking);
			const cancelsBefore = relay.cancelRequests;
			relay[fault]();
			await waitFor('the entry has asked over a fresh connection', () => relay.cancelRequests > cancelsBefore);
			release();
			expect(await runCountOf(answer)).to.equal(1);
			expect(fleet.services[0]?.ledger.get(booking)).to.equal(1);
		}

		relay.stop();
	});
});

// Guards against a ticket that runs at the old service, or gets "not run" after it ran, when its route or operation changes.
it('a route moved to another service: finished tickets keep their answer, others do not run', async () => {
	await withFleet(async fleet => {
		await fleet.plainAgent('vm-booking', 'booking');
		await fleet.plainAgent('vm-stock', 'stock');
		const entry = await fleet.entry('vm-entry');
		const [used, unused, unseen] = [await waitForTicket(entry), await waitForTicket(entry), await waitForTicket(entry)];
		expect(await runCountOf(book(entry, used, 'b1'))).to.equal(1);
		const publish = async (documents: Record<string, unknown>) => {
			fleet.platform.publish(documents);
			await waitFor('the change is in force', async () => {
				const dump = await getJson(entry.control, '/dump') as {configuration?: {revision: number}};
				return dump.configuration?.revision === fleet.platform.publishedRevision;
			});
		};

		await publish({'/teams/desk/routes/booking': {service: 'stock'}});
		expect(await runCountOf(book(entry, used, 'b1'))).to.equal(1);
		expect(codeAndOutcomeOf(await book(entry, unused, 'b2'))).to.deep.equal(['cancelled', 'not_run']);
		await publish({'/teams/desk/routes/booking': null});
		expect(await runCountOf(book(entry, used, 'b1'))).to.equal(1);
		expect(codeAndOutcomeOf(await book(entry, unseen, 'b3'))).to.deep.equal(['cancelled', 'not_run']);
		expect(fleet.services.map(({ledger}) => [...ledger])).to.deep.equal([[['b1', 1]], []]);
	});
});

// Guards against a full table that evicts a finished booking, and against "not run" for a ticket that could still run.
it('a full table and a foreign incarnation: unknown, and the records stay', async () => {
	await withFleet(async fleet => {
		await fleet.plainAgent('vm-booking', 'booking', 1, {limits: {call_records: 1}});
		const entry = await fleet.entry('vm-entry');
		const [first, second] = [await waitForTicket(entry), await waitForTicket(entry)];
		await book(entry, first, 'b1');
		expect(codeAndOutcomeOf(await book(entry, second, 'b2'))).to.deep.equal(['table_full', 'unknown']);
		expect(await runCountOf(book(entry, first, 'b1'))).to.equal(1);
		expect(codeAndOutcomeOf(await book(entry, first, 'other'))).to.deep.equal(['ticket_mismatch', 'unknown']);
		const decoded = decodeTicket(second);
		const foreign = decoded ? encodeTicket({...decoded, incarnation: 'earlier'}) : '';
		expect(codeAndOutcomeOf(await book(entry, foreign, 'b3'))).to.deep.equal(['outcome_unknown', 'unknown']);
		const unlistedVm = decoded ? encodeTicket({...decoded, vm: 'vm-unlisted'}) : '';
		expect(codeAndOutcomeOf(await book(entry, unlistedVm, 'b4'))).to.deep.equal(['outcome_unknown', 'unknown']);
		expect([...fleet.services[0]?.ledger ?? []]).to.deep.equal([['b1', 1]]);
	});
});

// Guards against lost, repeated or mixed-version tokens when an agent dies, a connection goes silent or an engine changes versions (H1, H2).
it('a stream resumes completely and on the same version after a killed agent, a silent connection and a version mix', async () => {
	await withFleet(async fleet => {
		const agents: FleetProcess[] = [];
		for (const vm of ['vm-a', 'vm-b', 'vm-c']) {
			agents.push(await fleet.engineAgent(vm, 'assistant', {tokenMs: 5}));
		}

		const relays: TcpRelay[] = [];
		for (const agent of agents) {
			relays.push(await startRelay(fleet, agent));
		}

		const entry = await fleet.entry('vm-entry');
		await waitForVersion(entry, 3);
		const once = (act: () => void) => {
			let done = false;
			return (text: string) => {
				if (!done && text.split('\n').length > 20) {
					done = true;
					act();
				}
			};
		};

		expect(await generate(entry, 100, once(() => {
			for (const relay of relays) {
				relay.stallConnections();
			}
		}))).to.equal(completeText(100));
		let nextEngine = 0;
		await waitFor('a mixing engine was asked', async () => {
			const engine = fleet.engines[nextEngine++ % fleet.engines.length];
			const before = engine?.generationCount ?? 0;
			if (!engine) {
				return false;
			}

			engine.wrongVersionFromSeq = 10;
			expect(await generate(entry, 30)).to.equal(completeText(30));
			engine.wrongVersionFromSeq = Infinity;
			return engine.generationCount > before;
		});
		const started = fleet.engines.map(engine => engine.generationCount);
		let agentExit: Promise<void> | undefined;
		expect(await generate(entry, 100, once(() => {
			const index = fleet.engines.findLastIndex((engine, at) => engine.generationCount > (started[at] ?? 0));
			const agent = agents[index];
			agentExit = agent && endProcess(agent.child);
		}))).to.equal(completeText(100));
		await agentExit;
		expect(agents.filter(({child}) => child.signalCode === 'SIGKILL')).to.have.length(1);
		for (const relay of relays) {
			relay.stop();
		}
	});
});

// Guards against a graceful shutdown that cuts a call, and against new calls at a process that is draining (H3, H5, H6).
it('SIGTERM of agent and entry during calls: running calls are answered, new calls are refused', async () => {
	await withFleet(async fleet => {
		const agent = await fleet.plainAgent('vm-booking', 'booking');
		const entry = await fleet.entry('vm-entry', {limits: {drain_notice_ms: 300}});
		const [done, running, fresh] = [await waitForTicket(entry), await waitForTicket(entry), await waitForTicket(entry)];
		expect(await runCountOf(book(entry, done, 'b0'))).to.equal(1);
		const release = blockRuns(fleet);
		const answer = book(entry, running, 'b1');
		await waitForRun(fleet, 'b1');
		agent.child.kill('SIGTERM');
		await waitFor('the agent is not ready', async () => isUnready(agent));
		expect(codeAndOutcomeOf(await book(entry, fresh, 'b2'))).to.deep.equal(['draining', 'not_run']);
		expect(await runCountOf(book(entry, done, 'b0'))).to.equal(1);
		entry.child.kill('SIGTERM');
		await waitFor('the entry refuses', async () => {
			const refused = await undefinedOnError(async () => post(entry, 'operations/booking/status', {}, {booking: 'b3'}));
			return refused !== undefined && codeAndOutcomeOf(refused).join(' ') === 'draining not_run';
		});
		expect(codeAndOutcomeOf(await book(entry, running, 'b1'))).to.deep.equal(['draining', 'unknown']);
		release();
		expect(await runCountOf(answer)).to.equal(1);
		await waitFor('both have ended', () => entry.child.exitCode === 0 && agent.child.exitCode === 0);
		expect([...fleet.services[0]?.ledger ?? []]).to.deep.equal([['b0', 1], ['b1', 1]]);
	});
});
