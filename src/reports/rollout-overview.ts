/** Progress of rollouts over many agents, grouped by zone, for operators. */
import {z} from 'zod';
import type {PeerClient} from '../links/peer-client.ts';

/** How long one agent may take to answer, in milliseconds. */
const agentTimeoutMs = 3000;

/** How many agents are asked at once. */
const questionsAtOnce = 32;

const agentStateSchema = z.object({
	report: z.object({served: z.array(z.object({model: z.string(), version: z.string()}))}),
	rollout: z.array(z.object({
		model: z.string(), version: z.string(), held: z.number(), total: z.number(),
	})),
});

/** Where an agent is asked. */
export type AgentEndpoint = {readonly zone: string; readonly address: string; readonly services: readonly string[]};

/** What an agent answered; undefined when it did not. */
export type AgentState = {readonly zone: string; readonly services: readonly string[]; readonly state: z.infer<typeof agentStateSchema> | undefined};

/** How far one version is in one zone. */
export type ZoneProgress = {
	readonly zone: string;
	readonly model: string;
	readonly version: string;
	/** Agents whose engine serves the version. */
	readonly serving: number;
	/** All agents of the zone that take part, also those that do not answer. */
	readonly agents: number;
	readonly silent: number;
	/** Verified chunks over all agents. */
	readonly heldChunks: number;
	readonly neededChunks: number;
};

/**
 * Asks agents for their part of a rollout.
 *
 * @param links - sends the questions
 * @param agents - whom to ask
 */
export async function readAgentStates(links: PeerClient, agents: readonly AgentEndpoint[]): Promise<AgentState[]> {
	const states: AgentState[] = [];
	for (let at = 0; at < agents.length; at += questionsAtOnce) {
		states.push(...await Promise.all(agents.slice(at, at + questionsAtOnce).map(async agent => readAgentState(links, agent))));
	}

	return states;
}

/**
 * Groups agents' states by zone, model and version.
 *
 * @param all - the answers of agents; those beside plain services are left out
 */
export function summarizeRollout(all: readonly AgentState[]): ZoneProgress[] {
	const states = selectEngineAgents(all);
	// An agent that has not read the manifest yet reports no chunks in total.
	const items = states.flatMap(({state}) => state?.rollout ?? []).toSorted((a, b) => a.total - b.total);
	const versions = new Map(items.map(item => [`${item.model}/${item.version}`, item]));
	const zones = [...new Set(states.map(({zone}) => zone))].toSorted();
	return zones.flatMap(zone => {
		const ofZone = states.filter(state => state.zone === zone);
		return [...versions.values()].map(version => summarizeZone(zone, version, ofZone));
	});
}

/**
 * Writes progress as one line.
 *
 * @param progress - the progress of a version in a zone
 */
export function formatProgress(progress: ZoneProgress): string {
	const {zone, model, version, serving, agents, silent, heldChunks, neededChunks} = progress;
	const silentText = silent === 0 ? '' : `, ${silent} without an answer`;
	return `${model} ${version} in ${zone}: served by ${serving} of ${agents}, ${heldChunks} of ${neededChunks} chunks${silentText}`;
}

/** A silent agent does not tell what it stands beside; others of the same service do. */
function selectEngineAgents(states: readonly AgentState[]): AgentState[] {
	const engineServices = new Set(states.filter(({state}) => state && state.rollout.length > 0).flatMap(({services}) => services));
	return states.filter(({services}) => services.some(service => engineServices.has(service)));
}

async function readAgentState(links: PeerClient, {zone, address, services}: AgentEndpoint): Promise<AgentState> {
	try {
		const answer = await links.json(`http://${address}/dump?part=report&part=rollout`, {method: 'GET'}, {timeoutMs: agentTimeoutMs});
		return {zone, services, state: agentStateSchema.parse(answer)};
	} catch {
		return {zone, services, state: undefined};
	}
}

function summarizeZone(zone: string, {model, version, total}: {model: string; version: string; total: number}, states: readonly AgentState[]): ZoneProgress {
	const isSame = (item: {model: string; version: string}) => item.model === model && item.version === version;
	const answers = states.flatMap(({state}) => state ?? []);
	return {
		zone,
		model,
		version,
		serving: answers.filter(({report}) => report.served.some(item => isSame(item))).length,
		agents: states.length,
		silent: states.length - answers.length,
		heldChunks: answers.reduce((sum, {rollout}) => sum + (rollout.find(item => isSame(item))?.held ?? 0), 0),
		neededChunks: states.length * total,
	};
}
