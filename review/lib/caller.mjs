/** A requester on a channel of its own, which sees each byte and how the channel ends. */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {randomBytes} from 'node:crypto';

export function newId() {
	return randomBytes(8).toString('hex');
}

/** A channel to a gateway; requests are sent one after the other. */
export class Channel {
	isClosed = false;
	received = Buffer.alloc(0);

	constructor(address) {
		const [host, port] = address.split(':');
		this.socket = net.connect({host, port: Number(port), noDelay: true});
		this.socket.on('data', bytes => {
			this.received = Buffer.concat([this.received, bytes]);
			this.onProgress?.();
		});
		this.socket.on('end', () => {
			// A reset that follows data may be told as an end; the socket has no peer then.
			this.close(this.socket.remoteAddress === undefined ? 'reset' : 'closed');
		});
		this.socket.on('error', err => {
			this.close(err.code === 'ECONNRESET' ? 'reset' : err.code);
		});
		this.socket.on('close', () => {
			this.close('closed');
		});
	}

	close(how) {
		if (!this.isClosed) {
			this.isClosed = true;
			this.how = how;
			this.onProgress?.();
		}
	}

	destroy() {
		this.socket.destroy();
	}

	/**
	 * Sends a request and waits for its answer.
	 *
	 * @returns `status` (undefined if there was none), `headers`, `body`, and `end`: `complete` by length or chunks, `closed` if the channel
	 * was closed in order, which is how an answer without either is complete, or `reset`
	 */
	async ask({method = 'POST', path, headers, body = ''}) {
		const lines = [`${method} ${path} HTTP/1.1`, ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`)];
		if (body !== '' || method === 'POST') {
			lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
		}

		this.received = Buffer.alloc(0);
		this.socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
		return new Promise(resolve => {
			this.onProgress = () => {
				const answer = this.parse();
				if (answer.end !== undefined) {
					this.onProgress = undefined;
					resolve(answer);
				}
			};

			this.onProgress();
		});
	}

	parse() {
		const at = this.received.indexOf('\r\n\r\n');
		const ended = this.isClosed ? this.how : undefined;
		if (at === -1) {
			return {headers: {}, body: '', end: ended};
		}

		const [first, ...lines] = this.received.subarray(0, at).toString('latin1').split('\r\n');
		const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
		const rest = this.received.subarray(at + 4);
		const head = {status: Number(first.split(' ')[1]), headers};
		if (headers['content-length'] !== undefined) {
			const length = Number(headers['content-length']);
			return {...head, body: rest.subarray(0, length).toString('utf8'), end: rest.length >= length ? 'complete' : ended && `cut, ${ended}`};
		}

		if (headers['transfer-encoding'] === 'chunked') {
			const {body, isComplete} = parseChunks(rest);
			return {...head, body, end: isComplete ? 'complete' : ended && `cut, ${ended}`};
		}

		return {...head, body: rest.toString('utf8'), end: ended};
	}
}

function parseChunks(bytes) {
	const parts = [];
	for (let at = 0; ;) {
		const line = bytes.indexOf('\r\n', at);
		const size = line === -1 ? Number.NaN : Number.parseInt(bytes.subarray(at, line).toString('latin1'), 16);
		if (size === 0 || Number.isNaN(size) || bytes.length < line + size + 4) {
			return {body: Buffer.concat(parts).toString('utf8'), isComplete: size === 0};
		}

		parts.push(bytes.subarray(line + 2, line + 2 + size));
		at = line + size + 4;
	}
}
