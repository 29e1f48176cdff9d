/** The demo's callers: they send generations, lookups and bookings without pause and check every answer. */
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {expectedToken} from '../../standins/engine.ts';

/** Callers of each kind per entry. */
const generationCallersPerEntry = 4;

/** Tokens of one generation. */
const tokensPerGeneration = 12;

/** Pause of a caller between two calls, in milliseconds. */
const pauseMs = 20;

/** How often a caller repeats a call that may be repeated. */
const maxAttempts = 8;

/** Deadline that callers name, in milliseconds. */
const deadlineMs = 5000;

/** What the callers saw. */
export type CallerCounts = {
	/** Whole and correct generations by version. */
	readonly servedByVersion: Map<string, number>;
	/** Answered lookups. */
	lookups: number;
	/** Tickets that got an answer, by booking. */
	readonly booked: Set<string>;
	/** Bookings whose outcome stayed unknown. */
	readonly unknown: Set<string>;
	/** Answers with wrong content. */
	wrong: number;
	/** Idempotent calls without an answer after all tries. */
	lost: number;
	/** Idempotent calls that a caller had to send again. */
	repeated: number;
};

type Answer = {readonly status: number; readonly text: string};

type CallerErrorBody = {error?: {outcome?: string; ticket?: string}; ticket?: string};

/** Calls the entries. */
export class DemoCallers {
	readonly counts: CallerCounts = {
		servedByVersion: new Map(), lookups: 0, booked: new Set(), unknown: new Set(), wrong: 0, lost: 0, repeated: 0,
	};

	private isRunning = true;
	private callCount = 0;
	private loops: Array<Promise<void>> = [];

	/** @param weightsByVersion - digest over the weights, by version; proves which weights made an answer */
	constructor(private readonly weightsByVersion: ReadonlyMap<string, string>) {}

	/**
	 * Starts the callers of one entry.
	 *
	 * @param address - the entry's callers' address
	 */
	start(address: string): void {
		const callFunctions = [...Array.from({length: generationCallersPerEntry}, () => this.generate), this.lookUp, this.book];
		this.loops.push(...callFunctions.map(async call => {
			while (this.isRunning) {
				await call.call(this, address, `call-${this.callCount++}`);
				await sleep(pauseMs);
			}
		}));
	}

	/** Stops the callers and waits for the open calls. */
	async stop(): Promise<void> {
		this.isRunning = false;
		await Promise.all(this.loops);
		this.loops = [];
	}

	private async generate(address: string, prompt: string): Promise<void> {
		const answer = await this.retryUntilComplete(async () => post(address, '/v1/generate/ask', {prompt, max_tokens: tokensPerGeneration}), isCompleteGeneration);
		if (!answer) {
			return;
		}

		const lines = answer.text.trim().split('\n').map(line => JSON.parse(line) as {token?: string; version?: string});
		const version = lines.pop()?.version ?? '';
		const weights = this.weightsByVersion.get(version) ?? '';
		const isCorrect = lines.length === tokensPerGeneration && lines.every(({token}, seq) => token === expectedToken(weights, null, prompt, seq));
		if (isCorrect) {
			this.counts.servedByVersion.set(version, (this.counts.servedByVersion.get(version) ?? 0) + 1);
		} else {
			this.counts.wrong++;
		}
	}

	private async lookUp(address: string, query: string): Promise<void> {
		const answer = await this.retryUntilComplete(async () => post(address, '/v1/operations/booking/status', {query}), ({status}) => status === 200);
		if (!answer) {
			return;
		}

		if ((JSON.parse(answer.text) as {query?: string}).query === query) {
			this.counts.lookups++;
		} else {
			this.counts.wrong++;
		}
	}

	private async book(address: string, booking: string): Promise<void> {
		let ticket: string | undefined;
		for (let tries = 0; tries < maxAttempts; tries++) {
			ticket ??= await requestTicket(address);
			const answer = ticket === undefined ? undefined : await postOrUndefined(address, '/v1/operations/booking/book', {booking}, {'x-ticket': ticket});
			if (answer?.status === 200) {
				this.checkBooking(answer, booking);
				return;
			}

			// Only "not run" frees the caller to take a new ticket; everything else is repeated with the same one.
			if (answer && parseErrorBody(answer).error?.outcome === 'not_run') {
				ticket = undefined;
			}

			await sleep(pauseMs * (tries + 1));
		}

		this.counts.unknown.add(booking);
	}

	private checkBooking(answer: Answer, booking: string): void {
		const body = JSON.parse(answer.text) as {booking?: string; run?: number};
		if (body.booking === booking && body.run === 1) {
			this.counts.booked.add(booking);
		} else {
			this.counts.wrong++;
		}
	}

	private async retryUntilComplete(send: () => Promise<Answer>, isComplete: (answer: Answer) => boolean): Promise<Answer | undefined> {
		for (let tries = 0; tries < maxAttempts; tries++) {
			try {
				const answer = await send();
				if (isComplete(answer)) {
					return answer;
				}
			} catch {
				// The connection broke; the call may be repeated.
			}

			this.counts.repeated++;
			await sleep(pauseMs * (tries + 1));
		}

		this.counts.lost++;
		return undefined;
	}
}

function isCompleteGeneration({status, text}: Answer): boolean {
	return status === 200 && (text.trimEnd().split('\n').at(-1) ?? '').startsWith('{"done":true');
}

async function requestTicket(address: string): Promise<string | undefined> {
	const answer = await postOrUndefined(address, '/v1/tickets/booking', {});
	return answer?.status === 200 ? parseErrorBody(answer).ticket : undefined;
}

async function postOrUndefined(address: string, resource: string, body: unknown, headers: Record<string, string> = {}): Promise<Answer | undefined> {
	try {
		return await post(address, resource, body, headers);
	} catch {
		return undefined;
	}
}

async function post(address: string, resource: string, body: unknown, headers: Record<string, string> = {}): Promise<Answer> {
	const res = await request(`http://${address}${resource}`, {
		method: 'POST', body: JSON.stringify(body), headers: {'x-workspace': 'counter', 'x-deadline-ms': String(deadlineMs), ...headers},
	});
	return {status: res.statusCode, text: await res.body.text()};
}

function parseErrorBody(answer: Answer): CallerErrorBody {
	try {
		return JSON.parse(answer.text) as CallerErrorBody;
	} catch {
		return {};
	}
}
