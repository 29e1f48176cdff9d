/** Progress of a rollout as the agents' state dumps show it. */
import type {DemoFleet, DemoVm} from './demo-fleet.ts';

type AgentDump = {
	report?: {served?: ReadonlyArray<{version?: string}>};
	rollout?: ReadonlyArray<{version?: string; held?: number; total?: number}>;
};

/** How far one zone is. */
export type ZoneProgress = {
	readonly zone: string;
	/** Agents whose engine serves the version. */
	readonly serving: number;
	readonly agents: number;
	/** Verified chunks over all agents. */
	readonly heldChunks: number;
};

/**
 * Reads the progress of a version in each zone.
 *
 * @param fleet - the fleet
 * @param version - the version
 */
export async function readProgress(fleet: DemoFleet, version: string): Promise<ZoneProgress[]> {
	const agents = fleet.engineAgents;
	const states = await Promise.all(agents.map(async vm => readAgent(fleet, vm, version)));
	const zones = [...new Set(agents.map(vm => vm.zone))];
	return zones.map(zone => {
		const ofZone = states.filter(state => state.zone === zone);
		return {
			zone,
			serving: ofZone.filter(state => state.serving).length,
			agents: ofZone.length,
			heldChunks: ofZone.reduce((sum, state) => sum + state.heldChunks, 0),
		};
	});
}

async function readAgent(fleet: DemoFleet, vm: DemoVm, version: string): Promise<{zone: string; serving: boolean; heldChunks: number}> {
	try {
		const dump = await fleet.getJson(vm.address, '/dump') as AgentDump;
		return {
			zone: vm.zone,
			serving: dump.report?.served?.some(item => item.version === version) ?? false,
			heldChunks: dump.rollout?.find(item => item.version === version)?.held ?? 0,
		};
	} catch {
		return {zone: vm.zone, serving: false, heldChunks: 0};
	}
}
