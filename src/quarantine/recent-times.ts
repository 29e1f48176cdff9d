/** The latest time of something for a bounded number of keys; the least recently updated ones are dropped first. */
export class RecentTimes<Key> {
	private readonly times = new Map<Key, number>();

	/** @param capacity - maximum number of keys */
	constructor(private readonly capacity: number) {}

	/** Returns the latest time of a key; undefined if it is not known. */
	get(key: Key): number | undefined {
		return this.times.get(key);
	}

	/** Records a time, unless a later one is known. */
	record(key: Key, atMs: number): void {
		if (atMs <= (this.times.get(key) ?? Number.NEGATIVE_INFINITY)) {
			return;
		}

		this.times.delete(key);
		this.times.set(key, atMs);
		if (this.times.size > this.capacity) {
			this.times.delete(this.times.keys().next().value!);
		}
	}
}
