/** A network with limited links and no I/O, for runs with faked time: HTTP exchanges between VMs and with the origin of weights. */
import {Buffer} from 'node:buffer';
import type http from 'node:http';
import type {PeerRequestOptions, PeerResponse} from '../../src/links/peer-client.ts';
import {RandomSource} from '../../src/runtime/random-source.ts';

/** The name of the origin's host. */
export const originHost = 'origin';

/** The size of a piece that a link sends at a time, in bytes. */
const pieceBytes = 4096;

/** How long TCP waits before it sends again what was lost in a partition, in milliseconds after the partition has healed. */
const retransmissionMs = 400;

/** Rates of the links, in bytes per second. */
export type LinkRates = {readonly origin: number; readonly vm: number; readonly region: number};

/** Handles a request at its receiver. */
export type SimulatedHandler = (req: http.IncomingMessage, res: http.ServerResponse, path: string) => Promise<void> | void;

/** A link that sends one piece after the other. */
class Link {
	bytes = 0;
	private freeAtMs = 0;

	constructor(private readonly bytesPerSecond: number) {}

	/** Returns when the last bit of a piece that is ready now leaves the link, in milliseconds. */
	send(bytes: number): number {
		this.bytes += bytes;
		this.freeAtMs = Math.max(this.freeAtMs, performance.now()) + (bytes / this.bytesPerSecond * 1000);
		return this.freeAtMs;
	}
}

/** Hosts, their regions, the links between them, and the failures of these. */
export class SimulatedNetwork {
	readonly handlers = new Map<string, SimulatedHandler>();
	readonly regions = new Map<string, string>();
	/** Whether the origin closes all connections. */
	isOriginDown = false;
	/** Whether the origin neither answers nor closes connections while it is down. */
	isOriginSilent = false;
	/** The share of datagrams that are lost. */
	datagramLoss = 0;
	/** The longest time for which a message waits at its receiver until that has processor time, in milliseconds. */
	receiverDelayMs = 0;
	readonly zones = new Map<string, string>();
	/** Zones that are cut off from all others. */
	readonly cutZones = new Set<string>();
	/** Bytes sent over the links between regions, by `from>to`. */
	private readonly links = new Map<string, Link>();
	private readonly random = new RandomSource(7);

	constructor(private readonly rates: LinkRates) {}

	/** Returns the bytes that a link has sent: `up/HOST`, `down/HOST` or `FROM>TO`. */
	sentBytes(link: string): number {
		return this.links.get(link)?.bytes ?? 0;
	}

	/** The bytes that were sent between regions. */
	get bytesBetweenRegions(): number {
		return [...this.links].filter(([name]) => name.includes('>')).reduce((sum, [, {bytes}]) => sum + bytes, 0);
	}

	/** Whether messages between two hosts are lost. */
	isCut(from: string, to: string): boolean {
		const [a, b] = [this.zones.get(from)!, this.zones.get(to)!];
		return a !== b && (this.cutZones.has(a) || this.cutZones.has(b));
	}

	/** Calls a function after a one-way latency, unless the message is lost. */
	sendDatagram(from: string, to: string, receive: () => void): void {
		if (!this.isCut(from, to) && this.random.nextInt(1000) >= this.datagramLoss * 1000) {
			this.afterLatency(from, to, () => {
				if (!this.isCut(from, to)) {
					receive();
				}
			});
		}
	}

	/** Returns the client of one host, with the methods of `PeerClient` that weight transfers use. */
	clientOf(host: string) {
		return {
			send: async (url: string, _req: unknown, options: PeerRequestOptions): Promise<PeerResponse> => this.request(host, new URL(url), options),
		};
	}

	/** Calls a function as soon as a message arrives; one that is lost in a partition is sent again. */
	afterLatency(from: string, to: string, receive: () => void): void {
		const ms = (this.regions.get(from) === this.regions.get(to) ? 1 : 2) + (this.receiverDelayMs > 0 && to !== originHost ? this.random.nextInt(this.receiverDelayMs) : 0);
		setTimeout(() => {
			this.whenConnected(from, to, receive);
		}, ms);
	}

	/** Sends a piece of a response over all links on its way; `onSent` is called when it has left the sender's link. */
	sendPiece(from: string, to: string, bytes: number, receive: () => void, onSent: () => void = () => undefined): void {
		const [a, b] = [this.regions.get(from)!, this.regions.get(to)!];
		const hops = [this.link(`up/${from}`, from === originHost ? this.rates.origin : this.rates.vm), ...(a === b ? [] : [this.link(`${a}>${b}`, this.rates.region)]), this.link(`down/${to}`, this.rates.vm)];
		const sendOn = (at: number): void => {
			const link = hops[at];
			if (link) {
				setTimeout(() => {
					if (at === 0) {
						onSent();
					}

					sendOn(at + 1);
				}, link.send(bytes) - performance.now());
			} else {
				this.afterLatency(from, to, receive);
			}
		};

		sendOn(0);
	}

	private whenConnected(from: string, to: string, receive: () => void): void {
		if (this.isCut(from, to)) {
			setTimeout(() => {
				this.whenConnected(from, to, receive);
			}, this.random.jitter(retransmissionMs));
		} else {
			receive();
		}
	}

	private link(name: string, rate: number): Link {
		const link = this.links.get(name) ?? new Link(rate);
		this.links.set(name, link);
		return link;
	}

	private async request(from: string, url: URL, {signal, timeoutMs, freshConnection}: PeerRequestOptions): Promise<PeerResponse> {
		const to = url.hostname;
		const exchange = new Exchange(this, from, to);
		return new Promise((resolve, reject) => {
			const fail = () => {
				clearTimeout(timer);
				exchange.abort();
				reject(new Error(`no response from ${to}`));
			};

			const timer = setTimeout(fail, timeoutMs);
			signal?.addEventListener('abort', fail);
			exchange.onHeaders = response => {
				clearTimeout(timer);
				resolve(response);
			};

			const deliver = () => {
				this.afterLatency(from, to, () => {
					const handler = this.handlers.get(to);
					if (to === originHost && this.isOriginDown && this.isOriginSilent) {
						return;
					}

					if (!handler || (to === originHost && this.isOriginDown)) {
						this.afterLatency(to, from, fail);
					} else if (!exchange.isAborted) {
						void handler({url: `${url.pathname}${url.search}`, socket: {remoteAddress: from, localAddress: to}} as unknown as http.IncomingMessage, exchange.res as unknown as http.ServerResponse, url.pathname);
					}
				});
			};

			if (freshConnection) {
				this.afterLatency(from, to, () => {
					this.afterLatency(to, from, deliver);
				});
			} else {
				deliver();
			}
		});
	}
}

/** One request and its response. */
class Exchange {
	isAborted = false;
	/** Called when the headers arrive. */
	onHeaders: ((response: PeerResponse) => void) | undefined;
	readonly res = new SimulatedResponse(this);
	/** The pieces in the order in which they were sent; undefined for those under way. */
	private readonly arrived: Array<Buffer | undefined> = [];
	private underWay = 0;
	private readonly waiting: Buffer[] = [];
	private isSending = false;
	private isEnding = false;
	private isEnded = false;
	/** Lets the reader of the body look for news. */
	private wake: (() => void) | undefined;

	constructor(private readonly network: SimulatedNetwork, private readonly from: string, private readonly to: string) {}

	/** Sends the headers. */
	begin(status: number, headers: Record<string, string>): void {
		this.network.afterLatency(this.to, this.from, () => {
			this.onHeaders?.({status, headers, body: this.body() as unknown as PeerResponse['body']});
		});
	}

	/** Queues bytes of the body; a connection has one piece at a time on its way out of the host, so that connections share its link evenly. */
	write(bytes: Uint8Array): void {
		for (let at = 0; at < bytes.length; at += pieceBytes) {
			this.waiting.push(Buffer.from(bytes.subarray(at, at + pieceBytes)));
		}

		this.sendNext();
	}

	end(): void {
		this.isEnding = true;
		this.finish();
	}

	/** Ends the exchange at the client; the server notices it later. */
	abort(): void {
		this.isAborted = true;
		this.waiting.length = 0;
		this.wake?.();
		this.network.afterLatency(this.from, this.to, () => {
			this.res.close();
		});
	}

	private sendNext(): void {
		const piece = this.waiting[0];
		if (!piece || this.isSending) {
			return;
		}

		this.isSending = true;
		this.waiting.shift();
		this.underWay++;
		const place = this.arrived.length;
		this.arrived.push(undefined);
		this.network.sendPiece(this.to, this.from, piece.length, () => {
			this.underWay--;
			this.arrived[place] = piece;
			this.wake?.();
			this.finish();
		}, () => {
			this.isSending = false;
			if (this.to !== originHost || !this.network.isOriginDown) {
				this.sendNext();
			} else if (!this.network.isOriginSilent) {
				this.abort();
			}
		});
	}

	private finish(): void {
		if (this.isEnding && this.waiting.length === 0 && this.underWay === 0) {
			this.isEnded = true;
			this.wake?.();
		}
	}

	private async * body(): AsyncGenerator<Buffer> {
		let at = 0;
		for (;;) {
			const piece = this.arrived[at];
			if (this.isAborted) {
				throw new Error('connection closed');
			}

			if (piece) {
				at++;
				yield piece;
			} else if (this.isEnded) {
				return;
			} else {
				await new Promise<void>(resolve => {
					this.wake = resolve;
				});
			}
		}
	}
}

/** The server's side of an exchange, with the methods of `http.ServerResponse` that the chunk server uses. */
class SimulatedResponse {
	destroyed = false;
	private readonly headers: Record<string, string> = {};

	constructor(private readonly exchange: Exchange) {}

	setHeader(name: string, value: string): void {
		this.headers[name] = value;
	}

	writeHead(status: number): void {
		this.exchange.begin(status, this.headers);
	}

	write(bytes: Uint8Array): boolean {
		this.exchange.write(bytes);
		return true;
	}

	end(text?: string): void {
		if (text !== undefined) {
			this.exchange.write(Buffer.from(text));
		}

		this.exchange.end();
	}

	close(): void {
		this.destroyed = true;
	}
}
