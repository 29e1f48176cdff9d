/** A TCP relay on loopback whose faults are switched from outside: delays, resets, silence in one or both directions. */
import net, {type AddressInfo} from 'node:net';

/** Where data goes: `up` to the target, `down` to the one that connected. */
type Direction = 'up' | 'down';

/** One direction of a connection: what is delayed, in order, and when the last of it is due. */
type Pipe = {readonly direction: Direction; readonly delayed: Array<() => void>; dueAtMs: number};

type Pair = {readonly client: net.Socket; readonly target: net.Socket};

/** Forwards connections to one target; an end and a reset of one side are passed on as such. */
export class FaultRelay {
	/** Delay of what is forwarded, in milliseconds. */
	delayMs = 0;
	private readonly silent = new Set<Direction>();
	private held: Array<{readonly pipe: Pipe; readonly act: () => void}> = [];
	private readonly pairs = new Set<Pair>();
	private readonly server: net.Server;

	/** @param target - address of the target */
	constructor(private readonly target: {readonly host: string; readonly port: number}) {
		this.server = net.createServer({allowHalfOpen: true}, client => {
			this.connect(client);
		});
	}

	/** The address, once {@link start} has returned. */
	get address(): string {
		const {address, port} = this.server.address() as AddressInfo;
		return `${address}:${port}`;
	}

	/** Starts to listen. */
	async start(host: string, port = 0): Promise<void> {
		await new Promise<void>(resolve => {
			this.server.listen(port, host, resolve);
		});
	}

	/** Holds back what is sent in the given directions until it is called with others; then it is forwarded in order. */
	setSilent(directions: readonly Direction[]): void {
		this.silent.clear();
		for (const direction of directions) {
			this.silent.add(direction);
		}

		const {held} = this;
		this.held = [];
		for (const {pipe, act} of held) {
			this.forward(pipe, act);
		}
	}

	/** Resets all open connections. */
	reset(): void {
		for (const {client, target} of this.pairs) {
			client.resetAndDestroy();
			target.resetAndDestroy();
		}
	}

	/** Stops listening and resets all open connections. */
	stop(): void {
		this.server.close();
		this.reset();
	}

	private connect(client: net.Socket): void {
		const target = net.connect({...this.target, allowHalfOpen: true});
		const pair = {client, target};
		this.pairs.add(pair);
		this.pipe('up', client, target);
		this.pipe('down', target, client);
		target.on('close', () => {
			this.pairs.delete(pair);
		});
	}

	private pipe(direction: Direction, from: net.Socket, to: net.Socket): void {
		const pipe: Pipe = {direction, delayed: [], dueAtMs: 0};
		from.on('data', bytes => {
			this.forward(pipe, () => {
				to.write(bytes);
			});
		});
		from.on('error', () => {
			this.forward(pipe, () => {
				to.resetAndDestroy();
			});
		});
		for (const event of ['end', 'close']) {
			from.on(event, () => {
				this.forward(pipe, () => {
					to.end();
				});
			});
		}
	}

	private forward(pipe: Pipe, act: () => void): void {
		if (this.silent.has(pipe.direction)) {
			this.held.push({pipe, act});
			return;
		}

		// What is delayed stays in order when the delay changes.
		const nowMs = performance.now();
		pipe.dueAtMs = Math.max(pipe.dueAtMs, nowMs + this.delayMs);
		if (pipe.dueAtMs > nowMs || pipe.delayed.length > 0) {
			pipe.delayed.push(act);
			setTimeout(() => {
				pipe.delayed.shift()?.();
			}, pipe.dueAtMs - nowMs);
		} else {
			act();
		}
	}
}
