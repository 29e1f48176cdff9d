/** Slows down uploads while packets wait at the link of this VM, since calls and their cancellations wait behind the chunks. */
import type {LinkDelay} from './link-delay.ts';
import type {TransferPacer} from './transfer-pacer.ts';
import {nextShare, slowdownRatio} from './transfer-throttle.ts';

/** The round trip over the link above which uploads are slowed down, in milliseconds. */
export const maxRoundTripMs = 100;

/** The interval between adjustments, in milliseconds. */
const adjustIntervalMs = 100;

/** Dependencies of an upload throttle. */
export type UploadThrottleOptions = {
	readonly pacer: TransferPacer;
	readonly linkDelay: LinkDelay;
	/** Returns whether there are calls that uploads have to yield to. */
	readonly hasCalls: () => boolean;
};

/** Adjusts the share of the rate that uploads may use. */
export class UploadThrottle {
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: UploadThrottleOptions) {}

	/** Starts to adjust the share periodically. */
	start(): void {
		this.timer = setInterval(() => {
			this.adjustShare();
		}, adjustIntervalMs);
		this.timer.unref();
	}

	/** Stops the adjustment; the pacer keeps its current share. */
	stop(): void {
		clearInterval(this.timer);
	}

	private adjustShare(): void {
		const {pacer, linkDelay, hasCalls} = this.options;
		pacer.share = hasCalls() ? nextShare(pacer.share, linkDelay.currentMs, maxRoundTripMs / slowdownRatio) : 1;
	}
}
