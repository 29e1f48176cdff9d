/** A TCP relay that a test puts before a process, to make its connections silent, slow or broken. */
import net, {type AddressInfo} from 'node:net';

/** How the relay treats bytes; `stalled` passes none and closes nothing. */
type RelayedConnection = {readonly client: net.Socket; readonly server: net.Socket; isStalled: boolean};

/** Passes bytes between clients and one target. */
export class TcpRelay {
	/** Delay of each piece of bytes, in milliseconds. */
	delayMs = 0;
	/** Questions what became of a call that went through the relay. */
	cancelRequests = 0;
	/** Takes connections without passing any byte while true. */
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

	/** Starts to listen and returns the relay's `host:port`. */
	async start(): Promise<string> {
		await new Promise<void>(resolve => {
			this.server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	/** Stops passing bytes for good on all present connections, without closing them; new ones work. */
	stallConnections(): void {
		for (const connection of this.connections) {
			connection.isStalled = true;
			connection.client.pause();
			connection.server.pause();
		}
	}

	/** Breaks all present connections. */
	resetConnections(): void {
		for (const {client, server} of this.connections) {
			client.resetAndDestroy();
			server.resetAndDestroy();
		}
	}

	/** Breaks all connections and stops listening. */
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
			// A silent connection tells its other end nothing, not even that it was closed.
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
