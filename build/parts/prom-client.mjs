/** The parts of prom-client that the programs use; its default metrics and cluster support would take 6 MB of each process. */
export {default as Counter} from 'prom-client/lib/counter.js';
export {default as Gauge} from 'prom-client/lib/gauge.js';
export {default as Registry} from 'prom-client/lib/registry.js';
