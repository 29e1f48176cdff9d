/** A TCP relay in front of a process, with which tests inject delays, stalled connections and connection resets. */
import net, {type AddressInfo} from 'node:net';

/** A client connection and its connection to the target. While stalled, it forwards neither data nor the end of the connection. */
type RelayedConnection = {readonly client: net.Socket; readonly server: net.Socket; isStalled: boolean};

/** Forwards TCP connections to one target. */
export class TcpRelay {
	/** Delay of all forwarded data, in milliseconds. */
	delayMs = 0;
	/** Number of `calls.cancel` requests from clients. */
	cancelRequests = 0;
	/** Whether new connections are accepted but stalled. */
	stallNewConnections = false;
	private readonly connections = new Set<RelayedConnection>();
	private readonly server: net.Server;
	private readonly target: {host: string; port: number};

	/** @param target - `host:port` */
	constructor(target: string) {
		this.target = parseTarget(target);
		this.server = net.createServer(client => {
			this.connect(client);
		});
	}

	/** Starts to listen and returns the address of the relay, `host:port`. */
	async start(): Promise<string> {
		await new Promise<void>(resolve => {
			this.server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	/** Stalls all open connections permanently without closing them. New connections work. */
	stallConnections(): void {
		for (const connection of this.connections) {
			connection.isStalled = true;
			connection.client.pause();
			connection.server.pause();
		}
	}

	/** Resets all open connections. */
	resetConnections(): void {
		for (const {client, server} of this.connections) {
			client.resetAndDestroy();
			server.resetAndDestroy();
		}
	}

	/** Stops listening and resets all open connections. */
	stop(): void {
		this.server.close();
		this.resetConnections();
	}

	private connect(client: net.Socket): void {
		const server = net.connect(this.target);
		const connection = {client, server, isStalled: this.stallNewConnections};
		this.connections.add(connection);
		client.on('data', bytes => {
			this.cancelRequests += bytes.includes('calls.cancel') ? 1 : 0;
		});
		this.forward(connection, client, server);
		this.forward(connection, server, client);
	}

	private forward(connection: RelayedConnection, from: net.Socket, to: net.Socket): void {
		from.on('data', bytes => {
			setTimeout(() => {
				if (!connection.isStalled && !to.destroyed) {
					to.write(bytes);
				}
			}, this.delayMs);
		});
		from.on('error', () => undefined);
		from.on('close', () => {
			// A stalled connection hides from each end that the other one has closed.
			if (!connection.isStalled) {
				setTimeout(() => {
					to.destroy();
				}, this.delayMs);
				this.connections.delete(connection);
			}
		});
	}
}

function parseTarget(text: string): {host: string; port: number} {
	const [host = '', port] = text.split(':');
	return {host, port: Number(port)};
}
