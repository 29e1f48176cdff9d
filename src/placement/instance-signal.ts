/** What an instance says of itself in the head of a response. */

/** One statement of an instance about itself. */
export type InstanceSignal =
	/** The instance shuts down and wants no further calls. */
	| {readonly kind: 'leaving'}
	/** The instance is overloaded and wants no calls from this gateway for some time; any number, also zero and negative ones. */
	| {readonly kind: 'quiet'; readonly forMs: number};
