/** Remembers when requests were sent by datagram: what an answer tells was true after its request was sent, however late the answer arrives. */
import type {RandomSource} from '../runtime/random-source.ts';

/** Number of requests that are remembered; at about one a second, later answers are of no use. */
const maxRequests = 16;

/** Upper bound of the first number; an answer to a request from before a restart has another one than those since. */
const maxFirstNumber = 2 ** 31;

/** Numbers requests, and finds the request of an answer. */
export class SyncRequests {
	private lastNumber: number;
	private readonly sent = new Map<number, {readonly address: string; readonly sentMs: number}>();

	/** @param random - chooses the first number */
	constructor(random: RandomSource) {
		this.lastNumber = random.nextInt(maxFirstNumber);
	}

	/**
	 * Records a request that is about to be sent.
	 *
	 * @param address - the control address of the process that it is sent to
	 * @param sentMs - the time, by the clock of the answer's reader
	 * @returns the number of the request
	 */
	add(address: string, sentMs: number): number {
		this.lastNumber++;
		this.sent.set(this.lastNumber, {address, sentMs});
		this.sent.delete(this.lastNumber - maxRequests);
		return this.lastNumber;
	}

	/** Returns when the request was sent that an answer names; undefined if this process did not send it to that address lately. */
	findSentMs(address: string, number: number): number | undefined {
		const request = this.sent.get(number);
		return request?.address === address ? request.sentMs : undefined;
	}
}
