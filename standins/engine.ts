/** Stand-in for a model engine: an HTTP server that streams tokens derived from the weights, the adapter and the prompt, so that tests can verify them. */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {createDigest, digestOf} from '../src/ids/digest.ts';
import {
	formatAddress, type HttpHandler, HttpListener, type ListenAddress, sendJson,
} from '../src/links/http-listener.ts';
import {readBody} from '../src/links/read-body.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import type {EngineState} from '../src/orders/engine-state.ts';
import {parseManifest} from '../src/rollout/manifest.ts';
import {PromptCache, type PromptCacheOptions} from './prompt-cache.ts';
import {SlotQueue} from './slot-queue.ts';

/** Options of an {@link EngineStandin}. */
export type EngineOptions = {
	/** Maximum number of concurrent calls; further calls wait. */
	readonly capacity: number;
	/** Delay before each token, in milliseconds. */
	readonly tokenMs: number;
	/** Whether the engine rejects orders whose fencing number is lower than the highest one that it has accepted. */
	readonly checksFence: boolean;
	/** Delay with which the reported state follows the actual state, in milliseconds. */
	readonly stateLagMs: number;
	/** Options of the prompt cache; by default nothing is cached and the prefill takes no time. */
	readonly cache?: Partial<PromptCacheOptions>;
};

type Order = {fence: number; kind: string; model: string; version: string; manifest: string; adapters?: string[]; source: string};

type ServedVersion = EngineState['served'][number] & {readonly weightsDigest: string};

type GenerateBody = {model: string; version: string; adapter: string | null; prompt: string; tokens: number; resumeFrom: number; priority?: string};

/**
 * Returns the token at a position of the response.
 *
 * It depends on the weights, the adapter, the prompt and the position, so that a test detects a response that belongs to another call,
 * mixes versions or is wrong otherwise.
 *
 * @param weights - digest of the loaded weights
 * @param seq - zero-based position of the token
 */
export function expectedToken(weights: string, adapter: string | null, prompt: string, seq: number): string {
	return digestOf(`${weights}/${adapter}/${prompt}/${seq}`).slice(0, 8);
}

/** An HTTP server that speaks the protocol of a model engine. */
export class EngineStandin {
	/** All received orders, oldest first, and whether the engine accepted them. */
	readonly orders: Array<Order & {readonly wasAccepted: boolean}> = [];
	/** Base URL of the engine, set by {@link start}. */
	url = '';
	/** Token position from which responses name another version. Simulates an engine that replaces its weights during a running call. */
	wrongVersionFromSeq = Infinity;
	/** Number of accepted generate requests, including those that wait for a slot. */
	generationCount = 0;
	private readonly listener: HttpListener;
	private readonly servedByVersion = new Map<string, ServedVersion>();
	private readonly loading = new Set<string>();
	private fence = 0;
	private readonly slots: SlotQueue;
	private readonly cache: PromptCache;
	private reportedState: EngineState;

	constructor(private readonly options: EngineOptions) {
		this.slots = new SlotQueue(options.capacity);
		this.cache = new PromptCache({
			cachedPrefixes: 0, prefillMs: 0, cacheEventLagMs: 0, lostEventInterval: 0, ...options.cache,
		});
		this.reportedState = this.currentState();
		this.listener = new HttpListener({
			'POST /v1/generate': async (req, res) => this.handleGenerate(req, res, []),
			'POST /v1/orders': async (req, res) => this.handleOrder(req, res, []),
			'GET /v1/state': (req, res) => {
				this.sendState(res);
			},
			'GET /v1/cache-events': (req, res) => {
				const after = Number(new URL(req.url ?? '/', 'http://localhost').searchParams.get('after') ?? 0);
				sendJson(res, 200, {events: this.cache.eventsAfter(after)});
			},
		}, createSilentLogger());
	}

	/**
	 * Starts to listen.
	 *
	 * @param address - port 0 selects any free port
	 * @returns the address with the port in use
	 */
	async start(address: ListenAddress): Promise<ListenAddress> {
		const bound = await this.listener.start(address);
		this.url = `http://${formatAddress(bound)}`;
		return bound;
	}

	/** Stops listening and closes all connections. */
	stop(): void {
		this.listener.destroy();
	}

	/** Marks a version as served without an order, like an engine whose weights were loaded before its agent started. */
	serve(model: string, version: string, weightsDigest: string, adapters: string[] = []): void {
		this.servedByVersion.set(`${model}/${version}`, {
			model, version, manifest: weightsDigest, adapters, weightsDigest,
		});
	}

	/** Ids of the versions that are currently served. */
	get servedVersions(): string[] {
		return [...this.servedByVersion.values()].map(({version}) => version);
	}

	private currentState(): EngineState {
		return {
			// An engine that ignores fencing numbers has no number to report.
			fence: this.options.checksFence ? this.fence : 0,
			served: [...this.servedByVersion.values()].map(({model, version, manifest, adapters}) => ({
				model, version, manifest, adapters,
			})),
			running: this.slots.running,
			queued: this.slots.queued,
			capacity: this.options.capacity,
			loading: [...this.loading],
		};
	}

	private sendState(res: Parameters<HttpHandler>[1]): void {
		const state = this.currentState();
		if (this.options.stateLagMs === 0) {
			this.reportedState = state;
		} else {
			setTimeout(() => {
				this.reportedState = state;
			}, this.options.stateLagMs).unref();
		}

		sendJson(res, 200, this.reportedState);
	}

	private readonly handleOrder: HttpHandler = async (req, res) => {
		const order = JSON.parse(await readBody(req)) as Order;
		const wasAccepted = !this.options.checksFence || order.fence >= this.fence;
		this.orders.push({...order, wasAccepted});
		if (!wasAccepted) {
			sendJson(res, 409, {highest: this.fence});
			return;
		}

		this.fence = Math.max(this.fence, order.fence);
		switch (order.kind) {
			case 'load': {
				void this.loadWeights(order);

				break;
			}

			case 'unload': {
				this.servedByVersion.delete(`${order.model}/${order.version}`);

				break;
			}

			case 'load-adapter': {
				this.servedByVersion.get(`${order.model}/${order.version}`)?.adapters.push(...order.adapters ?? []);

				break;
			}
		// No default
		}

		sendJson(res, 200, {});
	};

	private async loadWeights(order: Order): Promise<void> {
		if (this.loading.has(order.manifest)) {
			return;
		}

		this.loading.add(order.manifest);
		try {
			const manifest = parseManifest(await fetchChunk(order.source, order.manifest));
			const chunks: Uint8Array[] = [];
			for (const digest of manifest.chunks) {
				chunks.push(await fetchChunk(order.source, digest));
			}

			const {model, version} = order;
			this.servedByVersion.set(`${model}/${version}`, {
				model, version, manifest: order.manifest, adapters: order.adapters ?? [], weightsDigest: digestOf(Buffer.concat(chunks)),
			});
		} catch {
			// The reported state does not list the version as served, so the agent sends its order again.
		} finally {
			this.loading.delete(order.manifest);
		}
	}

	private readonly handleGenerate: HttpHandler = async (req, res) => {
		const body = JSON.parse(await readBody(req)) as GenerateBody;
		const served = this.servedByVersion.get(`${body.model}/${body.version}`);
		if (!served || (body.adapter !== null && !served.adapters.includes(body.adapter))) {
			sendJson(res, 404, {error: 'version or adapter is not served'});
			return;
		}

		this.generationCount++;
		if (!await this.slots.acquire(body.priority ?? 'normal', res)) {
			return;
		}

		try {
			await this.cache.read(body.prompt);
			res.writeHead(200, {'content-type': 'application/x-ndjson'});
			for (let seq = body.resumeFrom; seq < body.tokens && !res.destroyed; seq++) {
				await sleep(this.options.tokenMs);
				const token = expectedToken(served.weightsDigest, body.adapter, body.prompt, seq);
				const version = seq >= this.wrongVersionFromSeq ? `${body.version}-other` : body.version;
				res.write(`${JSON.stringify({version, seq, token})}\n`);
			}

			res.end(`${JSON.stringify({version: body.version, seq: body.tokens, done: true})}\n`);
		} finally {
			this.slots.release();
		}
	};
}

async function fetchChunk(source: string, digest: string): Promise<Uint8Array> {
	const res = await request(`${source}/chunks/${createDigest(digest)}`);
	const bytes = Buffer.from(await res.body.arrayBuffer());
	if (digestOf(bytes) !== digest) {
		throw new Error(`content of chunk ${digest} does not match its digest`);
	}

	return bytes;
}
