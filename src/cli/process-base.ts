/** What every role is built on: identity, log, random numbers, links and metrics. */
import {PeerClient} from '../links/peer-client.ts';
import {RpcDispatcher} from '../links/rpc-dispatcher.ts';
import {Metrics} from '../reports/metrics.ts';
import {createLogger, type Logger} from '../runtime/logger.ts';
import {createIdentity} from '../runtime/process-identity.ts';
import {RandomSource, randomSeed} from '../runtime/random-source.ts';
import {PauseDetector} from '../runtime/pause-detector.ts';
import type {ProcessSettings} from '../settings/settings-schema.ts';

/** The parts of every role. */
export class ProcessBase {
	readonly identity = createIdentity();
	readonly links = new PeerClient();
	readonly rpc = new RpcDispatcher();
	readonly metrics = new Metrics();
	readonly pauseDetector = new PauseDetector();
	readonly log: Logger;
	readonly random: RandomSource;

	/** @param own - the settings of the process itself */
	constructor(own: Pick<ProcessSettings['process'], 'vm' | 'log_level' | 'random_seed'>) {
		this.log = createLogger(own.vm, own.log_level);
		this.random = new RandomSource(own.random_seed ?? randomSeed());
	}
}
