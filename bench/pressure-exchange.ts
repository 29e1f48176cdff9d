/** Load shedding by urgency in the simulation of `placing-model.ts`: the real code of the entries and of the counters beside the engines. */
import {createServiceId} from '../src/ids/service-id.ts';
import {type CallShedding, LoadShedding} from '../src/placement/load-shedding.ts';
import {UrgencyPressure, type UrgencyReport, type YieldShares} from '../src/placement/urgency-pressure.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import type {PlacingScenario} from './placing-types.ts';

const service = createServiceId('models');

/** Runs the load shedding of all entries and counters. */
export class PressureExchange {
	private readonly counters: readonly UrgencyPressure[];
	private readonly entries: readonly LoadShedding[];

	constructor(private readonly scenario: PlacingScenario) {
		const random = new RandomSource(scenario.seed);
		this.counters = Array.from({length: scenario.engines}, () => new UrgencyPressure());
		this.entries = Array.from({length: scenario.entries}, () => new LoadShedding(random));
	}

	/** Starts the placement of a call by an entry. */
	startCall(entry: number, priority: number, isReturning: boolean): CallShedding {
		return this.entries[entry]!.startCall(service, {priority, isReturning, isFirstAttempt: true});
	}

	/** Returns the answer of the counter beside an engine. */
	ask(engine: number, report: UrgencyReport, nowMs: number): YieldShares {
		if (!this.scenario.givesWay) {
			return [];
		}

		this.counters[engine]!.record(report, nowMs);
		return this.counters[engine]!.yields(nowMs);
	}
}
