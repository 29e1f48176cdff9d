/** The histogram that the programs use, without its WebAssembly twin and codecs, which would take 8 MB of each process. */
import int32Histogram from 'hdr-histogram-js/dist/Int32Histogram.js';

// A CommonJS module's default export may come wrapped.
const Int32Histogram = int32Histogram.default ?? int32Histogram;

/** Creates a histogram as the package's own `build` does by default. */
export function build({lowestDiscernibleValue, highestTrackableValue, numberOfSignificantValueDigits}) {
	return new Int32Histogram(lowestDiscernibleValue, highestTrackableValue, numberOfSignificantValueDigits);
}
