/** The agent role: the process that runs next to one upstream. */
import {AgentCallHandler} from '../calls/agent-call-handler.ts';
import {CallLedger} from '../calls/call-ledger.ts';
import {Drain} from '../calls/drain.ts';
import {EngineUpstream} from '../calls/engine-upstream.ts';
import {PlainUpstream} from '../calls/plain-upstream.ts';
import type {Upstream} from '../calls/upstream.ts';
import {formatAddress, type HttpHandler, HttpListener} from '../links/http-listener.ts';
import type {AgentReport} from '../messages/agent-report.ts';
import {callsPath} from '../messages/call-request.ts';
import {callsCancelMethod, callsCancelParamsSchema} from '../messages/calls-cancel.ts';
import {rolloutHaveMethod, rolloutHaveParamsSchema} from '../messages/rollout-have.ts';
import {LeaveNotifier} from '../membership/leave-notifier.ts';
import {OrderManager} from '../orders/order-manager.ts';
import {isQueueFull} from '../limits/is-queue-full.ts';
import {processLimitsFor} from '../limits/process-limits.ts';
import {SelfCheck} from '../orders/self-check.ts';
import {addListenerMetrics} from '../reports/client-metrics.ts';
import {createControlRoutes} from '../reports/control-routes.ts';
import {addRolloutMetrics} from '../reports/rollout-metrics.ts';
import {ChunkStore} from '../rollout/chunk-store.ts';
import {TransferThrottle} from '../rollout/transfer-throttle.ts';
import {RolloutManager} from '../rollout/rollout-manager.ts';
import {TransferNode} from '../rollout/transfer-node.ts';
import {defaultNoticeBytesPerSecond, defaultNoticeIntervalMs, type TransferOptions} from '../rollout/transfer-options.ts';
import {TransferPacer} from '../rollout/transfer-pacer.ts';
import {bufferGarbage} from '../runtime/buffer-garbage.ts';
import type {AgentSettings} from '../settings/settings-schema.ts';
import {EntryAgentBase, type RunningProcess} from './entry-agent-base.ts';

/** The interval at which expired call records are deleted, in milliseconds. */
const sweepIntervalMs = 10_000;

/**
 * Starts an agent.
 *
 * @param settings - the validated settings
 */
export async function startAgent(settings: AgentSettings): Promise<RunningProcess> {
	const agent = new AgentProcess(settings);
	await agent.start();
	return agent;
}

/** Creates, connects, starts and stops the components of an agent. */
class AgentProcess implements RunningProcess {
	private readonly base: EntryAgentBase;
	private readonly ledger: CallLedger;
	private readonly chunks = new ChunkStore();
	private readonly orders: OrderManager | undefined;
	private readonly rollout: RolloutManager | undefined;
	private readonly upPacer: TransferPacer;
	private readonly downPacer: TransferPacer;
	private readonly transferThrottle: TransferThrottle;
	private readonly calls: AgentCallHandler;
	private readonly control: HttpListener;
	private readonly leaveNotifier: LeaveNotifier;
	private readonly shutdown: Drain;
	private leaveNoticeSent: Promise<void> = Promise.resolve();
	private sweepTimer: NodeJS.Timeout | undefined;

	constructor(private readonly settings: AgentSettings) {
		bufferGarbage.enable();
		this.base = new EntryAgentBase(settings);
		const {log, identity, pauseDetector} = this.base;
		pauseDetector.onResume(() => {
			this.rollout?.node.wake();
		});
		const limits = processLimitsFor(settings.limits.memory_mb, settings.limits.max_descriptors);
		this.ledger = new CallLedger({incarnation: identity.incarnation, maxRecords: settings.limits.call_records, maxBytes: limits.recordBytes});
		const linkRate = () => settings.transfer.link_bytes_per_second * this.base.store.transferLimits().link_share;
		this.upPacer = new TransferPacer(linkRate);
		this.downPacer = new TransferPacer(linkRate);
		this.transferThrottle = new TransferThrottle({
			pacers: [this.upPacer, this.downPacer], isTransferring: () => this.rollout?.node.isTransferring ?? false,
		});
		if (settings.upstream.kind === 'engine') {
			this.orders = this.createOrders();
			this.rollout = this.createRollout(this.orders);
		}

		this.calls = new AgentCallHandler({
			ledger: this.ledger,
			upstream: this.createUpstream(),
			log,
			incarnation: identity.incarnation,
			service: settings.upstream.service,
			isDraining: () => this.isLeaving(),
			beforeForward() {
				pauseDetector.check();
			},
			isOverloaded: running => isQueueFull(running, this.report().capacity),
		});
		this.leaveNotifier = new LeaveNotifier(this.base.links, this.base.rpc, () => this.report());
		this.base.membership.onLeaveRequest(() => {
			void this.leaveNotifier.send();
		});
		this.control = new HttpListener(this.createRoutes(), log, limits.agent);
		addListenerMetrics(this.base.metrics, {control: this.control});
		this.shutdown = this.createDrain();
	}

	async start(): Promise<void> {
		await this.control.start(this.settings.listen.control);
		await this.base.start();
		await this.orders?.start();
		this.rollout?.start();
		this.transferThrottle.start();
		this.sweepTimer = setInterval(() => {
			this.ledger.sweep();
		}, sweepIntervalMs);
		this.sweepTimer.unref();
		this.base.log.info({event: 'agent_started', control: formatAddress(this.settings.listen.control)}, 'agent started');
	}

	async drain(): Promise<void> {
		const drained = this.shutdown.run();
		// The drain has started, so the report in the notice already has the state `draining`.
		this.leaveNoticeSent = this.leaveNotifier.send();
		await drained;
	}

	private isLeaving(): boolean {
		return this.shutdown.isDraining || this.base.membership.isLeaving;
	}

	private createDrain(): Drain {
		return new Drain({
			log: this.base.log,
			noticeMs: 0,
			openCalls: () => this.calls.runningCalls,
			refuseNewCalls() {
				// The call handler itself checks `isLeaving` before it forwards a call.
			},
			closeListeners: async () => this.control.drain(),
			stopParts: async () => this.stopParts(),
		});
	}

	private async stopParts(): Promise<void> {
		await this.leaveNoticeSent;
		clearInterval(this.sweepTimer);
		this.rollout?.stop();
		this.transferThrottle.stop();
		this.orders?.stop();
		await this.base.stop();
	}

	private createOrders(): OrderManager {
		const {store, links, log, identity, pauseDetector, membership} = this.base;
		const ownAddress = formatAddress(this.settings.listen.control);
		const selfCheck = new SelfCheck({
			membership, links, ownAddress, vm: this.settings.process.vm, incarnation: identity.incarnation,
		});
		return new OrderManager({
			store,
			links,
			log,
			pauseDetector,
			engineUrl: this.settings.upstream.address,
			ownAddress,
			selfCheck: async () => selfCheck.run(),
			startedAtMs: identity.startedAtMs,
			runningByVersion: () => this.calls.runningByVersion,
		});
	}

	private createRollout(orders: OrderManager): RolloutManager {
		const {store, random, log} = this.base;
		return new RolloutManager({
			store, random, log, orders, createNode: onHeld => new TransferNode(this.transferOptions(), onHeld),
		});
	}

	private transferOptions(): TransferOptions {
		const {store, links, random, log, membership, pauseDetector} = this.base;
		const {process, transfer, platform, upstream} = this.settings;
		return {
			self: {vm: process.vm, region: process.region},
			peers: () => membership.upstreamsOf(upstream.service),
			links,
			chunks: this.chunks,
			upPacer: this.upPacer,
			downPacer: this.downPacer,
			originUrl: platform.origin,
			random,
			clock: pauseDetector,
			log,
			limits: () => store.transferLimits(),
			memoryBytes: transfer.memory_bytes,
			noticeBytesPerSecond: defaultNoticeBytesPerSecond,
			noticeIntervalMs: defaultNoticeIntervalMs,
		};
	}

	private createUpstream(): Upstream {
		const {links} = this.base;
		const baseUrl = this.settings.upstream.address;
		const {orders} = this;
		if (!orders) {
			return new PlainUpstream(links, baseUrl);
		}

		return new EngineUpstream({
			links, baseUrl, isServed: (model, version, adapter) => orders.isServed(model, version, adapter),
		});
	}

	private createRoutes(): Record<string, HttpHandler> {
		const {rpc, metrics} = this.base;
		rpc.method(callsCancelMethod, callsCancelParamsSchema, params => this.ledger.cancel(params));
		const {rollout} = this;
		if (rollout) {
			rpc.method(rolloutHaveMethod, rolloutHaveParamsSchema, params => rollout.node.handleNotice(params));
		}

		metrics.gauge('cactusreach_running_calls', 'Calls that run at the upstream.', () => this.calls.runningCalls);
		metrics.gauge('cactusreach_call_records', 'Call records kept.', () => this.ledger.size);
		addRolloutMetrics(metrics, () => this.rollout?.progress ?? []);
		metrics.gauge('cactusreach_chunk_bytes', 'Weights held in memory.', () => this.chunks.bytes);
		return {
			...createControlRoutes({
				rpc, metrics, dump: () => this.dump(), isReady: () => !this.isLeaving() && this.base.store.revision > 0,
			}),
			[`POST ${callsPath}`]: async (req, res) => {
				this.transferThrottle.measureTimeToFirstByte(res);
				await this.calls.handle(req, res);
			},
			...(this.rollout ? {'GET /chunks/*': this.rollout.node.serveChunk} : {}),
		};
	}

	private report(): AgentReport {
		const state = this.orders?.engineState;
		const {process, upstream} = this.settings;
		return {
			vm: process.vm,
			incarnation: this.base.identity.incarnation,
			clockMs: performance.now(),
			state: this.isLeaving() ? 'draining' : 'ready',
			service: upstream.service,
			configRevision: this.base.store.revision,
			served: state?.served ?? [],
			running: state?.running ?? this.calls.runningCalls,
			queued: state?.queued ?? 0,
			capacity: state?.capacity ?? upstream.capacity,
			prefixes: [],
		};
	}

	private dump(): Record<string, unknown> {
		return {
			role: 'agent',
			...this.base.dump(),
			report: this.report(),
			calls: {running: this.calls.runningCalls, records: this.ledger.size},
			chunks: {count: this.chunks.count, bytes: this.chunks.bytes},
			rollout: this.rollout?.progress ?? [],
			rolloutFindings: this.rollout?.findings ?? [],
			engine: this.orders?.engineState ?? null,
			authority: this.orders?.authorityState ?? null,
			draining: this.shutdown.isDraining,
		};
	}
}
