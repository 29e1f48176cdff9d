/** Shared components of all roles: identity, logger, random numbers, client and RPC dispatcher, metrics, and pause detection. */
import {PeerClient} from '../links/peer-client.ts';
import {RpcDispatcher} from '../links/rpc-dispatcher.ts';
import {Metrics} from '../reports/metrics.ts';
import {createLogger, type Logger} from '../runtime/logger.ts';
import {setFailureHooks} from '../runtime/process-failure.ts';
import {createIdentity} from '../runtime/process-identity.ts';
import {RandomSource, randomSeed} from '../runtime/random-source.ts';
import {PauseDetector} from '../runtime/pause-detector.ts';
import type {ProcessSettings} from '../settings/settings-schema.ts';

/** The components that every role has. */
export class ProcessBase {
	readonly identity = createIdentity();
	readonly rpc = new RpcDispatcher();
	readonly metrics = new Metrics();
	readonly pauseDetector = new PauseDetector();
	readonly links = new PeerClient(this.pauseDetector);
	readonly log: Logger;
	readonly random: RandomSource;

	/** @param processSettings - the section `process` of the settings */
	constructor(processSettings: Pick<ProcessSettings['process'], 'vm' | 'log_level' | 'random_seed'>) {
		this.log = createLogger(processSettings.vm, processSettings.log_level);
		setFailureHooks({log: this.log});
		this.random = new RandomSource(processSettings.random_seed ?? randomSeed());
	}
}
