/** Stand-in for a plain worker. A share of its answers may be bytes that are not a response. */
import net from 'node:net';

/** Answers each request after some work, on a channel that it closes when asked to. */
export class DeskWorker {
	/** The ids of the requests that ran. */
	ran = new Set();
	requests = 0;
	spoilt = 0;
	isGarbling = false;

	/**
	 * @param options - the worker's id in the store, the time of a run, and which answers are spoilt: every `spoilsEvery`-th
	 */
	constructor({id, workMs, spoilsEvery = Number.POSITIVE_INFINITY}) {
		Object.assign(this, {id, workMs, spoilsEvery});
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

	answer(socket, head) {
		const id = /^attempt-id: (.*)$/im.exec(head)?.[1];
		this.ran.add(id);
		this.requests++;
		const isSpoilt = this.isGarbling && this.requests % this.spoilsEvery === 0;
		const body = `run of ${id}`.padEnd(800, '.');
		const answer = [
			'HTTP/1.1 200 OK', `Attempt-Id: ${id}`, `Response-Seal: 3e1b.07.${id}`, 'Instance-Load: 1,0,6', `Content-Length: ${body.length}`, 'Connection: close', '', body,
		].join('\r\n');
		setTimeout(() => {
			socket.end(isSpoilt ? this.spoil(answer) : answer);
		}, this.workMs);
	}

	/** Returns the answer with one wrong byte, by turns the first digit of the status and a hyphen in the name of a header. */
	spoil(answer) {
		this.spoilt++;
		return this.spoilt % 2 === 0 ? answer.replace('Instance-Load', 'Instance Load') : answer.replace('200 OK', '000 OK');
	}
}
