/** The interface through which placement learns the calls that other gateways have in flight. */
import type {Instance} from '../directory/directory-types.ts';
import type {InFlightCounts} from './engine-forecast.ts';

/** Returns the calls of other gateways at instances. */
export type LoadSource = {
	/**
	 * Asks for the counts at instances. Resolves within a bounded time; an instance whose count is not known then is left out.
	 *
	 * @param instances - the candidates of one call
	 */
	readonly ask: (instances: readonly Instance[]) => Promise<ReadonlyMap<string, InFlightCounts>>;
};
