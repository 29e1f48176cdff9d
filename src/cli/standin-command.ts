/** The hidden command `standin`: serves stand-ins of the platform, engines and plain services for development. */
import process from 'node:process';
import {EngineStandin} from '../../standins/engine.ts';
import {PlainServiceStandin} from '../../standins/plain-service.ts';
import {PlatformStandin} from '../../standins/platform.ts';
import {type ListenAddress, parseAddress} from '../links/http-listener.ts';
import {UsageError} from './usage-error.ts';

/** How the stand-ins behave, as options of the command. */
export type StandinOptions = {
	/** Time between two tokens of an engine, in milliseconds. */
	readonly tokenMs?: number;
	/** Calls that an engine runs at once. */
	readonly capacity?: number;
	/** How old an engine's reported state is, in milliseconds. */
	readonly stateLagMs?: number;
	/** Prompt prefixes that an engine keeps; 0 for no cache. */
	readonly cachedPrefixes?: number;
	/** Time that an engine takes to read a prompt that is not cached, in milliseconds. */
	readonly prefillMs?: number;
	/** Ignore fencing numbers, as some engines do. */
	readonly ignoreFence?: boolean;
	/** Time that one run of a plain service takes, in milliseconds. */
	readonly runMs?: number;
	/** The origin's rate, in bytes per second; 0 for no limit. */
	readonly originBytesPerSecond?: number;
};

type Standin = {
	readonly start: (address: ListenAddress) => Promise<ListenAddress>;
	readonly stop: () => void;
};

/** Makers of stand-ins by the name that the command line gives. */
const makers: Readonly<Record<string, ((options: StandinOptions) => Standin) | undefined>> = {
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
 * @param parts - `NAME=ADDRESS` each, such as `engine=127.0.0.1:7101`
 * @param options - how the stand-ins behave
 * @returns the exit code
 * @throws UsageError when a part names no stand-in
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
	const make = makers[name];
	if (!make) {
		throw new UsageError(`unknown stand-in ${part}; known are ${Object.keys(makers).join(', ')}`);
	}

	return {standin: make(options), address: parseAddress(address)};
}
