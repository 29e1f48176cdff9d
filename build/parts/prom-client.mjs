/** Subset of prom-client without the default metrics and cluster support, which would take 6 MB per process. */
export {default as Counter} from 'prom-client/lib/counter.js';
export {default as Gauge} from 'prom-client/lib/gauge.js';
export {default as Histogram} from 'prom-client/lib/histogram.js';
export {default as Registry} from 'prom-client/lib/registry.js';
