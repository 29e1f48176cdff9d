/** Responses that no server may send. */
import type net from 'node:net';

/** Headers with which an upstream signs the answer to a call. */
export const signature = 'Attempt-Id: id-1\r\nResponse-Seal: s.1\r\n';

/** What follows an invalid head on its connection: a body, and a whole response that a client may take for the answer. */
const trailer = 'HTTP/1.1 200 OK\r\n';

/** Interval between two heads of an endless series, in milliseconds. */
const seriesIntervalMs = 5;

/** The text that no caller may get. */
export const forgedBody = '{"forged":1}';

/** How each invalid response is sent; the headers are those of an answer. */
type Send = (socket: net.Socket, headers: string) => void;

const bodyHeaders = `Content-Length: ${forgedBody.length}\r\n\r\n${forgedBody}`;

const sendStatus = (status: string): Send => (socket, headers) => {
	socket.write(`HTTP/1.1 ${status} X\r\n${headers}${bodyHeaders}`);
};

const sendBefore = (head: string): Send => (socket, headers) => {
	socket.write(`${head}\r\n${trailer}${headers}${bodyHeaders}`);
};

/** The invalid responses by name. */
export const invalidResponses: Readonly<Record<string, Send>> = {
	...Object.fromEntries(['000', '001', '099', '600', '999', '0200', '00'].map(status => [`status ${status}`, sendStatus(status)])),
	...Object.fromEntries(['000', '001', '099'].map(status => [`status ${status} without a body before a sound response`, sendBefore(`HTTP/1.1 ${status} X\r\nContent-Length: 0\r\n`)])),
	'status 101': sendStatus('101'),
	'status 101 with an upgrade, before a sound response': sendBefore('HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n'),
	'status 101 without an upgrade, before a sound response': sendBefore('HTTP/1.1 101 Switching Protocols\r\n'),
	'a 1xx whose head does not end'(socket, headers) {
		socket.write(`HTTP/1.1 103 Early Hints\r\n${headers}Link: `);
	},
	'a series of 1xx that does not end'(socket, headers) {
		const timer = setInterval(() => {
			socket.write(`HTTP/1.1 103 Early Hints\r\n${headers}\r\n`);
		}, seriesIntervalMs);
		socket.once('close', () => {
			clearInterval(timer);
		});
	},
};
