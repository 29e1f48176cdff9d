/** Stand-in for a model engine: streams tokens that prove which weights, adapter and prompt made them. */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {createDigest, digestOf} from '../src/ids/digest.ts';
import {
	formatAddress, type HttpHandler, HttpListener, type ListenAddress, readBody, sendJson,
} from '../src/links/http-listener.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import type {EngineState} from '../src/orders/engine-state.ts';
import {parseManifest} from '../src/rollout/manifest.ts';
import {PromptCache, type PromptCacheOptions} from './prompt-cache.ts';
import {SlotQueue} from './slot-queue.ts';

/** How the engine behaves. */
export type EngineOptions = {
	/** Calls that run at once; more wait. */
	readonly capacity: number;
	/** Time between two tokens, in milliseconds. */
	readonly tokenMs: number;
	/** Whether orders with an old fencing number are refused. */
	readonly checksFence: boolean;
	/** How old the reported state is, in milliseconds. */
	readonly stateLagMs: number;
	/** The prompt cache; without it every prompt is read at once. */
	readonly cache?: Partial<PromptCacheOptions>;
};

type Order = {fence: number; kind: string; model: string; version: string; manifest: string; adapters?: string[]; source: string};

type ServedVersion = EngineState['served'][number] & {readonly weightsDigest: string};

type GenerateBody = {model: string; version: string; adapter: string | null; prompt: string; tokens: number; resumeFrom: number; priority?: string};

/**
 * Computes one token of an answer, so that a test can tell a foreign, mixed or wrong answer.
 *
 * @param weights - digest over the loaded weights
 * @param adapter - the adapter, or null
 * @param prompt - the caller's prompt
 * @param seq - position of the token
 */
export function expectedToken(weights: string, adapter: string | null, prompt: string, seq: number): string {
	return digestOf(`${weights}/${adapter}/${prompt}/${seq}`).slice(0, 8);
}

/** The engine's stand-in. */
export class EngineStandin {
	/** Orders in the order of their arrival, with whether they were obeyed. */
	readonly orders: Array<Order & {readonly wasAccepted: boolean}> = [];
	/** The engine's address, once it listens. */
	url = '';
	/** Position from which answers carry another version: a fault of an engine that swaps weights under a running call. */
	wrongVersionFromSeq = Infinity;
	/** Answers that were started. */
	generationCount = 0;
	private readonly listener: HttpListener;
	private readonly servedByVersion = new Map<string, ServedVersion>();
	private readonly loading = new Set<string>();
	private fence = 0;
	private readonly slots: SlotQueue;
	private readonly cache: PromptCache;
	private reportedState: EngineState;

	/** @param options - how the engine behaves */
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
	 * @param address - port 0 takes any free port
	 */
	async start(address: ListenAddress): Promise<ListenAddress> {
		const bound = await this.listener.start(address);
		this.url = `http://${formatAddress(bound)}`;
		return bound;
	}

	/** Closes all connections. */
	stop(): void {
		this.listener.destroy();
	}

	/**
	 * Serves a version without an order, as an engine that was loaded before its agent started.
	 *
	 * @param model - the model
	 * @param version - the version
	 * @param weightsDigest - digest over the weights
	 * @param adapters - loaded adapters
	 */
	serve(model: string, version: string, weightsDigest: string, adapters: string[] = []): void {
		this.servedByVersion.set(`${model}/${version}`, {
			model, version, manifest: weightsDigest, adapters, weightsDigest,
		});
	}

	/** Versions that are served now. */
	get servedVersions(): string[] {
		return [...this.servedByVersion.values()].map(({version}) => version);
	}

	private currentState(): EngineState {
		return {
			// An engine that ignores fencing numbers has none to report.
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
			const parts: Uint8Array[] = [];
			for (const digest of manifest.chunks) {
				parts.push(await fetchChunk(order.source, digest));
			}

			const {model, version} = order;
			this.servedByVersion.set(`${model}/${version}`, {
				model, version, manifest: order.manifest, adapters: order.adapters ?? [], weightsDigest: digestOf(Buffer.concat(parts)),
			});
		} catch {
			// The engine reports the version as not served; the agent repeats its order.
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
		throw new Error(`chunk ${digest} has other content`);
	}

	return bytes;
}
