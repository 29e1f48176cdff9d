/** Shares the descriptors and the memory of a gateway among its listeners and the calls that it forwards. */
import type {ConnectionLimits} from '../links/connection-limit.ts';

/** Descriptors that are kept for files. */
const fileDescriptors = 200;

/** Shares of the other descriptors. What is left is for connections to peers, to the store and to probed instances. */
const descriptorShares = {
	callers: 0.5, control: 0.1, readiness: 0.02, calls: 0.25,
};

/** Connections of callers, and forwarded calls, for each megabyte of memory. */
const callersPerMegabyte = 8;
const callsPerMegabyte = 4;

/** Share of the memory that incomplete heads may take at the listener for callers and at each other one. */
const headShares = {callers: 0.04, other: 0.01};

const bytesPerMegabyte = 1_000_000;

/** What a process may have open. */
export type ProcessLimits = {
	readonly callers: ConnectionLimits;
	readonly control: ConnectionLimits;
	readonly readiness: ConnectionLimits;
	/** Calls that are forwarded at a time; each has a connection to an instance. */
	readonly openCalls: number;
};

/** Returns the limits for a memory limit in megabytes and a number of descriptors. */
export function processLimitsFor(memoryMb: number, maxDescriptors: number): ProcessLimits {
	const descriptors = Math.max(fileDescriptors, maxDescriptors - fileDescriptors);
	const share = (name: keyof typeof descriptorShares, most = Number.POSITIVE_INFINITY) => Math.max(1, Math.floor(Math.min(descriptors * descriptorShares[name], most)));
	const headBytes = (name: keyof typeof headShares) => memoryMb * bytesPerMegabyte * headShares[name];
	return {
		callers: {maxConnections: share('callers', memoryMb * callersPerMegabyte), headBytes: headBytes('callers')},
		control: {maxConnections: share('control'), headBytes: headBytes('other')},
		readiness: {maxConnections: share('readiness'), headBytes: headBytes('other')},
		openCalls: share('calls', memoryMb * callsPerMegabyte),
	};
}
