/** The recent refusals because of home regions, for the state dump. No I/O, no clock. */
import type {KeyHolder, Route} from '../directory/directory-types.ts';
import type {RegionId} from '../ids/region-id.ts';

/** Why calls are refused because of their home regions. */
export const homeRefusalReasons = ['home_regions_contradict', 'home_regions_unreadable', 'no_home_instance'] as const;

/** Number of routes and workspaces whose refusals are kept. */
const maxEntries = 32;

/** The refusals of the calls of one workspace on one route. */
export type HomeRefusal = {
	readonly reason: string;
	readonly route: string;
	readonly workspace: string | undefined;
	readonly routeRegions: readonly RegionId[] | undefined;
	readonly workspaceRegions: readonly RegionId[] | undefined;
	readonly calls: number;
	/** When the last call was refused, in milliseconds of the monotonic clock. */
	readonly lastAtMs: number;
};

/** Keeps the refusals that were seen last. */
export class HomeRefusals {
	private readonly byKey = new Map<string, HomeRefusal>();

	/** The refusals, the latest last. */
	get recent(): readonly HomeRefusal[] {
		return [...this.byKey.values()];
	}

	/**
	 * Records a refused call; ignores other reasons than those of {@link homeRefusalReasons}.
	 *
	 * @param nowMs - the time, in milliseconds of the monotonic clock
	 */
	record(reason: string | undefined, route: Route, holder: KeyHolder | undefined, nowMs: number): void {
		if (reason === undefined || !(homeRefusalReasons as readonly string[]).includes(reason)) {
			return;
		}

		const key = JSON.stringify([reason, route.name, holder?.workspace]);
		const calls = (this.byKey.get(key)?.calls ?? 0) + 1;
		this.byKey.delete(key);
		this.byKey.set(key, {
			reason, route: route.name, workspace: holder?.workspace, routeRegions: route.homeRegions, workspaceRegions: holder?.homeRegions, calls, lastAtMs: nowMs,
		});
		const [oldest] = this.byKey.keys();
		if (this.byKey.size > maxEntries) {
			this.byKey.delete(oldest!);
		}
	}
}
