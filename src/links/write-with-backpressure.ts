/** Writes to a response no faster than its reader takes the bytes. */
import type http from 'node:http';

/**
 * Writes text and waits until the reader has taken enough of it, or is gone.
 *
 * @param res - the response
 * @param text - the text
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
