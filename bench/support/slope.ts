/** Fits a line through measured points, to carry a cost on to sizes that one machine can't hold. */

/** One measured point. */
export type Point = {readonly size: number; readonly value: number};

/** A line `fixed + perUnit × size`, and how far the points are from it. */
export type Slope = {
	readonly fixed: number;
	readonly perUnit: number;
	/** Largest distance of a point from the line, as a share of the point's value. */
	readonly spread: number;
};

/**
 * Fits a line by least squares.
 *
 * @param points - at least three points of different size
 */
export function fitSlope(points: readonly Point[]): Slope {
	const count = points.length;
	const meanSize = points.reduce((sum, {size}) => sum + size, 0) / count;
	const meanValue = points.reduce((sum, {value}) => sum + value, 0) / count;
	const covariance = points.reduce((sum, {size, value}) => sum + ((size - meanSize) * (value - meanValue)), 0);
	const variance = points.reduce((sum, {size}) => sum + ((size - meanSize) ** 2), 0);
	const perUnit = covariance / variance;
	const fixed = meanValue - (perUnit * meanSize);
	const spread = Math.max(...points.map(({size, value}) => Math.abs(value - fixed - (perUnit * size)) / value));
	return {fixed, perUnit, spread};
}
