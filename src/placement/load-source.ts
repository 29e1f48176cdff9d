/** The interface through which placement learns the calls that other gateways have in flight. */
import type {Instance} from '../directory/directory-types.ts';
import type {InFlightCounts} from './engine-forecast.ts';
import type {UrgencyReport, YieldShares} from './urgency-pressure.ts';

/** What the counter beside an instance has answered. */
export type CounterAnswer = InFlightCounts & {
	/** The calls that should give way to more urgent ones; absent if there are none. */
	readonly yields?: YieldShares;
};

/** Returns the calls of other gateways at instances. */
export type LoadSource = {
	/**
	 * Asks for the counts at instances. Resolves within a bounded time; an instance whose count is not known then is left out.
	 *
	 * @param instances - the candidates of one call
	 * @param report - the urgency of the call, and refusals; absent if nothing is to be told
	 */
	readonly ask: (instances: readonly Instance[], report?: UrgencyReport) => Promise<ReadonlyMap<string, CounterAnswer>>;
	/**
	 * Asks an instance only to learn how long its path is. Cheap to call often, since the questions to one instance are limited in rate.
	 *
	 * @param instance - the instance at which a call waits
	 */
	readonly probe?: (instance: Instance) => void;
};
