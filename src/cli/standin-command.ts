/** `cactusreach standin`, a hidden command for development: serves stand-ins of the platform, engines and plain services. */
import process from 'node:process';
import {EngineStandin} from '../../standins/engine.ts';
import {PlainServiceStandin} from '../../standins/plain-service.ts';
import {PlatformStandin} from '../../standins/platform.ts';
import {type ListenAddress, parseAddress} from '../links/http-listener.ts';
import {UsageError} from './usage-error.ts';

/** The options of the command, which control how the stand-ins behave. */
export type StandinOptions = {
	/** The time between two tokens of an engine, in milliseconds. */
	readonly tokenMs?: number;
	/** The maximum number of concurrent calls of an engine. */
	readonly capacity?: number;
	/** The age of the state that an engine reports, in milliseconds. */
	readonly stateLagMs?: number;
	/** The number of prompt prefixes that an engine caches; 0 disables the cache. */
	readonly cachedPrefixes?: number;
	/** The time that an engine takes to prefill a prompt that is not cached, in milliseconds. */
	readonly prefillMs?: number;
	/** Makes engines accept orders with an old fencing number, as some real engines do. */
	readonly ignoreFence?: boolean;
	/** The duration of one run of a plain service, in milliseconds. */
	readonly runMs?: number;
	/** The rate limit of the origin, in bytes per second; 0 for no limit. */
	readonly originBytesPerSecond?: number;
};

type Standin = {
	readonly start: (address: ListenAddress) => Promise<ListenAddress>;
	readonly stop: () => void;
};

/** Functions that create a stand-in, by its name on the command line. */
const standinFactories: Readonly<Record<string, ((options: StandinOptions) => Standin) | undefined>> = {
	platform: options => new PlatformStandin({bytesPerSecond: options.originBytesPerSecond ?? 0, maxConcurrentReads: 64}),
	engine: options => new EngineStandin({
		capacity: options.capacity ?? 8,
		tokenMs: options.tokenMs ?? 5,
		checksFence: !options.ignoreFence,
		stateLagMs: options.stateLagMs ?? 0,
		cache: {cachedPrefixes: options.cachedPrefixes ?? 0, prefillMs: options.prefillMs ?? 0},
	}),
	plain: options => new PlainServiceStandin({runMs: options.runMs ?? 5}),
};

/**
 * Serves stand-ins until SIGTERM or SIGINT.
 *
 * @param parts - the stand-ins as `NAME=ADDRESS`, such as `engine=127.0.0.1:7101`
 * @returns the exit code
 * @throws UsageError if a part has an unknown name
 */
export async function standinCommand(parts: readonly string[], options: StandinOptions): Promise<number> {
	const standins = parts.map(part => createStandin(part, options));
	await Promise.all(standins.map(async ({standin, address}) => standin.start(address)));
	console.log(`stand-ins ready: ${parts.join(' ')}`);
	await new Promise<void>(resolve => {
		for (const signal of ['SIGTERM', 'SIGINT'] as const) {
			process.once(signal, () => {
				resolve();
			});
		}
	});
	for (const {standin} of standins) {
		standin.stop();
	}

	return 0;
}

function createStandin(part: string, options: StandinOptions): {standin: Standin; address: ListenAddress} {
	const [name = '', address = ''] = part.split('=');
	const factory = standinFactories[name];
	if (!factory) {
		throw new UsageError(`unknown stand-in ${part}; known are ${Object.keys(standinFactories).join(', ')}`);
	}

	return {standin: factory(options), address: parseAddress(address)};
}
