/** Subset of hdr-histogram-js without the WebAssembly histogram and the codecs, which would take 8 MB per process. */
import int32Histogram from 'hdr-histogram-js/dist/Int32Histogram.js';

// Interop may wrap the default export of a CommonJS module.
const Int32Histogram = int32Histogram.default ?? int32Histogram;

/** Creates a histogram as the package's `build` does by default. */
export function build({lowestDiscernibleValue, highestTrackableValue, numberOfSignificantValueDigits}) {
	return new Int32Histogram(lowestDiscernibleValue, highestTrackableValue, numberOfSignificantValueDigits);
}
