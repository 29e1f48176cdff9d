/** A client that writes bytes to a server and keeps what it receives. */
import net from 'node:net';

/** A connection of the client. */
export type RawClient = {readonly socket: net.Socket; readonly received: () => string; readonly isClosed: () => boolean};

/** Connects to the host and port of a URL. */
export function connectRaw(url: string): RawClient {
	const {hostname: host, port} = new URL(url);
	const socket = net.connect({host, port: Number(port)});
	let received = '';
	let isClosed = false;
	socket.on('data', part => {
		received += part.toString('latin1');
	});
	socket.on('error', () => undefined);
	socket.on('close', () => {
		isClosed = true;
	});
	return {socket, received: () => received, isClosed: () => isClosed};
}
