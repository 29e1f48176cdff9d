/** Settings that say what a process may take of its machine; every role has them in its section `limits`. */
import {positiveAmount} from './amounts.ts';

/** Keys of the section `limits`. */
export const machineLimits = {
	/** Memory limit of the process, in megabytes; what clients may make it keep is a share of it. */
	memory_mb: positiveAmount(350),
	/** Descriptors that the process may have open, of which some are kept for files. */
	max_descriptors: positiveAmount(4096),
};
