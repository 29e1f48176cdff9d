/** A worker in a process of its own: it reads each body and answers with its length. Prints its port. */
import http from 'node:http';
import type {AddressInfo} from 'node:net';

const server = http.createServer((req, res) => {
	let bytes = 0;
	req.on('data', (part: Uint8Array) => {
		bytes += part.length;
	});
	req.on('end', () => {
		const text = String(bytes);
		res.writeHead(200, {'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's.1', 'content-length': text.length});
		res.end(text);
	});
});
server.listen(0, '127.0.0.1', () => {
	console.log((server.address() as AddressInfo).port);
});
