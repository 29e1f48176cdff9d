/** Collects the progress of rollouts from agents and summarizes it by zone, for operators. */
import {z} from 'zod';
import type {PeerClient} from '../links/peer-client.ts';

/** The timeout of a request to an agent, in milliseconds. */
const agentTimeoutMs = 3000;

/** The maximum number of concurrent requests to agents. */
const maxConcurrentRequests = 32;

const agentStateSchema = z.object({
	report: z.object({served: z.array(z.object({model: z.string(), version: z.string()}))}),
	rollout: z.array(z.object({
		model: z.string(), version: z.string(), held: z.number(), total: z.number(),
	})),
});

/** The address of an agent, and the zone and services that it belongs to. */
export type AgentEndpoint = {readonly zone: string; readonly address: string; readonly services: readonly string[]};

/** The state that an agent reported; `state` is undefined if the agent gave no valid response. */
export type AgentState = {readonly zone: string; readonly services: readonly string[]; readonly state: z.infer<typeof agentStateSchema> | undefined};

/** The progress of one version in one zone. */
export type ZoneProgress = {
	readonly zone: string;
	readonly model: string;
	readonly version: string;
	/** Agents whose engine serves the version. */
	readonly serving: number;
	/** All agents of the zone that take part in the rollout, including silent ones. */
	readonly agents: number;
	/** Agents that gave no valid response. */
	readonly silent: number;
	/** Verified chunks, added up over all agents. */
	readonly heldChunks: number;
	readonly neededChunks: number;
};

/**
 * Requests the state of rollouts from agents.
 *
 * @param links - the client that sends the requests
 */
export async function readAgentStates(links: PeerClient, agents: readonly AgentEndpoint[]): Promise<AgentState[]> {
	const states: AgentState[] = [];
	for (let at = 0; at < agents.length; at += maxConcurrentRequests) {
		states.push(...await Promise.all(agents.slice(at, at + maxConcurrentRequests).map(async agent => readAgentState(links, agent))));
	}

	return states;
}

/**
 * Summarizes the states of agents by zone, model and version.
 *
 * @param all - the states of all agents; agents of plain services are left out
 */
export function summarizeRollout(all: readonly AgentState[]): ZoneProgress[] {
	const states = selectEngineAgents(all);
	// An agent without the manifest reports a total of 0. With the highest total last, the map keeps the real one.
	const items = states.flatMap(({state}) => state?.rollout ?? []).toSorted((a, b) => a.total - b.total);
	const versions = new Map(items.map(item => [`${item.model}/${item.version}`, item]));
	const zones = [...new Set(states.map(({zone}) => zone))].toSorted();
	return zones.flatMap(zone => {
		const ofZone = states.filter(state => state.zone === zone);
		return [...versions.values()].map(version => summarizeZone(zone, version, ofZone));
	});
}

/** Formats the progress of a version in a zone as one line. */
export function formatProgress(progress: ZoneProgress): string {
	const {zone, model, version, serving, agents, silent, heldChunks, neededChunks} = progress;
	const silentText = silent === 0 ? '' : `, ${silent} without an answer`;
	return `${model} ${version} in ${zone}: served by ${serving} of ${agents}, ${heldChunks} of ${neededChunks} chunks${silentText}`;
}

/** A silent agent does not report whether its upstream is an engine, so the other agents of the same service decide. */
function selectEngineAgents(states: readonly AgentState[]): AgentState[] {
	const engineServices = new Set(states.filter(({state}) => state && state.rollout.length > 0).flatMap(({services}) => services));
	return states.filter(({services}) => services.some(service => engineServices.has(service)));
}

async function readAgentState(links: PeerClient, {zone, address, services}: AgentEndpoint): Promise<AgentState> {
	try {
		const dump = await links.json(`http://${address}/dump?part=report&part=rollout`, {method: 'GET'}, {timeoutMs: agentTimeoutMs});
		return {zone, services, state: agentStateSchema.parse(dump)};
	} catch {
		return {zone, services, state: undefined};
	}
}

function summarizeZone(zone: string, {model, version, total}: {model: string; version: string; total: number}, states: readonly AgentState[]): ZoneProgress {
	const isSame = (item: {model: string; version: string}) => item.model === model && item.version === version;
	const responses = states.flatMap(({state}) => state ?? []);
	return {
		zone,
		model,
		version,
		serving: responses.filter(({report}) => report.served.some(item => isSame(item))).length,
		agents: states.length,
		silent: states.length - responses.length,
		heldChunks: responses.reduce((sum, {rollout}) => sum + (rollout.find(item => isSame(item))?.held ?? 0), 0),
		neededChunks: states.length * total,
	};
}
