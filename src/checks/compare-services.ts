/** Tells what the differences between the services of two configurations mean for calls. */
import type {EngineTiming, ServiceInfo} from '../directory/directory-types.ts';
import {type Change, compareLimit} from './compare-routes.ts';
import type {CheckedConfiguration, Effect, GroupedFinding} from './configuration-finding.ts';

type ServiceChange = Change<keyof ServiceInfo>;

/** Compares the services by name. */
export function compareServices(before: CheckedConfiguration, after: CheckedConfiguration): GroupedFinding[] {
	const old = new Map(before.configuration.services.map(service => [service.name, service]));
	const present = new Set(after.configuration.services.map(({name}) => name));
	const used = new Set(after.configuration.routes.flatMap(({targets}) => targets.map(({service}) => service)));
	const kept = after.configuration.services.flatMap((service, at) => compareService(old.get(service.name), service)
		.map(({field, effect, reason}): GroupedFinding => ({
			group: 'difference', effect, ...after.locate({part: 'service', at, ...(field === undefined ? {} : {field})}), reason: `service ${service.name} ${reason}`,
		})));
	const removed = before.configuration.services.flatMap(({name}, at): GroupedFinding[] => {
		if (present.has(name)) {
			return [];
		}

		const effect: Effect = used.has(name) ? 'refused' : 'none';
		const consequence = effect === 'none' ? 'no route sends calls to it' : 'calls that routes send to it are refused';
		return [{
			group: 'difference', effect, ...before.locate({part: 'service', at}), reason: `service ${name} is removed; ${consequence}`,
		}];
	});
	return [...kept, ...removed];
}

function compareService(before: ServiceInfo | undefined, after: ServiceInfo): ServiceChange[] {
	if (!before) {
		return [{effect: 'none', reason: 'is new'}];
	}

	const {name: _, maxConnections, engine, origin, ...others} = after;
	const {name: _old, maxConnections: oldMaxConnections, engine: oldEngine, origin: oldOrigin, ...oldOthers} = before;
	const connections = compareLimit('connections to an instance', oldMaxConnections, maxConnections);
	return [
		...(connections ? [{field: 'maxConnections', effect: connections.effect, reason: `changes: ${connections.reason}`} as const] : []),
		...compareEngines(oldEngine, engine),
		...(isSame(oldOrigin, origin) ? [] : [{field: 'origin', effect: 'none', reason: 'gets weights from another origin, or at another rate'} as const]),
		...(isSame(oldOthers, others) ? [] : [{effect: 'none', reason: 'changes in other fields'} as const]),
	];
}

function compareEngines(before: EngineTiming | undefined, after: EngineTiming | undefined): ServiceChange[] {
	if (!before || !after) {
		return before === after ? [] : [{field: 'engine', effect: 'moved', reason: after ? 'becomes a service of engines' : 'is no longer a service of engines'}];
	}

	const {slots: oldSlots, models: oldModels, ...oldTiming} = before;
	const {slots, models, ...timing} = after;
	const places = compareLimit('calls that an engine runs at once', oldSlots, slots);
	const missing = oldModels.filter(model => !models.includes(model));
	const added = models.filter(model => !oldModels.includes(model));
	const changes: Array<Omit<ServiceChange, 'field'>> = [
		...(places ? [{effect: places.effect, reason: `changes: ${places.reason}`}] : []),
		...(missing.length === 0 ? [] : [{effect: 'refused', reason: `no longer loads model ${missing.join(', ')}; its calls are refused`} as const]),
		...(added.length === 0 ? [] : [{effect: 'served', reason: `loads model ${added.join(', ')}`} as const]),
		...(isSame(oldTiming, timing) ? [] : [{effect: 'none', reason: 'has engines of another speed or size, by which calls are placed'} as const]),
	];
	return changes.map(change => ({field: 'engine', ...change}));
}

function isSame(a: unknown, b: unknown): boolean {
	return JSON.stringify(a, sortKeys) === JSON.stringify(b, sortKeys);
}

/** Makes the order of keys irrelevant, which differs between a decoded file and the message of a process. */
function sortKeys(_key: string, value: unknown): unknown {
	return typeof value === 'object' && value !== null && !Array.isArray(value)
		? Object.fromEntries(Object.entries(value).toSorted(([a], [b]) => (a < b ? -1 : 1)))
		: value;
}
