/**
 * A peer in a process of its own that answers late. Prints its HTTP port; receives datagrams at the host and port in its arguments, if any.
 *
 * A JSON-RPC request names the delay of its answer, `afterMs`, in its parameters; `GET /requests` returns how many were received. `POST /calls`
 * is answered by an agent's frames: a heartbeat each 400 ms for `forMs`, then a result. Datagrams are answered after 150 ms.
 */
import {Buffer} from 'node:buffer';
import dgram from 'node:dgram';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';

const datagramDelayMs = 150;
const listDelayMs = 400;
const heartbeatIntervalMs = 400;

type CallText = {attempt: string; work: {body: {forMs: number}}};

let requests = 0;

type Handler = (text: string, res: http.ServerResponse) => void;

const handlers: Readonly<Record<string, Handler>> = {
	'/requests'(text, res) {
		res.end(JSON.stringify(requests));
	},
	'/v1/vms'(text, res) {
		setTimeout(() => {
			res.end(JSON.stringify({vms: []}));
		}, listDelayMs);
	},
	'/calls'(text, res) {
		answerCall(JSON.parse(text) as CallText, res);
	},
};

function handleRpc(text: string, res: http.ServerResponse): void {
	requests++;
	const {params} = JSON.parse(text) as {params: {afterMs: number}};
	setTimeout(() => {
		res.end(JSON.stringify({jsonrpc: '2.0', id: 1, result: true}));
	}, params.afterMs);
}

const server = http.createServer(async (req, res) => {
	const parts: Buffer[] = [];
	for await (const part of req) {
		parts.push(part as Buffer);
	}

	(handlers[req.url ?? ''] ?? handleRpc)(Buffer.concat(parts).toString(), res);
});
server.listen(0, '127.0.0.1', () => {
	console.log((server.address() as AddressInfo).port);
});

function answerCall({attempt, work}: CallText, res: http.ServerResponse): void {
	let seq = 0;
	const write = (frame: object) => {
		res.write(`${JSON.stringify({attempt, seq: seq++, ...frame})}\n`);
	};

	const heartbeats = setInterval(write, heartbeatIntervalMs, {kind: 'progress'});
	setTimeout(() => {
		clearInterval(heartbeats);
		write({kind: 'head', version: null});
		write({kind: 'result', status: 200, body: null});
		write({kind: 'end', tokens: 0});
		res.end();
	}, work.body.forMs);
}

const [host, port] = process.argv.slice(2);
if (host !== undefined) {
	const own = `${host}:80`;
	const socket = dgram.createSocket('udp4');
	const self = {
		vm: 'late', startedAtMs: 1, role: 'gateway', zone: 'z', region: 'r', address: own,
	};
	const answers: Readonly<Record<string, (message: readonly unknown[]) => unknown[]>> = {
		ask: message => ['load', message[2], [1, 0]],
		check: message => ['checked', own, message[2], {directoryMs: 0, outageMs: null}, message[3]],
		sync: message => ['synced', {...message[1] as object, self}, message[2]],
	};
	socket.on('message', (bytes, from) => {
		const message = JSON.parse(bytes.toString()) as [string, ...unknown[]];
		const answer = answers[message[0]]?.(message);
		if (answer) {
			setTimeout(() => {
				socket.send(JSON.stringify(answer), from.port, from.address);
			}, datagramDelayMs);
		}
	});
	socket.bind(Number(port), host);
}
