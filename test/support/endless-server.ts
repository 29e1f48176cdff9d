/** A server in trouble: it answers every connection with bytes that do not end until the client closes. */
import {Buffer} from 'node:buffer';
import type net from 'node:net';
import {type RawServer, startRawServer} from './raw-server.ts';

const blockBytes = 16_384;
const filler = 'x'.repeat(blockBytes);
const signedHead = 'HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nResponse-Seal: s.1\r\n';
const chunk = `${blockBytes.toString(16)}\r\n${filler}\r\n`;

/** What the server sends: a beginning, and a block that is repeated without end. */
const answers = {
	'one header': {begin: `${signedHead}X-Long: `, block: filler},
	'header lines': {begin: signedHead, block: 'X-More: y\r\n'.repeat(1000)},
	'informational heads': {begin: '', block: 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(100)},
	'no protocol': {begin: '', block: filler},
	'body with a length': {begin: `${signedHead}Content-Length: 999999999999\r\n\r\n`, block: filler},
	'chunked body': {begin: `${signedHead}Transfer-Encoding: chunked\r\n\r\n`, block: chunk},
	'body without a length': {begin: `${signedHead}\r\n`, block: filler},
	'chunk extension': {begin: `${signedHead}Transfer-Encoding: chunked\r\n\r\n5;`, block: filler},
	trailers: {begin: `${signedHead}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n`, block: 'X-More: y\r\n'.repeat(1000)},
	'error body': {begin: 'HTTP/1.1 500 No\r\nAttempt-Id: id-1\r\nResponse-Seal: s.1\r\n\r\n', block: filler},
	'one event': {begin: `${signedHead}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: `, block: filler},
	events: {begin: `${signedHead}Content-Type: text/event-stream\r\n\r\n`, block: `data: ${filler}\n\n`},
} as const;

/** A kind of answer without end. */
export type EndlessAnswer = keyof typeof answers;

/** All kinds of answers without end. */
export const endlessAnswers = Object.keys(answers) as EndlessAnswer[];

/**
 * Starts a server that sends one kind of answer as fast as the client reads it.
 *
 * @param pauseMs - waits this long between two blocks instead
 */
export async function startEndlessServer(kind: EndlessAnswer, pauseMs = 0): Promise<RawServer> {
	const {begin, block} = answers[kind];
	const bytes = Buffer.from(block);
	return startRawServer(socket => {
		socket.write(begin);
		sendBlocks(socket, bytes, pauseMs);
	});
}

function sendBlocks(socket: net.Socket, bytes: Buffer, pauseMs: number): void {
	if (socket.destroyed) {
		return;
	}

	const next = () => {
		sendBlocks(socket, bytes, pauseMs);
	};

	if (socket.write(bytes)) {
		setTimeout(next, pauseMs);
	} else {
		socket.once('drain', next);
	}
}
