/** Zones and regions of the simulation in `placing-model.ts`: where calls arrive, which engines an entry asks, and how far they are. */
import {engineSamples} from '../src/placement/sample-instances.ts';
import {ZoneCrowding} from '../src/placement/zone-crowding.ts';
import type {RandomSource} from '../src/runtime/random-source.ts';
import type {PlacingScenario} from './placing-types.ts';

const weightSteps = 1_000_000;

/** Entries and engines spread over the zones of a scenario; a scenario without zones has a single one. */
export class ModelZones {
	/** Number of calls placed in the zone of their entry, in another zone of the region, and in another region. */
	readonly placed = {zone: 0, region: 0, far: 0};
	private readonly crowding: readonly ZoneCrowding[];
	private readonly count: number;
	private readonly perRegion: number;

	constructor(private readonly scenario: PlacingScenario, private readonly random: RandomSource) {
		this.count = scenario.zones?.count ?? 1;
		this.crowding = Array.from({length: scenario.entries}, () => new ZoneCrowding());
		this.perRegion = scenario.zones?.perRegion ?? 1;
	}

	/** Draws the entry at which a call arrives. */
	drawEntry(nowMs: number): number {
		const {entries, entryWeight} = this.scenario;
		if (!entryWeight) {
			return this.random.nextInt(entries);
		}

		const weights = Array.from({length: entries}, (item, entry) => entryWeight(entry, nowMs));
		let remaining = this.random.nextInt(weightSteps) / weightSteps * weights.reduce((sum, weight) => sum + weight, 0);
		return Math.max(0, weights.findIndex(weight => {
			remaining -= weight;
			return remaining < 0;
		}));
	}

	/** Draws the engines that an entry asks. */
	sample(entry: number, unasked: readonly number[], round: number): number[] {
		if (this.count === 1) {
			return this.random.sample(unasked, this.scenario.askedEngines[round]!);
		}

		const sizes = engineSamples[round]!;
		const {local, remote} = this.scenario.zones?.isUnaware ? sizes : this.crowding[entry]!.adjust(sizes);
		const isNear = (engine: number) => this.distance(entry, engine) === 'zone';
		return [...this.random.sample(unasked.filter(engine => isNear(engine)), local), ...this.random.sample(unasked.filter(engine => !isNear(engine)), remote)];
	}

	/** Takes the number of calls that the counter beside an engine has answered to an entry. */
	recordAnswer(entry: number, engine: number, calls: number): void {
		this.crowding[entry]!.record(this.distance(entry, engine) === 'zone', calls >= this.scenario.timing.slots);
	}

	/** Returns what an entry knows of the region of an engine. */
	isSameRegion(entry: number, engine: number): boolean | undefined {
		const {zones} = this.scenario;
		return !zones || zones.isUnaware ? undefined : this.distance(entry, engine) !== 'far';
	}

	/** Returns how far an engine is from an entry. */
	distance(entry: number, engine: number): 'zone' | 'region' | 'far' {
		const [from, to] = [entry % this.count, engine % this.count];
		if (from === to) {
			return 'zone';
		}

		return Math.floor(from / this.perRegion) === Math.floor(to / this.perRegion) ? 'region' : 'far';
	}
}
