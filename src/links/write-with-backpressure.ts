/** Writes to a response no faster than the client reads it. */
import type http from 'node:http';

/**
 * Writes text. If the write buffer is full, waits until it has drained or the connection is closed. Does nothing on a closed connection.
 */
export async function writeWithBackpressure(res: http.ServerResponse, text: string): Promise<void> {
	if (res.destroyed || res.write(text)) {
		return;
	}

	await new Promise<void>(resolve => {
		const done = (): void => {
			res.off('drain', done);
			res.off('close', done);
			resolve();
		};

		res.on('drain', done);
		res.on('close', done);
	});
}
