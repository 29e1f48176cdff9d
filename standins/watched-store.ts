/** A stand-in for the platform's store whose watches report changes, with a bounded history and with faults that are switched from outside. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {storeEraHeader} from '../platform/store-source.ts';
import {storePaths} from '../platform/wire-names.ts';
import {sendJson} from '../src/links/http-listener.ts';
import {RandomSource} from '../src/runtime/random-source.ts';

type Item = {readonly key: string; readonly value?: string; readonly revision: number; readonly tombstone?: true};

/** What a store held at one time. */
export type StoreCopy = {readonly revision: number; readonly items: readonly Item[]; readonly history: readonly Item[]};

/** A request that waits, for a change or for the end of a silence. */
type Waiting = {readonly answer: () => boolean};

const percent = 100;
const turnAwayStatuses = [503, 429] as const;
const historyGoneStatus = 410;

/** A store on a port of one loopback address. */
export class WatchedStore {
	/** Share of the requests that are turned away with 503 or 429, in percent. */
	turnedAwayPercent = 0;
	/** Called with the number of turned away requests so far. */
	turnedAway = 0;
	private revision = 1;
	private era = 0;
	private forgottenUntil = 0;
	private isSilent = false;
	private readonly items = new Map<string, Item>();
	private history: Item[] = [];
	private readonly waiting = new Set<Waiting>();
	private readonly random: RandomSource;
	private readonly server = http.createServer((req, res) => {
		this.handle(req, res);
	});

	/** @param seed - decides which requests are turned away */
	constructor(seed: number) {
		this.random = new RandomSource(seed);
	}

	/** The address, once {@link start} has returned. */
	get address(): string {
		const {address, port} = this.server.address() as AddressInfo;
		return `${address}:${port}`;
	}

	/** Starts to listen on a free port. */
	async start(host: string): Promise<void> {
		await new Promise<void>(resolve => {
			this.server.listen(0, host, resolve);
		});
	}

	/** Puts a value in place of the one before. */
	put(key: string, value: unknown): void {
		this.change({key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision: ++this.revision});
	}

	/** Removes an entry, as an owner does or a lease that lapses. */
	remove(key: string): void {
		this.change({key, revision: ++this.revision, tombstone: true});
	}

	/** Answers watches from before now with 410. */
	forgetHistory(): void {
		this.revision++;
		this.forgottenUntil = this.revision;
		this.history = [];
		this.answerWaiting();
	}

	/** Returns what the store holds now. */
	copy(): StoreCopy {
		return {revision: this.revision, items: [...this.items.values()], history: [...this.history]};
	}

	/** Comes back from a copy: what was written since is gone, its revisions are given out again, and the era rises. */
	comeBackFrom({revision, items, history}: StoreCopy): void {
		this.era++;
		this.revision = revision;
		this.items.clear();
		for (const item of items) {
			this.items.set(item.key, item);
		}

		this.history = [...history];
		this.answerWaiting();
	}

	/** Writes all entries again with the values that they have, as heartbeats do. */
	renew(): void {
		for (const item of this.items.values()) {
			this.change({...item, revision: ++this.revision});
		}
	}

	/** Writes again what the store held before it came back from a copy, as its writers do, unless they have written the key since. */
	writeAgain(before: StoreCopy, copy: StoreCopy): void {
		const written = new Set(this.history.filter(({revision}) => revision > copy.revision).map(({key}) => key));
		const held = new Set(before.items.map(({key}) => key));
		for (const item of before.items.filter(({key}) => !written.has(key))) {
			this.change({...item, revision: ++this.revision});
		}

		for (const {key} of copy.items.filter(({key}) => !held.has(key) && !written.has(key))) {
			this.remove(key);
		}
	}

	/** Answers no request until it is called with false; those that came until then are answered at that time. */
	setSilent(isSilent: boolean): void {
		this.isSilent = isSilent;
		this.answerWaiting();
	}

	/** Stops. */
	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private change(item: Item): void {
		this.history.push(item);
		if (item.tombstone) {
			this.items.delete(item.key);
		} else {
			this.items.set(item.key, item);
		}

		this.answerWaiting();
	}

	private answerWaiting(): void {
		for (const waiting of this.waiting) {
			if (!this.isSilent && waiting.answer()) {
				this.waiting.delete(waiting);
			}
		}
	}

	private handle(req: http.IncomingMessage, res: http.ServerResponse): void {
		res.setHeader(storeEraHeader, this.era);
		if (this.random.nextInt(percent) < this.turnedAwayPercent) {
			this.turnedAway++;
			sendJson(res, turnAwayStatuses[this.random.nextInt(turnAwayStatuses.length)]!, {});
			return;
		}

		const {pathname, searchParams} = new URL(req.url ?? '/', 'http://store');
		const prefix = searchParams.get('prefix') ?? '';
		const endsAtMs = performance.now() + Number(searchParams.get('wait_ms') ?? 0);
		const answer = pathname === storePaths.range
			? () => this.answerRange(res, prefix)
			: () => this.answerWatch(res, prefix, {after: Number(searchParams.get('after')), endsAtMs});
		const waiting = {answer};
		if (!this.isSilent && answer()) {
			return;
		}

		this.waiting.add(waiting);
		setTimeout(() => {
			if (!this.isSilent && this.waiting.has(waiting) && answer()) {
				this.waiting.delete(waiting);
			}
		}, endsAtMs - performance.now() + 1);
		res.on('close', () => {
			this.waiting.delete(waiting);
		});
	}

	private answerRange(res: http.ServerResponse, prefix: string): boolean {
		res.setHeader(storeEraHeader, this.era);
		sendJson(res, 200, {items: [...this.items.values()].filter(({key}) => key.startsWith(prefix)), more_pages: false, store_revision: this.revision});
		return true;
	}

	private answerWatch(res: http.ServerResponse, prefix: string, {after, endsAtMs}: {readonly after: number; readonly endsAtMs: number}): boolean {
		res.setHeader(storeEraHeader, this.era);
		if (after < this.forgottenUntil || after > this.revision) {
			sendJson(res, historyGoneStatus, {});
			return true;
		}

		const events = this.history.filter(({key, revision}) => revision > after && key.startsWith(prefix));
		const isDue = events.length > 0 || performance.now() >= endsAtMs;
		if (isDue) {
			sendJson(res, 200, {events, store_revision: this.revision});
		}

		return isDue;
	}
}
