/** Clients of a gateway that send without end, stop, or do not read. Ordinary callers beside them are to notice nothing. */
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {FaultContext} from './soak-faults.ts';

let requestCount = 0;

/** Returns the head of a request. Each has an attempt ID of its own, so that none counts as the repeat of another. */
const head = (more: string) => `POST /once/x?bytes=10&after=100 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: untrusted-${requestCount++}\r\nApi-Key: k1\r\nDeadline-Ms: 5000\r\n${more}\r\n`;

const shortFields = Array.from({length: 1000}, (_, at) => `${at.toString(36).padStart(2, '0')}:a\r\n`).join('');

/** What a client of each kind sends at once; it then stays without reading. */
const requests: Readonly<Record<string, () => string>> = {
	chunkedBody: () => head('Transfer-Encoding: chunked\r\n') + `10000\r\n${'x'.repeat(65_536)}\r\n`.repeat(8),
	tinyChunks: () => head('Transfer-Encoding: chunked\r\n') + '1\r\nx\r\n'.repeat(5000),
	stoppedBody: () => head('Content-Length: 4000000\r\n') + 'x'.repeat(100_000),
	manyFields: () => head(`Content-Length: 100\r\n${shortFields}`) + 'x'.repeat(50),
	stoppedHead: () => head(`Padding: ${'x'.repeat(8000)}\r\n`).slice(0, -2),
	pipelined: () => Array.from({length: 12}, () => head('Content-Length: 0\r\n')).join(''),
};

/** Lets some clients of one kind call a gateway for a time; half of them leave early. */
export async function callUntrusted(context: FaultContext): Promise<void> {
	const {fleet, random} = context;
	const {url} = fleet.gateways[random.nextInt(fleet.gateways.length)]!;
	const {hostname: host, port} = new URL(url);
	const kinds = Object.values(requests);
	const createRequest = kinds[random.nextInt(kinds.length)]!;
	const sockets = Array.from({length: context.between(10, 40)}, () => {
		const socket = net.connect({host, port: Number(port)});
		socket.on('error', () => undefined);
		socket.pause();
		socket.write(createRequest());
		return socket;
	});
	await sleep(context.between(100, 800));
	for (const socket of sockets.filter((_, at) => at % 2 === 0)) {
		socket.destroy();
	}

	await sleep(context.between(300, 3000));
	for (const socket of sockets) {
		socket.destroy();
	}
}
