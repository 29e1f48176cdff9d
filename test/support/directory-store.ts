/** A stand-in for the platform's store: it lists what is put into it, and its watches end without an event. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {sendJson} from '../../src/links/http-listener.ts';

/** How long a watch waits, in milliseconds. */
const watchMs = 500;

type Item = {readonly key: string; readonly value: string; readonly revision: number};

/** A store on a free port of 127.0.0.1. */
export class DirectoryStore {
	private readonly items = new Map<string, Item>();
	private revision = 1;
	private readonly server = http.createServer((req, res) => {
		const {pathname, searchParams} = new URL(req.url ?? '/', 'http://store');
		const prefix = searchParams.get('prefix') ?? '';
		const items = [...this.items.values()].filter(({key}) => key.startsWith(prefix));
		if (pathname === '/v1/kv-range') {
			sendJson(res, 200, {items, more_pages: false, store_revision: this.revision});
			return;
		}

		setTimeout(() => {
			sendJson(res, 200, {events: [], store_revision: this.revision});
		}, watchMs);
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

	/** Stops. */
	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}
}
