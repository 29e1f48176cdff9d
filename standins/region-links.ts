/** Simulates the slow links between regions with TCP relays. All relays between two regions share one rate limit per direction, and a region can be partitioned. */
import net, {type AddressInfo, type Socket} from 'node:net';
import {type Buffer} from 'node:buffer';
import {parseAddress} from '../src/links/http-listener.ts';
import {TransferPacer} from '../src/rollout/transfer-pacer.ts';

/** Burst of each rate limit, in milliseconds: unused time that may be made up for after this process was not scheduled. */
const burstMs = 500;

/** The links between all regions, and the TCP relays over them. */
export class RegionLinks {
	private readonly pacerByLink = new Map<string, TransferPacer>();
	private readonly servers: net.Server[] = [];
	private readonly socketsByLink = new Map<string, Set<Socket>>();
	private readonly partitionedRegions = new Set<string>();

	/** @param bytesPerSecond - rate limit of each link and direction */
	constructor(private readonly bytesPerSecond: number) {}

	/** Number of bytes sent over each link, by `from>to`. */
	get bytes(): ReadonlyMap<string, number> {
		return new Map([...this.pacerByLink].map(([name, pacer]) => [name, pacer.bytes]));
	}

	/**
	 * Opens a TCP relay to a target in another region.
	 *
	 * @param from - region of the clients
	 * @param to - region of the target
	 * @param target - address of the target, `host:port`
	 * @returns the address of the relay; the target's own address if both regions are the same
	 */
	async openRelay(from: string, to: string, target: string): Promise<string> {
		if (from === to) {
			return target;
		}

		const address = parseAddress(target);
		const server = net.createServer(client => {
			if (this.isDisconnected(from, to)) {
				client.destroy();
				return;
			}

			const upstream = net.connect(address.port, address.host);
			this.trackSocket(from, to, client);
			this.trackSocket(from, to, upstream);
			pipePaced(client, upstream, this.getPacer(from, to));
			pipePaced(upstream, client, this.getPacer(to, from));
		});
		this.servers.push(server);
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(server.address() as AddressInfo).port}`;
	}

	/**
	 * Starts or ends a network partition between a region and all others.
	 *
	 * Starting it closes the open connections from and to the region.
	 */
	setPartitioned(region: string, isPartitioned: boolean): void {
		if (!isPartitioned) {
			this.partitionedRegions.delete(region);
			return;
		}

		this.partitionedRegions.add(region);
		for (const [name, sockets] of this.socketsByLink) {
			if (name.split('>').includes(region)) {
				for (const socket of sockets) {
					socket.destroy();
				}
			}
		}
	}

	/** Closes all relays and their connections. */
	stop(): void {
		for (const server of this.servers) {
			server.close();
		}

		for (const socket of [...this.socketsByLink.values()].flatMap(set => [...set])) {
			socket.destroy();
		}
	}

	private isDisconnected(from: string, to: string): boolean {
		return this.partitionedRegions.has(from) || this.partitionedRegions.has(to);
	}

	private getPacer(from: string, to: string): TransferPacer {
		const name = `${from}>${to}`;
		const pacer = this.pacerByLink.get(name) ?? new TransferPacer(() => this.bytesPerSecond, burstMs);
		this.pacerByLink.set(name, pacer);
		return pacer;
	}

	private trackSocket(from: string, to: string, socket: Socket): void {
		const name = `${from}>${to}`;
		const sockets = this.socketsByLink.get(name) ?? new Set();
		this.socketsByLink.set(name, sockets);
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	}
}

function pipePaced(source: Socket, target: Socket, pacer: TransferPacer): void {
	source.on('data', async (chunk: Buffer) => {
		source.pause();
		await pacer.take(chunk.length);
		if (target.destroyed || target.write(chunk)) {
			source.resume();
		} else {
			target.once('drain', () => {
				source.resume();
			});
		}
	});
	source.on('error', () => {
		target.destroy();
	});
	source.once('close', () => {
		target.destroy();
	});
	source.once('end', () => {
		target.end();
	});
}
