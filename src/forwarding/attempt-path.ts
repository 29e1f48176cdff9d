/** What one attempt shows of the delay of the path to its instance: when the connection is established, and when the call begins. */
import type {PathDelays, PathWait} from '../placement/path-delays.ts';

/** The waits of one attempt. */
export class AttemptPath {
	private readonly connection: PathWait;
	private readonly begin: PathWait;

	/**
	 * @param paths - records the delays
	 * @param id - the ID of the instance
	 * @param predictedMs - when the call is expected to begin, in milliseconds; 0 if that is not known
	 */
	constructor(paths: PathDelays, id: string, predictedMs: number) {
		this.connection = paths.wait(id, 0);
		this.begin = paths.wait(id, predictedMs > 0 ? predictedMs : Number.POSITIVE_INFINITY);
	}

	/** Records that the connection is established, so that the call is written now. */
	markConnected(): void {
		this.connection.end();
		this.begin.keepDelay();
	}

	/** Records that the call has begun. */
	markBegun(): void {
		this.begin.endWithAnswer();
	}

	/** Ends the waits, because the attempt ends. */
	end(): void {
		this.connection.end();
		this.begin.end();
	}
}
