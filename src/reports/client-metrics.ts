/** Metrics of what clients take: connections, bodies that are arriving, and responses that are kept. */
import type {CallerListener} from '../forwarding/caller-listener.ts';
import type {CallForwarder} from '../forwarding/call-forwarder.ts';
import {bufferGarbage} from '../runtime/buffer-garbage.ts';
import type {Metrics} from './metrics.ts';

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
