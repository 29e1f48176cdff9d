/** Linear regression over measured points, to extrapolate a cost to sizes that do not fit on one machine. */

/** One measurement. */
export type Point = {readonly size: number; readonly value: number};

/** The line `fixed + perUnit × size` and its deviation from the points. */
export type LineFit = {
	readonly fixed: number;
	readonly perUnit: number;
	/** Largest deviation of the line from a point, as a share of the point's value. */
	readonly maxRelativeError: number;
};

/**
 * Fits a line by least squares.
 *
 * @param points - at least three points with different sizes
 */
export function fitLine(points: readonly Point[]): LineFit {
	const count = points.length;
	const meanSize = points.reduce((sum, {size}) => sum + size, 0) / count;
	const meanValue = points.reduce((sum, {value}) => sum + value, 0) / count;
	const covariance = points.reduce((sum, {size, value}) => sum + ((size - meanSize) * (value - meanValue)), 0);
	const variance = points.reduce((sum, {size}) => sum + ((size - meanSize) ** 2), 0);
	const perUnit = covariance / variance;
	const fixed = meanValue - (perUnit * meanSize);
	const maxRelativeError = Math.max(...points.map(({size, value}) => Math.abs(value - fixed - (perUnit * size)) / value));
	return {fixed, perUnit, maxRelativeError};
}
