/** The entry role: the HTTP front end for callers, which runs calls through agents. */
import {AttemptClient} from '../calls/attempt-client.ts';
import {CallManager} from '../calls/call-manager.ts';
import {CallRunner} from '../calls/call-runner.ts';
import {Drain} from '../calls/drain.ts';
import {GenerateHandler} from '../calls/generate-handler.ts';
import {OperationHandler} from '../calls/operation-handler.ts';
import {formatAddress, HttpListener} from '../links/http-listener.ts';
import {AdmissionManager, admissionMetrics} from '../limits/admission-manager.ts';
import {processLimitsFor} from '../limits/process-limits.ts';
import {ReportPoller} from '../membership/report-poller.ts';
import {CallMetrics} from '../reports/call-metrics.ts';
import {addListenerMetrics} from '../reports/client-metrics.ts';
import {createControlRoutes} from '../reports/control-routes.ts';
import {routingMetrics, UpstreamRouter} from '../routing/upstream-router.ts';
import {bufferGarbage} from '../runtime/buffer-garbage.ts';
import type {EntrySettings} from '../settings/settings-schema.ts';
import {EntryAgentBase, type RunningProcess} from './entry-agent-base.ts';

/**
 * Starts an entry.
 *
 * @param settings - the validated settings
 */
export async function startEntry(settings: EntrySettings): Promise<RunningProcess> {
	bufferGarbage.enable();
	const limits = processLimitsFor(settings.limits.memory_mb, settings.limits.max_descriptors);
	const base = new EntryAgentBase(settings);
	const {links, membership, store, random, log} = base;
	const router = new UpstreamRouter({
		membership, store, random, zone: settings.process.zone, onOverload(service) {
			admission.recordOverload(service);
		},
	});
	const admission = new AdmissionManager({
		shareOf: workspace => store.limitsOf(workspace),
		capacityOf: service => router.capacityOf(service),
		maxWaitMs: settings.limits.queue_wait_ms,
		random,
	});
	const attempts = new AttemptClient(links, base.pauseDetector);
	const runner = new CallRunner({
		attempts, router, log, upstreamWaitMs: settings.limits.queue_wait_ms,
	});
	const callMetrics = new CallMetrics(base.metrics);
	const calls = new CallManager({
		store,
		log,
		metrics: callMetrics,
		admission,
		generate: new GenerateHandler({runner, router, metrics: callMetrics}),
		operations: new OperationHandler({
			attempts, runner, router, findMember: vm => membership.members.find(member => member.vm === vm),
		}),
		defaultDeadlineMs: settings.limits.default_deadline_ms,
	});
	let isStarted = false;
	const poller = new ReportPoller({links, membership, random});
	const callers = new HttpListener(calls.routes, log, limits.callers, (req, res) => {
		calls.refuseForRoom(req, res);
	});
	const drain = new Drain({
		log,
		// Within this time, load balancers notice that the readiness check fails. Until then, new calls are still accepted.
		noticeMs: settings.limits.drain_notice_ms,
		openCalls: () => calls.openCalls,
		refuseNewCalls() {
			calls.refuseNewCalls();
			callers.closeConnectionsAfterUse();
		},
		closeListeners: async () => callers.drain(),
		async stopParts() {
			poller.stop();
			await base.stop();
			control.destroy();
		},
	});
	const control = new HttpListener(createControlRoutes({
		rpc: base.rpc,
		metrics: base.metrics,
		dump: () => ({
			role: 'entry', ...base.dump(), calls: {open: calls.openCalls}, routing: router.dump(), admission: admission.dump(), draining: drain.isDraining,
		}),
		isReady: () => isStarted && !drain.isDraining && store.revision > 0,
	}), log, limits.control);
	addListenerMetrics(base.metrics, {callers, control});
	base.metrics.gauge('cactusreach_open_calls', 'Callers that wait for an answer.', () => calls.openCalls);
	for (const [name, help, read] of [...admissionMetrics(admission), ...routingMetrics(router)]) {
		base.metrics.gauge(name, help, read);
	}

	await control.start(settings.listen.control);
	await base.start();
	await poller.start();
	await callers.start(settings.listen.callers);
	isStarted = true;
	log.info({event: 'entry_started', callers: formatAddress(settings.listen.callers)}, 'entry started');

	return {
		async drain() {
			await drain.run();
		},
	};
}
