/**
 * A worker in a process of its own: it reads each body and answers with its length, or, on a path that ends with `/large`,
 * with four megabytes, or, on one that ends with `/tiny`, with chunks of one byte that do not end. Prints its port.
 */
import http from 'node:http';
import type {AddressInfo} from 'node:net';

const largeBytes = 4_000_000;
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

		const text = req.url?.endsWith('/large') ? 'x'.repeat(largeBytes) : String(bytes);
		res.writeHead(200, {'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's.1', 'content-length': text.length});
		res.end(text);
	});
});
server.listen(0, '127.0.0.1', () => {
	console.log((server.address() as AddressInfo).port);
});
