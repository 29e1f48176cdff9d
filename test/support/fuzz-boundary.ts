/**
 * Sends ambiguous and broken requests to a gateway process: `fuzz-boundary.ts SEED SECONDS`. Each hides an inner request in its body; the
 * stand-in of an instance must never receive it. Prints what was sent and found.
 */
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {RandomSource} from '../../src/runtime/random-source.ts';
import {startBodyService} from './body-service.ts';
import {Processes} from './processes.ts';

const [seed, seconds] = process.argv.slice(2).map(Number) as [number, number];
const random = new RandomSource(seed);
const pick = <Item>(items: readonly Item[]): Item => items[random.nextInt(items.length)]!;
const inner = 'POST /p/hidden HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: h\r\nApi-Key: k1\r\nDeadline-Ms: 900\r\nContent-Length: 0\r\n\r\n';
const head = 'POST /p/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: f\r\nApi-Key: k1\r\nDeadline-Ms: 900\r\n';
const hex = inner.length.toString(16);
const chunked = `${hex}\r\n${inner}\r\n0\r\n\r\n`;

/** Requests of which at least one reading takes the inner request as part of the body. */
const makers: Readonly<Record<string, () => string>> = {
	length: () => `${head}Content-Length: ${inner.length}\r\n\r\n${inner}`,
	chunks: () => `${head}Transfer-Encoding: chunked\r\n\r\n${chunked}`,
	extension: () => `${head}Transfer-Encoding: chunked\r\n\r\n${hex}${pick([';a', ';a=b', ';a="\r\n"', ' ;a', ';\n', `;${'x'.repeat(20_000)}`])}\r\n${inner}\r\n0\r\n\r\n`,
	trailers: () => `${head}Transfer-Encoding: chunked\r\n\r\n${hex}\r\n${inner}\r\n0\r\n${pick(['A: b', 'Content-Length: 5', 'Transfer-Encoding: chunked', 'Api-Key: k2', 'A:\n b'])}\r\n\r\n`,
	bothLengths: () => `${head}${pick([`Content-Length: ${pick([0, 5, inner.length])}\r\nTransfer-Encoding: chunked\r\n`, `Transfer-Encoding: chunked\r\nContent-Length: ${pick([0, 5, inner.length])}\r\n`])}\r\n${pick([chunked, `0\r\n\r\n${inner}`])}`,
	twoLengths: () => `${head}Content-Length: ${pick(['0', '1', '+0', '0x0', '0,0', ' 0'])}\r\nContent-Length: ${inner.length}\r\n\r\n${inner}`,
	oddLength: () => `${head}Content-Length: ${pick([`+${inner.length}`, `0x${hex}`, `${inner.length}, ${inner.length}`, `${inner.length} 0`, '-1', '1e2', ''])}\r\n\r\n${inner}`,
	oddEncoding: () => `${head}Transfer-Encoding: ${pick(['xchunked', 'chunked, identity', 'identity, chunked', 'gzip', 'chunked\r\nTransfer-Encoding: identity', '"chunked"', '\u000Bchunked'])}\r\n\r\n0\r\n\r\n${inner}`,
	oddName: () => `${head}${pick(['Transfer-Encoding : chunked', ' Transfer-Encoding: chunked', 'X: y\r\n Transfer-Encoding: chunked', 'Content-Length : 0', 'Content_Length: 0', 'Content-Length\u0000: 0'])}\r\nContent-Length: ${inner.length}\r\n\r\n${inner}`,
	bareFeeds: () => `${head}Content-Length: ${inner.length}\r\n\r\n${inner}`.replaceAll('\r\n', pick(['\n', '\r\n', '\r\r\n'])),
	oddChunk: () => `${head}Transfer-Encoding: chunked\r\n\r\n${pick([`0x${hex}`, `${hex} `, ` ${hex}`, `+${hex}`, `-${hex}`, `${hex}h`, 'ffffffffffffffffff', `${'0'.repeat(30)}${hex}`])}\r\n${inner}\r\n0\r\n\r\n`,
	shortChunk: () => `${head}Transfer-Encoding: chunked\r\n\r\n1\r\nxx\r\n${inner}0\r\n\r\n`,
};

const findings: string[] = [];
const processes = new Processes();
const store = await startBodyService(processes);
const server = http.createServer((req, res) => {
	if (req.url !== '/p/x') {
		findings.push(`the instance received ${req.method} ${req.url}`);
	}

	req.resume();
	req.on('end', () => {
		res.writeHead(200, {'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's.1', 'content-length': 2});
		res.end('ok');
	});
});
await new Promise<void>(resolve => {
	server.listen(0, '127.0.0.1', resolve);
});
store.remove('servers/i-1');
store.put('servers/i-2', {
	service: 'desk', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, zone: 'z', slots: 100, state: 'ready', born: 1,
});
const gateway = await processes.startGateway(store, 'memory_mb = 250\n');
const {hostname: host, port} = new URL(gateway.url);
const counts: Record<string, Record<string, number>> = {};

/** Sends a request in pieces; half-closes, leaves or waits. */
async function exchange(name: string, text: string): Promise<void> {
	const socket = net.connect({host, port: Number(port)});
	let answer = '';
	socket.on('data', part => {
		answer += part.toString('latin1');
	});
	const closed = new Promise(resolve => {
		socket.on('close', resolve);
	});
	socket.on('error', () => undefined);
	for (let at = 0; at < text.length;) {
		const end = at + 1 + random.nextInt(text.length);
		socket.write(text.slice(at, end), 'latin1');
		at = end;
		if (random.nextInt(3) === 0) {
			await sleep(1);
		}
	}

	if (random.nextInt(2) === 0) {
		socket.end();
	}

	await Promise.race([closed, sleep(30)]);
	socket.destroy();
	const statuses = [...answer.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(match => match[1]).join('+') || 'none';
	counts[name] ??= {};
	counts[name][statuses] = (counts[name][statuses] ?? 0) + 1;
}

const untilMs = performance.now() + (seconds * 1000);
let sent = 0;
while (performance.now() < untilMs && gateway.child.exitCode === null && gateway.child.signalCode === null) {
	const names = Array.from({length: 8}, () => pick(Object.keys(makers)));
	const before = findings.length;
	await Promise.all(names.map(async name => exchange(name, makers[name]!())));
	sent += names.length;
	if (findings.length > before) {
		findings.push(`in the round of ${names.join(' ')}`);
	}
}

const faults = gateway.out().split('\n').filter(line => line.includes('call_faulted') || line.includes('process_failed'));
console.log(JSON.stringify({
	seed, seconds, sent, alive: gateway.child.exitCode === null && gateway.child.signalCode === null, findings: findings.slice(0, 20), faults: faults.slice(0, 3), counts,
}, undefined, 1));
processes.stop();
store.close();
server.close();
server.closeAllConnections();
