/**
 * Untrusted clients in a process of their own: `crowd.ts URL KIND[,KIND] COUNT PATH` opens that many connections of each kind, prints `done`
 * once each of them has sent what it wanted, was closed or cannot go on, and keeps its connections open until it is killed. Requests go to
 * PATH unless their kind has a path of its own.
 */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {rpcPath} from '../../src/links/rpc-dispatcher.ts';
import {directoryGetMethod} from '../../src/messages/peers-exchange.ts';

/** Most time that the crowd takes until it prints `done`, and after which it ends, in milliseconds. */
const maxSendMs = 8000;
const maxLifeMs = 40_000;

const [url = '', kinds = '', countText = '', defaultPath = ''] = process.argv.slice(2);
const {hostname: host, port} = new URL(url);
const count = Number(countText);
const startedAtMs = performance.now();
let id = 0;

/** Text of 1600 short fields, about as many as fit into a head of 16 KiB. */
const manyFields = Array.from({length: 1600}, (_, at) => at.toString(36).padStart(2, '0')).map(name => `${name}:${name}\r\n`).join('');

/** Requests that wait behind the first one of their connection. */
const waitingRequests = 15;

/** A JSON body inside the published limits whose values take many times its size. */
const nestedJson = '['.repeat(2_000_000) + ']'.repeat(2_000_000);

const head = (path: string, more: string) => `POST ${path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: c-${id++}\r\nApi-Key: k1\r\nX-Workspace: desk\r\nDeadline-Ms: 5000\r\n${more}\r\n`;

type Client = {readonly socket: net.Socket; isClosed: boolean};

async function connect(): Promise<Client> {
	return new Promise(resolve => {
		const socket = net.connect({host, port: Number(port)});
		const client: Client = {socket, isClosed: false};
		socket.on('connect', () => {
			resolve(client);
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			client.isClosed = true;
			resolve(client);
		});
	});
}

/** Writes and waits until the system has taken it. */
async function write({socket}: Client, data: Buffer | string): Promise<void> {
	return new Promise(resolve => {
		socket.once('close', resolve);
		socket.write(data, () => {
			socket.off('close', resolve);
			resolve();
		});
	});
}

const mayGoOn = ({isClosed}: Client) => !isClosed && performance.now() - startedAtMs < maxSendMs;

/** Sends a chunked body without its end. */
function chunkedSender(chunkBytes: number, bodyBytes: number, path = defaultPath) {
	const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
	const perWrite = Math.ceil(16_384 / chunk.length);
	const block = Buffer.from(chunk.repeat(perWrite));
	return async (client: Client) => {
		client.socket.resume();
		await write(client, head(path, 'Transfer-Encoding: chunked\r\n'));
		for (let sent = 0; sent < bodyBytes - (perWrite * chunkBytes) && mayGoOn(client); sent += perWrite * chunkBytes) {
			await write(client, block);
		}
	};
}

/** Sends text a few bytes at a time. */
async function trickle(client: Client, text: string): Promise<void> {
	for (let at = 0; at < text.length && mayGoOn(client); at += 4) {
		await write(client, text.slice(at, at + 4));
		await sleep(50);
	}
}

const senders: Readonly<Record<string, (client: Client, at: number) => Promise<void>>> = {
	tiny: chunkedSender(1, 100_000),
	tinyToPeers: chunkedSender(1, 100_000, rpcPath),
	small: chunkedSender(700, 4_000_000),
	large: chunkedSender(262_144, 4_000_000),
	async leaving(client, at) {
		client.socket.resume();
		if (at % 2 === 0) {
			await sleep(200);
			client.socket.destroy();
		} else {
			await write(client, `POST ${defaultPath} HTTP/1.1\r\n`);
		}
	},
	async trickling(client, at) {
		if (at % 3 === 0) {
			await trickle(client, head(defaultPath, `Padding: ${'x'.repeat(8000)}\r\n`));
		} else if (at % 3 === 1) {
			await write(client, head(defaultPath, 'Content-Length: 4000000\r\n'));
			await trickle(client, 'x'.repeat(8000));
		} else {
			client.socket.pause();
			await write(client, head('/p/large', 'Content-Length: 0\r\n'));
		}
	},
	async pipelining(client) {
		client.socket.pause();
		for (let sent = 0; sent < 4000 && mayGoOn(client); sent += 50) {
			await write(client, Array.from({length: 50}, () => head(defaultPath, 'Content-Length: 0\r\n')).join(''));
		}
	},
	/** Asks for responses of which each byte comes in a chunk of its own. */
	async asking(client) {
		client.socket.resume();
		await write(client, head('/p/tiny', 'Content-Length: 0\r\n'));
		await sleep(2000);
	},
	/** Whole heads of many short fields, and half of a short body. */
	async fields(client) {
		client.socket.resume();
		await write(client, head(defaultPath, `Content-Length: 100\r\n${manyFields}`) + 'x'.repeat(50));
	},
	/** Requests with many short fields that wait behind one without a response. */
	async waiting(client) {
		client.socket.resume();
		await write(client, head('/p/slow', 'Content-Length: 0\r\n'));
		await write(client, Array.from({length: waitingRequests}, () => head(defaultPath, `Content-Length: 0\r\n${manyFields}`)).join(''));
	},
	/** Requests whose responses wait behind one that comes later. */
	async answers(client) {
		client.socket.resume();
		await write(client, head('/p/slow', 'Content-Length: 0\r\n'));
		await write(client, Array.from({length: waitingRequests}, () => head('/p/medium', 'Content-Length: 0\r\n')).join(''));
	},
	/** Trailers of small fields that do not end. */
	async trailers(client) {
		client.socket.resume();
		await write(client, head(defaultPath, 'Transfer-Encoding: chunked\r\n') + '1\r\nx\r\n0\r\n');
		await write(client, 'ab:cd\r\n'.repeat(8000));
	},
	/** Heads of small fields that do not end, each behind a request without a response. */
	async nextHeads(client) {
		client.socket.resume();
		await write(client, head('/p/slow', 'Content-Length: 0\r\n'));
		await write(client, head('/p/x', 'ab:cd\r\n'.repeat(8000)).slice(0, -2));
	},
	/** Whole bodies of deeply nested JSON. */
	async nested(client) {
		client.socket.resume();
		await write(client, head(defaultPath, `Content-Length: ${nestedJson.length}\r\n`));
		await write(client, nestedJson);
	},
	/** Queries whose answers are as long as their bodies. */
	async queries(client) {
		client.socket.resume();
		const body = JSON.stringify({query: 'x'.repeat(200_000)});
		for (let sent = 0; sent < 15 && mayGoOn(client); sent++) {
			await write(client, head(defaultPath, `Content-Length: ${body.length}\r\n`) + body);
			await sleep(50);
		}
	},
	/** Requests for the whole directory whose responses are not read. */
	async snapshots(client) {
		client.socket.pause();
		const body = JSON.stringify({
			jsonrpc: '2.0', id: 1, method: directoryGetMethod, params: {configurationVersion: 0, instancesRevision: 0},
		});
		for (let sent = 0; sent < 100 && mayGoOn(client); sent += 10) {
			await write(client, Array.from({length: 10}, () => head(rpcPath, `Content-Length: ${body.length}\r\n`) + body).join(''));
		}
	},
	/** Small fields in heads that do not end. */
	async heads(client) {
		client.socket.resume();
		await write(client, head(defaultPath, 'a:\r\n'.repeat(14_000)).slice(0, -2));
	},
};

setTimeout(() => {
	process.kill(process.pid, 'SIGKILL');
}, maxLifeMs);
await Promise.race([sleep(maxSendMs), Promise.all(kinds.split(',').flatMap(kind => Array.from({length: count}, async (_, at) => {
	// The connections come over half a second, like those of several clients.
	await sleep((at % 50) * 10);
	await senders[kind]!(await connect(), at);
})))]);
console.log('done');
