/** Callers of a soak, each with a kept connection to one gateway, which use it until the gateway's process is gone. */
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {RandomSource} from '../src/runtime/random-source.ts';
import {callHeaders} from '../standins/store-entries.ts';
import {eventText, plainText} from '../standins/worker-answers.ts';
import {
	type CallKind, type CallRecord, type Evidence, nowMs, unendedError,
} from './soak-evidence.ts';
import type {Gateway} from './soak-fleet.ts';

/** Time after which a caller gives up a call, in milliseconds; longer than the timeout of a route and the longest pause of a process. */
const patienceMs = 15_000;

/** Time between calls, and after a call that was not answered, in milliseconds. */
const thinkMs = 15;
const returnMs = 100;

const eventGapMs = 60;

/** What a caller asks for, and how it finds out what is wrong with the answer. */
type Request = {readonly target: string; readonly check: (text: string) => string | undefined};

const requests: Readonly<Record<CallKind, (id: string, random: RandomSource) => Request>> = {
	stream(id, random) {
		const events = 4 + random.nextInt(25);
		return {target: `/stream/x?events=${events}&gap=${eventGapMs}`, check: text => checkStream(id, events, text)};
	},
	once: plainRequest('once'),
	repeatable: plainRequest('repeatable'),
};

const kinds: readonly CallKind[] = ['stream', 'stream', 'once', 'repeatable'];

function plainRequest(kind: CallKind) {
	return (id: string, random: RandomSource): Request => {
		const bytes = random.nextInt(3000);
		return {
			target: `/${kind}/x?bytes=${bytes}&after=${random.nextInt(200)}`,
			check: text => (text === plainText(id, bytes) ? undefined : `${text.length} bytes that begin with ${JSON.stringify(text.slice(0, 60))}`),
		};
	};
}

/** Returns what is wrong with a stream: it has to have every event once, all of one version. */
function checkStream(id: string, events: number, text: string): string | undefined {
	const isOf = (version: number) => text === Array.from({length: events}, (_, at) => eventText(id, at + 1, version)).join('');
	return isOf(1) || isOf(2) ? undefined : `${events} events asked for, got ${JSON.stringify(text.slice(-200))}`;
}

/** The callers of one run. */
export class Callers {
	private isStopped = false;
	private readonly running: Array<Promise<void>> = [];

	constructor(private readonly seed: number, private readonly evidence: Evidence) {}

	/** Starts callers of a gateway. */
	start(gateway: Gateway, count: number): void {
		for (let at = 0; at < count; at++) {
			this.running.push(this.run(gateway, this.running.length, kinds[at % kinds.length]!));
		}
	}

	/** Sends no further calls and waits for the answers of those under way. */
	async stop(): Promise<void> {
		this.isStopped = true;
		await Promise.all(this.running);
	}

	private async run(gateway: Gateway, number: number, kind: CallKind): Promise<void> {
		const agent = new http.Agent({keepAlive: true, maxSockets: 1});
		const random = new RandomSource(this.seed + number);
		for (let at = 0; !this.isStopped; at++) {
			const id = `c${number}-${at}`;
			const request = requests[kind](id, random);
			const call = this.evidence.addCall({
				id, kind, gateway: gateway.name, run: gateway.process.starts,
			});
			await send(gateway, agent, call, request);
			call.endedAtMs = nowMs();
			await sleep(call.status === 200 ? thinkMs : returnMs);
		}

		agent.destroy();
	}
}

/** Sends one call and records its answer. */
async function send({url}: Gateway, agent: http.Agent, call: CallRecord, {target, check}: Request): Promise<void> {
	return new Promise(resolve => {
		const fail = (err: Error) => {
			call.error ??= err.message;
			resolve();
		};

		const req = http.request(`${url}${target}`, {agent, method: 'POST', headers: callHeaders(call.id, call.kind === 'stream')}, res => {
			let text = '';
			call.status = res.statusCode!;
			res.setEncoding('utf8').on('data', (part: string) => {
				text += part;
			});
			res.on('end', () => {
				call.isComplete = res.complete;
				call.wrong = res.complete && res.statusCode === 200 ? check(text) : undefined;
				resolve();
			});
			res.on('error', fail);
		});
		req.setTimeout(patienceMs, () => {
			// The response, if it has begun, only reports that it was aborted.
			call.error = unendedError;
			req.destroy();
		});
		req.on('error', fail);
		req.end('b');
	});
}
