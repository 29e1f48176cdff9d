/** An engine's cache of prompt prefixes: limited, and with events that arrive late and with gaps. */
import {setTimeout as sleep} from 'node:timers/promises';
import {digestOf} from '../src/ids/digest.ts';

/** Length of the prefix under which a prompt is cached, in characters. */
const prefixChars = 64;

/** How many events are kept for readers. */
const maxEvents = 1000;

/** How the cache behaves. */
export type PromptCacheOptions = {
	/** Prefixes kept, the least recently used is evicted; 0 for no cache. */
	readonly cachedPrefixes: number;
	/** Time to read a prompt whose prefix is not cached, in milliseconds. */
	readonly prefillMs: number;
	/** How late events are published, in milliseconds. */
	readonly cacheEventLagMs: number;
	/** Every event whose number is a multiple of this one is lost; 0 loses none. */
	readonly lostEventInterval: number;
};

/** One change of the cache. */
export type CacheEvent = {readonly seq: number; readonly kind: 'added' | 'evicted'; readonly prefix: string};

/** Keeps prefixes. */
export class PromptCache {
	private readonly prefixes = new Set<string>();
	private readonly events: CacheEvent[] = [];
	private seq = 0;

	/** @param options - how the cache behaves */
	constructor(private readonly options: PromptCacheOptions) {}

	/**
	 * Reads a prompt: at once when its prefix is cached.
	 *
	 * @param prompt - the caller's prompt
	 */
	async read(prompt: string): Promise<void> {
		const prefix = digestOf(prompt.slice(0, prefixChars));
		if (this.prefixes.delete(prefix)) {
			this.prefixes.add(prefix);
			return;
		}

		if (this.options.prefillMs > 0) {
			await sleep(this.options.prefillMs);
		}

		this.add(prefix);
	}

	/**
	 * Returns the events after a number.
	 *
	 * @param after - the last event that the reader knows
	 */
	eventsAfter(after: number): readonly CacheEvent[] {
		return this.events.filter(({seq}) => seq > after);
	}

	private add(prefix: string): void {
		const {cachedPrefixes} = this.options;
		if (cachedPrefixes === 0 || this.prefixes.has(prefix)) {
			return;
		}

		this.prefixes.add(prefix);
		this.publish('added', prefix);
		const [oldest] = this.prefixes;
		if (this.prefixes.size > cachedPrefixes && oldest !== undefined) {
			this.prefixes.delete(oldest);
			this.publish('evicted', oldest);
		}
	}

	private publish(kind: CacheEvent['kind'], prefix: string): void {
		const {cacheEventLagMs, lostEventInterval: cacheEventGap} = this.options;
		this.seq++;
		if (cacheEventGap > 0 && this.seq % cacheEventGap === 0) {
			return;
		}

		const event = {seq: this.seq, kind, prefix};
		setTimeout(() => {
			this.events.push(event);
			this.events.splice(0, this.events.length - maxEvents);
		}, cacheEventLagMs).unref();
	}
}
