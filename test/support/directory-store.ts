/** A stand-in for the platform's store: it lists what is put into it, and its watches tell what was put or removed. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {storeEraHeader} from '../../platform/store-source.ts';
import {sendJson} from '../../src/links/http-listener.ts';

/** How long a watch waits, in milliseconds. */
const watchMs = 500;

type Item = {readonly key: string; readonly value?: string; readonly tombstone?: true; readonly revision: number};

const historyGoneStatus = 410;

/** Whether the store answers, turns its callers away with 503, or leaves them without an answer. */
type StoreMode = 'answering' | 'refusing' | 'silent';

/** A store on a free port of 127.0.0.1. */
export class DirectoryStore {
	mode: StoreMode = 'answering';
	era = 0;
	private readonly items = new Map<string, Item>();
	private revision = 1;
	private readonly server = http.createServer((req, res) => {
		res.setHeader(storeEraHeader, this.era);
		if (this.mode === 'refusing') {
			sendJson(res, 503, {});
		} else if (this.mode === 'answering') {
			this.answer(new URL(req.url ?? '/', 'http://store'), res);
		}
	});

	/** The address, once {@link start} has returned. */
	get address(): string {
		return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	/** Starts to listen. */
	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.server.listen(0, '127.0.0.1', resolve);
		});
	}

	/** Puts a value in place of the one before. */
	put(key: string, value: unknown): void {
		this.revision++;
		this.items.set(key, {key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision: this.revision});
	}

	/** Removes a value. */
	remove(key: string): void {
		this.revision++;
		this.items.set(key, {key, tombstone: true, revision: this.revision});
	}

	/** Returns what the store holds now, for {@link comeBackFrom}. */
	copy(): {readonly revision: number; readonly items: ReadonlyMap<string, Item>} {
		return {revision: this.revision, items: new Map(this.items)};
	}

	/** Comes back from a copy: what was written since is gone, its revisions are given out again, and the era rises. */
	comeBackFrom({revision, items}: ReturnType<DirectoryStore['copy']>): void {
		this.era++;
		this.revision = revision;
		this.items.clear();
		for (const [key, item] of items) {
			this.items.set(key, item);
		}
	}

	/** Stops. */
	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private answer({pathname, searchParams}: URL, res: http.ServerResponse): void {
		const prefix = searchParams.get('prefix') ?? '';
		const items = [...this.items.values()].filter(({key}) => key.startsWith(prefix));
		if (pathname === '/v1/kv-range') {
			sendJson(res, 200, {items: items.filter(({tombstone}) => !tombstone), more_pages: false, store_revision: this.revision});
			return;
		}

		const after = Number(searchParams.get('after'));
		if (after > this.revision) {
			sendJson(res, historyGoneStatus, {});
			return;
		}

		const events = items.filter(({revision}) => revision > after);
		const {revision} = this;
		setTimeout(() => {
			sendJson(res, 200, {events, store_revision: revision});
		}, events.length > 0 ? 0 : watchMs);
	}
}
