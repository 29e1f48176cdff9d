/** Metrics of what clients take: connections, bodies that are arriving, and responses that are kept. */
import type {CallerListener} from '../forwarding/caller-listener.ts';
import type {CallForwarder} from '../forwarding/call-forwarder.ts';
import {bufferGarbage} from '../runtime/buffer-garbage.ts';
import type {HttpListener} from '../links/http-listener.ts';
import type {Metrics, MetricSample} from './metrics.ts';

/** Adds the metrics to a registry. */
export function addClientMetrics(metrics: Metrics, callers: CallerListener, {buffers, bodiesInFlight}: CallForwarder): void {
	metrics.gauge('cactusreach_caller_connections', 'Open connections of callers.', () => callers.connectionCount);
	metrics.gauge('cactusreach_caller_connections_closed_total', 'Connections of callers that were closed or refused because of a limit.', () => callers.closedConnections);
	metrics.gauge('cactusreach_incomplete_bodies', 'Calls whose body is arriving.', () => callers.incompleteBodies);
	metrics.gauge('cactusreach_response_bytes', 'Memory taken by responses that are not complete or not read.', () => buffers.usedBytes);
	metrics.gauge('cactusreach_instance_body_bytes', 'Bytes of bodies in flight to the instance that has the most.', () => bodiesInFlight.largestBytes);
	metrics.gauge('cactusreach_full_instances_total', 'How often an instance was passed over because of the bodies in flight to it.', () => bodiesInFlight.passedOverCount);
	metrics.gauge('cactusreach_early_collections_total', 'How often the garbage of large buffers was collected early.', () => bufferGarbage.collections);
	metrics.gauge('cactusreach_slow_readers_total', 'Callers that were disconnected because they read too slowly.', () => buffers.slowReaderCount);
}

/**
 * Adds the metrics of listeners for other processes and operators, and of an entry's listener for callers.
 *
 * @param listeners - the listeners, by the value of the label `listener`
 */
export function addListenerMetrics(metrics: Metrics, listeners: Readonly<Record<string, HttpListener>>): void {
	const read = (valueOf: (listener: HttpListener) => number) => (): MetricSample[] =>
		Object.entries(listeners).map(([name, listener]) => ({labels: {listener: name}, value: valueOf(listener)}));
	const add = (name: string, help: string, valueOf: (listener: HttpListener) => number) => {
		metrics.labelledGauge(name, help, ['listener'], read(valueOf));
	};

	add('cactusreach_listener_connections', 'Open connections.', ({connectionCount}) => connectionCount);
	add('cactusreach_listener_connections_closed_total', 'Connections that were closed or refused because of a limit.', ({closedConnections}) => closedConnections);
	add('cactusreach_listener_requests_refused_total', 'Requests that were refused because there was no room for them.', ({refusedRequests}) => refusedRequests);
}
