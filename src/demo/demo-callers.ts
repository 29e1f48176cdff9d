/** Load generator of the demo: callers that send generations, lookups and bookings in a loop and verify every response. */
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {expectedToken} from '../../standins/engine.ts';

/** Number of callers per entry that send generations; one more caller sends lookups, and one sends bookings. */
const generationCallersPerEntry = 4;

/** Number of tokens requested for one generation. */
const tokensPerGeneration = 12;

/** Pause between two calls of a caller, and unit of the linear backoff between attempts, in milliseconds. */
const pauseMs = 20;

/** Maximum number of attempts of a call. */
const maxAttempts = 8;

/** Deadline that callers set for each call, in milliseconds. */
const deadlineMs = 5000;

/** Results counted over all callers. */
export type CallerCounts = {
	/** Number of complete and correct generations by version. */
	readonly servedByVersion: Map<string, number>;
	/** Number of correctly answered lookups. */
	lookups: number;
	/** Bookings that were answered with exactly one run. */
	readonly booked: Set<string>;
	/** Bookings without a successful answer after all attempts, so that their outcome is unknown. */
	readonly unknown: Set<string>;
	/** Number of responses with wrong content. */
	wrong: number;
	/** Number of idempotent calls without a complete response after all attempts. */
	lost: number;
	/** Number of failed attempts of idempotent calls. */
	repeated: number;
};

type Answer = {readonly status: number; readonly text: string};

type ResponseBody = {error?: {outcome?: string; ticket?: string}; ticket?: string};

/** Runs the callers of all entries. */
export class DemoCallers {
	readonly counts: CallerCounts = {
		servedByVersion: new Map(), lookups: 0, booked: new Set(), unknown: new Set(), wrong: 0, lost: 0, repeated: 0,
	};

	private isRunning = true;
	private callCount = 0;
	private callerLoops: Array<Promise<void>> = [];

	/** @param weightsDigestByVersion - digest of the weights by version, to verify which weights a response was generated from */
	constructor(private readonly weightsDigestByVersion: ReadonlyMap<string, string>) {}

	/**
	 * Starts the callers of one entry.
	 *
	 * @param address - address of the entry's listener for callers, `host:port`
	 */
	start(address: string): void {
		const callFunctions = [...Array.from({length: generationCallersPerEntry}, () => this.generate), this.lookUp, this.book];
		this.callerLoops.push(...callFunctions.map(async callFunction => {
			while (this.isRunning) {
				await callFunction.call(this, address, `call-${this.callCount++}`);
				await sleep(pauseMs);
			}
		}));
	}

	/** Stops the callers and waits for their open calls. */
	async stop(): Promise<void> {
		this.isRunning = false;
		await Promise.all(this.callerLoops);
		this.callerLoops = [];
	}

	private async generate(address: string, prompt: string): Promise<void> {
		const answer = await this.retryUntilComplete(async () => post(address, '/v1/generate/ask', {prompt, max_tokens: tokensPerGeneration}), isCompleteGeneration);
		if (!answer) {
			return;
		}

		const lines = answer.text.trim().split('\n').map(line => JSON.parse(line) as {token?: string; version?: string});
		const version = lines.pop()?.version ?? '';
		const weights = this.weightsDigestByVersion.get(version) ?? '';
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
		for (let attempt = 0; attempt < maxAttempts; attempt++) {
			ticket ??= await requestTicket(address);
			const answer = ticket === undefined ? undefined : await postOrUndefined(address, '/v1/operations/booking/book', {booking}, {'x-ticket': ticket});
			if (answer?.status === 200) {
				this.checkBooking(answer, booking);
				return;
			}

			// A new ticket is safe only if the booking did not run. After any other failure the attempt is repeated with the same ticket, which
			// prevents a second run.
			if (answer && parseBody(answer).error?.outcome === 'not_run') {
				ticket = undefined;
			}

			await sleep(pauseMs * (attempt + 1));
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
		for (let attempt = 0; attempt < maxAttempts; attempt++) {
			try {
				const answer = await send();
				if (isComplete(answer)) {
					return answer;
				}
			} catch {
				// The connection failed. The call is idempotent, so it can be retried.
			}

			this.counts.repeated++;
			await sleep(pauseMs * (attempt + 1));
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
	return answer?.status === 200 ? parseBody(answer).ticket : undefined;
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

function parseBody(answer: Answer): ResponseBody {
	try {
		return JSON.parse(answer.text) as ResponseBody;
	} catch {
		return {};
	}
}
