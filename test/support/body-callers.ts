/**
 * Callers in a process of their own: `body-callers.ts URL LARGE BYTES` sends that many large bodies at once and small calls beside them,
 * and prints the number of answers by status of either.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const [url, ...sizes] = process.argv.slice(2) as [string, ...string[]];
const {hostname, port} = new URL(url);
const [largeCalls, largeBytes] = sizes.map(Number) as [number, number];
const smallCalls = 100;
const smallIntervalMs = 30;
let id = 0;

/** Sends a call; returns its status, or what went wrong. A wrong answer counts as `wrong`. */
async function sendBody(body: Buffer, deadlineMs: number, isChunked: boolean): Promise<string> {
	return new Promise(resolve => {
		const req = http.request({
			host: hostname, port, method: 'POST', path: '/p/x', agent: false, headers: {
				host: 'a.example', 'attempt-id': `id-${id++}`, 'api-key': 'k1', 'deadline-ms': deadlineMs, ...(isChunked ? {'transfer-encoding': 'chunked'} : {'content-length': body.length}),
			},
		}, res => {
			let text = '';
			res.setEncoding('utf8').on('data', (part: string) => {
				text += part;
			});
			res.on('end', () => {
				resolve(res.statusCode === 200 && text !== String(body.length) ? 'wrong' : String(res.statusCode));
			});
		});
		req.on('error', err => {
			resolve((err as NodeJS.ErrnoException).code ?? 'error');
		});
		req.end(body);
	});
}

function count(outcomes: readonly string[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const outcome of outcomes) {
		counts[outcome] = (counts[outcome] ?? 0) + 1;
	}

	return counts;
}

const large = Buffer.alloc(largeBytes, 'x');
const sending = Array.from({length: largeCalls}, async (_, at) => sendBody(large, 5000, at % 4 === 0));
const small = Array.from({length: smallCalls}, async (_, at) => {
	await sleep(at * smallIntervalMs);
	return sendBody(Buffer.from('small'), 1000, false);
});

console.log(JSON.stringify({large: count(await Promise.all(sending)), small: count(await Promise.all(small))}));
