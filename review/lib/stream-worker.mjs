/** Stand-in for a model worker. Its answers have chunks, or neither a length nor chunks and end with their channel. */
import net from 'node:net';

/** Starts on a loopback address and writes the events of each stream at a fixed pace. */
export class StreamWorker {
	/** What each request got, by its id: events made, and whether the whole answer was sent in order. */
	runs = new Map();
	isGarbling = false;

	/**
	 * @param options - the number of events of a stream, the pause before each, the worker's id in the store, and which answers have no chunks:
	 * every `unframedEvery`-th while the worker is garbling, counted together with the workers that share `counter`
	 */
	constructor({
		id, events, pauseMs, unframedEvery = Number.POSITIVE_INFINITY, counter = {answers: 0},
	}) {
		Object.assign(this, {
			id, events, pauseMs, unframedEvery, counter,
		});
		this.server = net.createServer(socket => {
			this.serve(socket);
		});
	}

	async start(host) {
		await new Promise(resolve => {
			this.server.listen(0, host, resolve);
		});
		this.address = `${host}:${this.server.address().port}`;
	}

	close() {
		this.server.close();
	}

	serve(socket) {
		let text = '';
		let hasBegun = false;
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('data', bytes => {
			text += bytes.toString('latin1');
			const at = text.indexOf('\r\n\r\n');
			if (!hasBegun && at !== -1 && text.length - at - 4 >= Number(/^content-length: (\d+)/im.exec(text)?.[1] ?? 0)) {
				hasBegun = true;
				this.answer(socket, text.slice(0, at));
			}
		});
	}

	async answer(socket, head) {
		const header = name => new RegExp(`^${name}: (.*)$`, 'im').exec(head)?.[1];
		const id = header('attempt-id');
		if (header('expect-instance') !== this.id) {
			socket.end('HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n');
			return;
		}

		const run = {made: 0, isComplete: false};
		this.runs.set(id, run);
		this.counter.answers += this.isGarbling ? 1 : 0;
		const hasChunks = !this.isGarbling || this.counter.answers % this.unframedEvery !== 0;
		const from = Number(header('last-event-id') ?? 0);
		const framing = hasChunks ? 'Transfer-Encoding: chunked\r\n' : '';
		socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: 3e1b.07.${id}\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n${framing}Connection: close\r\n\r\n`);
		for (let number = from + 1; number <= this.events; number++) {
			await new Promise(resolve => {
				setTimeout(resolve, this.pauseMs);
			});
			if (socket.destroyed) {
				return;
			}

			run.made = number;
			const event = `id: ${number}\ndata: token ${number} of ${id}\n\n`;
			socket.write(hasChunks ? `${event.length.toString(16)}\r\n${event}\r\n` : event);
		}

		run.isComplete = true;
		socket.end(hasChunks ? '0\r\n\r\n' : '');
	}
}

/** Returns the ids of the events in the body of a stream, and whether its last event is whole. */
export function readEvents(body) {
	return {ids: [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id)), isLastWhole: body === '' || body.endsWith('\n\n')};
}

/**
 * Returns what the rule ORDER finds in an answer: a stream that ends as complete before its last event.
 *
 * An answer without a length and chunks is complete when its channel is closed in order; a reset shows that it is not.
 */
export function findEarlyEnd(answer, events) {
	const {ids, isLastWhole} = readEvents(answer.body);
	const looksComplete = answer.status === 200 && (answer.end === 'complete' || answer.end === 'closed') && isLastWhole;
	return looksComplete && ids.length < events ? `${ids.length} of ${events} events, then the answer ended as complete (${answer.end})` : undefined;
}
