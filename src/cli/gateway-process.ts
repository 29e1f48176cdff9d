/** The gateway role: the HTTP front end for callers, which forwards calls directly to upstreams. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Drain} from '../calls/drain.ts';
import type {Directory} from '../directory/directory.ts';
import {CallForwarder} from '../forwarding/call-forwarder.ts';
import {CallerListener} from '../forwarding/caller-listener.ts';
import {HomeRegions} from '../placement/home-regions.ts';
import {InstanceSignals} from '../placement/instance-signals.ts';
import {InstanceTracker} from '../placement/instance-tracker.ts';
import {RegionMap} from '../placement/region-map.ts';
import {maxBufferedBytesFor} from '../limits/response-buffers.ts';
import type {WireCodec} from '../forwarding/wire-codec.ts';
import {bufferGarbage} from '../runtime/buffer-garbage.ts';
import {logSink} from '../runtime/logger.ts';
import {setFailureHooks} from '../runtime/process-failure.ts';
import {MemoryBudget} from '../limits/memory-budget.ts';
import {processLimitsFor} from '../limits/process-limits.ts';
import {formatAddress, HttpListener, sendJson} from '../links/http-listener.ts';
import {changingDatagramSchema, type EngineDatagram, heldModelDatagramSchema} from '../messages/engine-datagram.ts';
import {directoryGetMethod} from '../messages/peers-exchange.ts';
import {directoryGetParamsSchema} from '../peers/directory-snapshot-schema.ts';
import {createObservationExchange} from '../peers/engine-observation.ts';
import {LoadQueries} from '../peers/load-queries.ts';
import {StartClaims} from '../peers/start-claims.ts';
import {addClientMetrics, addListenerMetrics} from '../reports/client-metrics.ts';
import {createControlRoutes} from '../reports/control-routes.ts';
import {EvacuationReport} from '../reports/evacuation-report.ts';
import {ForwardingMetrics} from '../reports/forwarding-metrics.ts';
import type {GatewaySettings} from '../settings/direct-settings.ts';
import {createColdStarts} from './create-cold-starts.ts';
import {createCrashProtection} from './crash-protection.ts';
import type {RunningProcess} from './entry-agent-base.ts';
import {type CreateSource, GatewayStagerBase, type SettingsSource} from './gateway-stager-base.ts';

const msPerSecond = 1000;

/** How long before the end of the grace period the remaining calls are aborted, in milliseconds. At its end, the process is killed. */
const killMarginMs = 300;

/** How long an evacuation takes to reach all gateways, in milliseconds. What a gateway knew before a pause may be too old if the pause takes the rest of the bound. */
const evacuationSpreadMs = 2000;

/** How long the last responses may take to be written before their connections are closed, in milliseconds. */
const lastWritesMs = 200;

/** The functions of the platform adapter that a gateway needs. */
export type GatewayAdapter = {readonly createSource: CreateSource; readonly codec: WireCodec};

/**
 * Starts a gateway.
 *
 * @param settingsSource - reads the settings, at the start and when they change
 */
export async function startGateway(settingsSource: SettingsSource<GatewaySettings>, adapter: GatewayAdapter): Promise<RunningProcess> {
	const base = new GatewayStagerBase(settingsSource, ({listen}) => ({
		role: 'gateway', control: listen.control, datagrams: listen.datagrams, parts: ['published', 'instances'], pulledParts: 'directory',
	}), adapter.createSource);
	const {directory, log, random, peers, metrics, rpc, settings} = base;
	const gatewayCount = () => peers.knownGateways.size;
	const claims = new StartClaims({datagrams: base.datagrams, port: settings.listen.datagrams.port});
	const coldStarts = createColdStarts({base, claims, metrics});
	const tracker = new InstanceTracker(log, new InstanceSignals({log, random, gatewayCount}), {coldStarts, evacuations: directory.evacuations, clock: base.pauseDetector});
	const loads = new LoadQueries({
		vm: settings.process.vm,
		inFlight: tracker.inFlight,
		directory,
		datagrams: base.datagrams,
		port: settings.listen.datagrams.port,
		log,
		clock: base.pauseDetector,
		observations: createObservationExchange(tracker),
		paths: tracker.paths,
	});
	base.datagrams.on('held', heldModelDatagramSchema, state => {
		applyEngineState(state, directory, tracker);
	});
	base.datagrams.on('changing', changingDatagramSchema, state => {
		applyEngineState(state, directory, tracker);
	});
	const regions = new RegionMap({[settings.process.zone]: settings.process.region, ...settings.zones});
	const homes = new HomeRegions(regions);
	const evacuationReport = new EvacuationReport({
		directory, regions, inFlight: tracker.inFlight, boundMs: settings.limits.evacuate_ms, directoryAgeMs: () => base.directoryAgeMs, log,
	});
	evacuationReport.addMetrics(metrics);
	base.pauseDetector.onResume(gapMs => {
		if (gapMs >= (settings.limits.evacuate_ms ?? Number.POSITIVE_INFINITY) - evacuationSpreadMs) {
			directory.evacuations.confirmation.require();
		}
	});
	const forwardingMetrics = new ForwardingMetrics(metrics);
	const {crashes, quarantine, gossip} = createCrashProtection({
		...settings.process, tracker, peers, datagrams: base.datagrams, port: settings.listen.datagrams.port, random, log, clock: base.pauseDetector, metrics, forwardingMetrics,
	});
	const forwarder = new CallForwarder({
		directory,
		codec: adapter.codec,
		tracker,
		crashes,
		quarantine,
		loads,
		homes,
		random,
		log,
		zone: settings.process.zone,
		retryBudget: {ratio: settings.limits.retry_ratio, slack: settings.limits.retry_slack, windowMs: settings.limits.retry_window_s * msPerSecond},
		hedgeRatio: () => base.settings.limits.hedge_ratio,
		versionBoundMs: settings.limits.version_bound_ms,
		clock: base.pauseDetector,
		checkPause() {
			base.pauseDetector.check();
		},
		eventLoopDelayMs: () => base.pauseDetector.recentDelayMs,
		gatewayCount,
		instanceBodyMb: settings.limits.instance_body_mb,
		responseBytes: maxBufferedBytesFor(settings.limits.memory_mb),
		onSilence(service, result) {
			forwardingMetrics.recordSilence(service, result);
		},
		onHedge(service, result) {
			forwardingMetrics.recordHedge(service, result);
		},
		onEnd(end) {
			forwardingMetrics.recordEnd(end);
		},
	});
	quarantine.onHeld(() => {
		forwarder.endHeldCalls();
	});
	bufferGarbage.enable();
	const limits = processLimitsFor(settings.limits.memory_mb, settings.limits.max_descriptors);
	const heads = new MemoryBudget(limits.callers.heads);
	const bodies = new MemoryBudget(limits.callers.bodies);
	metrics.gauge('cactusreach_slow_instances', 'Instances at which work takes at least 1.5 times as long as usual at this moment.', () => tracker.paces.countSlow(performance.now()));
	metrics.gauge('cactusreach_longest_path_ms', 'The longest recent delay of messages to an instance and back, in milliseconds.', () => tracker.paths.longestMs);
	metrics.gauge('cactusreach_body_bytes', 'Memory taken by the bodies of calls.', () => bodies.usedBytes);
	metrics.gauge('cactusreach_head_bytes', 'Memory taken by calls and their heads, as estimated.', () => heads.usedBytes);
	const callers = new CallerListener({
		forwarder, codec: adapter.codec, log, heads, bodies, connections: limits.callers, maxOpenCalls: limits.openCalls, limits: () => directory.table?.configuration.limits, onFault(phase) {
			forwardingMetrics.recordFault(phase);
		}, onRefused(reason) {
			forwardingMetrics.recordEnd({
				kind: undefined, service: undefined, outcome: 'refused_at_once', reason, ms: 0,
			});
		},
	});
	directory.onChange(() => {
		callers.applyLimits();
		evacuationReport.checkZones();
		homes.checkConfiguration(directory.table?.configuration, log);
		const present = new Set(directory.instances.map(({id}) => id));
		tracker.retainOnly(present);
		loads.retainOnly(present);
		claims.retainOnly(present);
	});
	const isReady = () => !drain.isDraining && directory.configurationVersion > 0 && directory.instancesRevision > 0 && directory.evacuations.isKnown;
	const drain = new Drain({
		log,
		noticeMs: settings.limits.drain_notice_ms,
		openCalls: () => forwarder.openCalls,
		refuseNewCalls() {
			forwarder.refuseNewCalls();
		},
		closeListeners: async () => callers.drain(),
		async stopParts() {
			loads.stop();
			gossip.stop();
			control.destroy();
			readiness.destroy();
			await base.stop();
		},
	});
	rpc.method(directoryGetMethod, directoryGetParamsSchema, ({configurationVersion, instancesRevision, era, servicesOnly}) =>
		(servicesOnly ? directory.servicesSnapshot(configurationVersion) : directory.snapshot(configurationVersion, instancesRevision, era)));
	const control = new HttpListener(createControlRoutes({
		rpc, metrics, isReady, dump: () => ({
			role: 'gateway', ...base.dump(), openCalls: forwarder.openCalls, heldParts: quarantine.holds, homes: homes.dump(), evacuations: evacuationReport.dump(),
		}),
	}), log, limits.control);
	const readiness = new HttpListener({
		[`GET ${settings.listen.readiness_path}`](req, res) {
			sendJson(res, isReady() ? 200 : 503, {ready: isReady()});
		},
	}, log, limits.readiness);
	addClientMetrics(metrics, callers, forwarder);
	addListenerMetrics(metrics, {control, readiness});
	metrics.gauge('cactusreach_open_calls', 'Calls without a whole answer.', () => forwarder.openCalls);

	setFailureHooks({
		log, state: () => ({openCalls: forwarder.openCalls, configurationVersion: directory.configurationVersion}), endCalls() {
			forwarder.endOpenCalls();
		},
	});
	await control.start(settings.listen.control);
	await readiness.start(settings.listen.readiness);
	await base.start();
	loads.start();
	gossip.start();
	await callers.start(settings.listen.callers);
	log.info({event: 'gateway_started', callers: formatAddress(settings.listen.callers)}, 'gateway started');

	return {
		async drain() {
			callers.disableKeepAlive();
			const drained = drain.run();
			const drainResult = await Promise.race([drained, waitUntilLate((settings.limits.grace_s * msPerSecond) - killMarginMs)]);
			if (drainResult === 'late') {
				log.warn({
					event: 'drain_cut', openCalls: forwarder.openCalls, unwritten: callers.unwrittenResponses,
				}, 'the grace period ends; aborting the remaining calls');
				forwarder.endOpenCalls();
				await Promise.race([drained, sleep(lastWritesMs)]);
				callers.destroy();
				await logSink.drain();
			}
		},
	};
}

/** Applies what a stager tells of its engine ahead of the platform's list of instances. */
function applyEngineState(state: EngineDatagram, directory: Directory, tracker: InstanceTracker): void {
	const [kind, address, startedAtMs] = state;
	const instance = directory.instances.find(item => item.address === address && item.startedAtMs === startedAtMs);
	if (kind === 'held') {
		directory.recordHeldModel(address, startedAtMs, state[3]);
		if (instance) {
			tracker.recordLoaded(instance.id);
		}
	} else if (instance) {
		tracker.recordLoading(instance.id);
	}
}

async function waitUntilLate(ms: number): Promise<'late'> {
	return new Promise(resolve => {
		setTimeout(() => {
			resolve('late');
		}, ms).unref();
	});
}
