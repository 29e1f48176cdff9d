/**
 * A worker in a process of its own: it reads each body and answers with its length, or, on a path that ends with `/large`,
 * with four megabytes, or, on one that ends with `/medium`, with 64,000 bytes, or, on one that ends with `/slow`, with its length after four
 * seconds, or, on one that ends with `/tiny`, with chunks of one byte that do not end. Prints its port.
 */
import http from 'node:http';
import type {AddressInfo} from 'node:net';

/** Sizes of responses, in bytes, by the last part of the path. */
const responseBytes: Readonly<Record<string, number | undefined>> = {large: 4_000_000, medium: 64_000};

/** Delays of responses, in milliseconds, by the last part of the path. */
const delaysMs: Readonly<Record<string, number | undefined>> = {slow: 4000};

const tinyChunks = 100_000;

const server = http.createServer((req, res) => {
	let bytes = 0;
	req.on('data', (part: Uint8Array) => {
		bytes += part.length;
	});
	req.on('end', () => {
		if (req.url?.endsWith('/tiny')) {
			res.writeHead(200, {'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's.1'});
			res.flushHeaders();
			res.socket!.write('1\r\nx\r\n'.repeat(tinyChunks));
			return;
		}

		const name = req.url?.split('/').at(-1) ?? '';
		const size = responseBytes[name];
		const text = size === undefined ? String(bytes) : 'x'.repeat(size);
		setTimeout(() => {
			res.writeHead(200, {'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's.1', 'content-length': text.length});
			res.end(text);
		}, delaysMs[name] ?? 0);
	});
});
server.listen(0, '127.0.0.1', () => {
	console.log((server.address() as AddressInfo).port);
});
