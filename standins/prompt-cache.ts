/** Simulates an engine's prompt prefix cache: limited capacity with LRU eviction, and change events that are delayed and partly lost. */
import {setTimeout as sleep} from 'node:timers/promises';
import {digestOf} from '../src/ids/digest.ts';

/** Number of leading characters of a prompt that form its cache key. */
const prefixChars = 64;

/** Maximum number of change events kept for readers. */
const maxEvents = 1000;

/** Options of a {@link PromptCache}. */
export type PromptCacheOptions = {
	/** Maximum number of cached prefixes, beyond which the least recently used one is evicted; 0 disables the cache. */
	readonly cachedPrefixes: number;
	/** Duration of the prefill of a prompt whose prefix is not cached, in milliseconds. */
	readonly prefillMs: number;
	/** Delay until a change event becomes visible to readers, in milliseconds. */
	readonly cacheEventLagMs: number;
	/** Every event whose sequence number is a multiple of this value is lost; 0 loses none. */
	readonly lostEventInterval: number;
};

/** A change of the cache content. */
export type CacheEvent = {readonly seq: number; readonly kind: 'added' | 'evicted'; readonly prefix: string};

/** An LRU cache of prompt prefixes that publishes its changes as numbered events. */
export class PromptCache {
	private readonly prefixes = new Set<string>();
	private readonly events: CacheEvent[] = [];
	private seq = 0;

	constructor(private readonly options: PromptCacheOptions) {}

	/** Simulates the prefill of a prompt. It takes no time if the prefix is cached; otherwise the prefix is cached afterwards. */
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
	 * Returns the visible events after a sequence number.
	 *
	 * @param after - sequence number of the last event that the reader has
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
		const {cacheEventLagMs, lostEventInterval} = this.options;
		this.seq++;
		if (lostEventInterval > 0 && this.seq % lostEventInterval === 0) {
			return;
		}

		const event = {seq: this.seq, kind, prefix};
		setTimeout(() => {
			this.events.push(event);
			this.events.splice(0, this.events.length - maxEvents);
		}, cacheEventLagMs).unref();
	}
}
