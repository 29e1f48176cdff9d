/** A server that answers with bytes of any kind. */
import net, {type AddressInfo} from 'node:net';

/** The server, and what it has seen. */
export type RawServer = {
	readonly address: string;
	/** Connections that are open now. */
	readonly open: () => number;
	/** Connections accepted so far, and those of them on which something was received. */
	readonly accepted: () => number;
	readonly asked: () => number;
	readonly close: () => void;
};

/**
 * Starts a server on a free port of 127.0.0.1.
 *
 * @param answer - answers the first bytes of a connection, given the number of the connection from 0
 */
export async function startRawServer(answer: (socket: net.Socket, number: number) => void): Promise<RawServer> {
	const sockets = new Set<net.Socket>();
	let accepted = 0;
	let asked = 0;
	const server = net.createServer(socket => {
		accepted++;
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			sockets.delete(socket);
		});
		socket.once('data', () => {
			answer(socket, asked++);
		});
		socket.resume();
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		open: () => sockets.size,
		accepted: () => accepted,
		asked: () => asked,
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}
