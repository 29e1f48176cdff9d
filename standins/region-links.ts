/** Stand-in for the narrow links between regions: relays that share one paced link per direction and can be cut. */
import net, {type AddressInfo, type Socket} from 'node:net';
import {type Buffer} from 'node:buffer';
import {parseAddress} from '../src/links/http-listener.ts';
import {TransferPacer} from '../src/rollout/transfer-pacer.ts';

/** Rate that a link may catch up on after the stand-in's process was not scheduled, in milliseconds. */
const burstMs = 500;

/** Relays between regions. */
export class RegionLinks {
	private readonly pacerByLink = new Map<string, TransferPacer>();
	private readonly servers: net.Server[] = [];
	private readonly socketsByLink = new Map<string, Set<Socket>>();
	private readonly partitionedRegions = new Set<string>();

	/** @param bytesPerSecond - rate of each link and direction */
	constructor(private readonly bytesPerSecond: number) {}

	/** Bytes that each link carried, by `from>to`. */
	get bytes(): ReadonlyMap<string, number> {
		return new Map([...this.pacerByLink].map(([name, pacer]) => [name, pacer.bytes]));
	}

	/**
	 * Opens a relay.
	 *
	 * @param from - the region of those who connect
	 * @param to - the region of the target
	 * @param target - the target's address, `host:port`
	 * @returns the relay's address, or the target's inside one region
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
	 * Cuts a region off or heals it.
	 *
	 * @param region - the region
	 * @param isPartitioned - whether it is cut
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

	/** Closes all relays. */
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
	source.on('data', async (part: Buffer) => {
		source.pause();
		await pacer.take(part.length);
		if (target.destroyed || target.write(part)) {
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
