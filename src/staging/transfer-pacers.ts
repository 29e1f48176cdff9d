/** Limits what the transfers of a stager take of the VM's link, which also carries the calls of the engine beside it. */
import {TransferPacer} from '../rollout/transfer-pacer.ts';
import type {TransferOptions} from '../rollout/transfer-options.ts';
import {uploadBurstMs} from './stager-limits.ts';

/**
 * Creates the pacers of both directions. They share one rate, since a link may carry both directions together: with a rate of its own, each
 * could take nearly all of it, and calls would wait behind chunks.
 *
 * @param bytesPerSecond - returns the rate of uploads and downloads together
 */
export function createTransferPacers(bytesPerSecond: () => number): Pick<TransferOptions, 'upPacer' | 'downPacer'> {
	const pacer = new TransferPacer(bytesPerSecond, uploadBurstMs);
	return {upPacer: pacer, downPacer: pacer};
}
