/** Bodies over the limit: their callers get the answer although they are still sending, and cost the gateway little. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {maxSmallBytes} from '../src/limits/memory-budget.ts';
import {
	callGateway, sendSignedResponse, startTestGateway, startUpstream, testConfiguration, testInstance,
} from './support/direct-fixtures.ts';

const bodyBytes = 12_000_000;
const callerHeaders = {'attempt-id': 'id-1', 'api-key': 'k1', 'deadline-ms': 5000};

/** Sends a body; returns the status and the text of the answer, or the error by which it was lost. */
async function sendBody(url: string, headers: http.OutgoingHttpHeaders): Promise<string> {
	return new Promise(resolve => {
		const req = http.request(`${url}/p/x`, {method: 'POST', agent: false, headers: {host: 'a.example', ...callerHeaders, ...headers}}, res => {
			let text = '';
			res.setEncoding('utf8').on('data', (part: string) => {
				text += part;
			});
			res.on('end', () => {
				resolve(`${res.statusCode} ${text}`);
			});
		});
		req.on('error', err => {
			resolve((err as NodeJS.ErrnoException).code ?? err.message);
		});
		req.end(Buffer.alloc(bodyBytes, 'x'));
	});
}

it('guards against a caller that loses the answer 413 because its connection is closed while it still sends', async () => {
	const gateway = await startTestGateway(testConfiguration(1), []);
	try {
		for (const headers of [{'content-length': bodyBytes}, {'transfer-encoding': 'chunked'}]) {
			const outcomes = await Promise.all(Array.from({length: 10}, async () => sendBody(gateway.url, headers)));
			expect(new Set(outcomes), JSON.stringify(headers)).to.deep.equal(new Set(['413 {"error":"body is too large"}']));
		}

		expect(gateway.faults.count).to.equal(0);
	} finally {
		gateway.close();
	}
});

it('guards against a caller that writes its whole body before it reads: the answer 413 is still there', async () => {
	const gateway = await startTestGateway(testConfiguration(1), []);
	try {
		for (const framing of [`Content-Length: ${bodyBytes}`, 'Transfer-Encoding: chunked']) {
			const socket = net.connect(Number(new URL(gateway.url).port), '127.0.0.1');
			socket.pause();
			let text = '';
			let error = '';
			socket.on('error', err => {
				error = err.message;
			});
			socket.write(`POST /p/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-1\r\n${framing}\r\n\r\n`);
			const body = Buffer.alloc(bodyBytes, 'x');
			const isChunked = framing.startsWith('Transfer');
			await new Promise(resolve => {
				socket.write(isChunked ? Buffer.concat([Buffer.from(`${bodyBytes.toString(16)}\r\n`), body, Buffer.from('\r\n0\r\n\r\n')]) : body, resolve);
			});
			await new Promise(resolve => {
				socket.setEncoding('utf8').on('data', (part: string) => {
					text += part;
				});
				socket.once('close', resolve);
				socket.resume();
			});
			expect([error, text.split('\r\n', 1)[0], text.split('\r\n\r\n')[1]], framing).to.deep.equal(['', 'HTTP/1.1 413 Payload Too Large', '{"error":"body is too large"}']);
		}
	} finally {
		gateway.close();
	}
});

it('guards against callers that send without end: each is cut off after some bytes and a short time, answered before, and holds no memory for bodies meanwhile', async () => {
	const gateway = await startTestGateway(testConfiguration(1), []);
	const socket = net.connect(Number(new URL(gateway.url).port), '127.0.0.1');
	try {
		let text = '';
		const part = 'x'.repeat(65_536);
		socket.on('error', () => undefined);
		socket.setEncoding('utf8').on('data', (data: string) => {
			text += data;
		});
		const send = () => {
			while (!socket.destroyed && socket.write(`10000\r\n${part}\r\n`)) {
				// Writes until the socket is full.
			}
		};

		socket.on('drain', send);
		socket.write('POST /p/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n');
		send();
		await sleep(700);
		expect(text).to.match(/^HTTP\/1.1 413 /);
		expect(gateway.bodies.usedBytes).to.be.at.most(maxSmallBytes);
		for (let waitedMs = 0; !socket.destroyed && waitedMs < 8000; waitedMs += 100) {
			await sleep(100);
		}

		expect(socket.destroyed).to.equal(true);
		expect(socket.bytesWritten).to.be.below(64_000_000);
	} finally {
		socket.destroy();
		gateway.close();
	}
});

it('guards against an answer without its end: a malformed call of HTTP/1.0 and one without a body get theirs whole, and the connection closes at once', async () => {
	const gateway = await startTestGateway(testConfiguration(1), []);
	try {
		for (const version of ['1.0', '1.1']) {
			const socket = net.connect(Number(new URL(gateway.url).port), '127.0.0.1');
			let text = '';
			const startedAtMs = performance.now();
			socket.setEncoding('utf8').on('data', (part: string) => {
				text += part;
			});
			socket.write(`GET /p/x HTTP/${version}\r\nHost: a.example\r\nFiller: ${'x'.repeat(3000)}\r\n\r\n`);
			await new Promise(resolve => {
				socket.once('close', resolve);
			});
			expect([text.split('\r\n', 1)[0], text.split('\r\n\r\n')[1]], version).to.deep.equal(['HTTP/1.1 431 Request Header Fields Too Large', '{"error":"headers are too large"}']);
			expect(text.match(/content-length/gi) ?? [], version).to.have.length(1);
			expect(performance.now() - startedAtMs, version).to.be.below(1500);
		}
	} finally {
		gateway.close();
	}
});

it('guards against a listener that a caller with a refused body holds open: it drains while one still sends', async () => {
	const upstream = await startUpstream((req, res) => {
		sendSignedResponse(req, res, 200, 'ok');
	});
	const gateway = await startTestGateway(testConfiguration(1), [testInstance({id: 'i-1', address: upstream.address})]);
	const socket = net.connect(Number(new URL(gateway.url).port), '127.0.0.1');
	try {
		socket.on('error', () => undefined);
		socket.resume();
		socket.write('POST /p/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-1\r\nContent-Length: 9000000\r\n\r\nx');
		const {status} = await callGateway(gateway.url);
		expect(status).to.equal(200);
		await gateway.listener.drain();
	} finally {
		socket.destroy();
		gateway.close();
		upstream.close();
	}
});
