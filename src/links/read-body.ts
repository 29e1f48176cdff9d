/** Reads the bodies of requests, within the limits of their listener. */
import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import {growBody} from '../limits/take-memory.ts';
import {estimateJsonBytes} from '../limits/json-memory.ts';
import {ByteCollector} from './byte-collector.ts';
import {chunkPacer} from './chunk-pacer.ts';
import {findLimits, type LimitedRequest} from './request-limits.ts';

/** Maximum size of a request body, in bytes. */
export const maxBodyBytes = 4 * 1024 * 1024;

/** Thrown when a request body exceeds {@link maxBodyBytes}, or its values take more memory than there is. */
export class BodyTooLargeError extends Error {}

/** Thrown when there is no memory for a request body, or it arrives too slowly. */
export class BodyRefusedError extends Error {}

/**
 * Reads the text of a request body that is to be parsed as JSON.
 *
 * @throws BodyTooLargeError when the body exceeds {@link maxBodyBytes}, or its values take more memory than its listener ever has for them
 * @throws BodyRefusedError when its listener has limits, and the body has no room or arrives too slowly
 */
export async function readBody(req: http.IncomingMessage): Promise<string> {
	const body = new ByteCollector();
	const limits = findLimits(req);
	const lease = limits?.bodies.tryTake(0);
	limits?.res.once('close', () => {
		lease?.release();
	});
	return new Promise((resolve, reject) => {
		let isSettled = false;
		const fail = (err: Error) => {
			if (!isSettled) {
				body.clear();
				lease?.release();
				limits?.head.release();
				end();
				reject(err);
			}
		};

		const progress = limits?.incomplete.add(() => {
			fail(new BodyRefusedError('request body is not read any more'));
			// The response would wait for the rest of the body.
			req.destroy();
		}, performance.now());
		if (limits && progress) {
			progress.isHeadLarge = limits.head.isLarge;
		}

		const end = () => {
			isSettled = true;
			req.off('data', add);
			req.resume();
			if (progress) {
				limits?.incomplete.remove(progress);
			}
		};

		const add = (chunk: Buffer) => {
			const bytes = body.length + chunk.length;
			if (bytes > maxBodyBytes) {
				fail(new BodyTooLargeError(`request body is larger than ${maxBodyBytes} bytes`));
			} else if (limits && lease && progress && !growBody({
				budget: limits.bodies, incomplete: limits.incomplete, lease, progress,
			}, bytes)) {
				fail(new BodyRefusedError('no memory for the request body'));
			} else {
				body.push(chunk);
				progress?.record(chunk.length, performance.now());
			}
		};

		req.on('data', add);
		if (limits) {
			chunkPacer.watch(req, () => {
				req.socket.destroy();
			});
		}

		req.once('end', () => {
			const whole = body.take();
			const err = limits && takeJson(limits, whole);
			if (err) {
				fail(err);
				return;
			}

			end();
			resolve(whole.toString('utf8'));
		});
		req.once('error', fail);
		req.once('close', () => {
			fail(new Error('the client disconnected'));
		});
	});
}

/** Takes room for the values of a JSON text until the response has been sent; returns an error if there is none. */
function takeJson({json, res}: LimitedRequest, text: Buffer): Error | undefined {
	const bytes = estimateJsonBytes(text);
	const lease = json.tryTake(bytes);
	if (!lease) {
		return json.canHold(bytes) ? new BodyRefusedError('no memory for the values of the request body') : new BodyTooLargeError('the values of the request body take too much memory');
	}

	res.once('close', () => {
		lease.release();
	});
	return undefined;
}
