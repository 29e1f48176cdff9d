/** Finds references between parts of a configuration that lead nowhere, and names and keys that are given twice. */
import type {CheckedConfiguration, GroupedFinding, Place} from './configuration-finding.ts';

/**
 * Finds errors of a configuration whose parts are each valid.
 */
export function findErrors(checked: CheckedConfiguration): GroupedFinding[] {
	return [...findUnknownServices(checked), ...findDuplicateNames(checked), ...findDuplicateKeys(checked)];
}

function findUnknownServices({configuration, locate}: CheckedConfiguration): GroupedFinding[] {
	const known = new Set(configuration.services.map(({name}) => name));
	return configuration.routes.flatMap(({targets}, at) => targets
		.filter(({service}) => !known.has(service))
		.map(({service}): GroupedFinding => ({
			group: 'error', ...locate({part: 'route', at, field: 'targets'}), reason: `names service ${service} that is not published; its calls are refused`,
		})));
}

function findDuplicateNames({configuration, workspaces, locate}: CheckedConfiguration): GroupedFinding[] {
	const lists = {route: configuration.routes, service: configuration.services, workspace: workspaces} as const;
	return Object.entries(lists).flatMap(([part, list]) => {
		const names = new Set<string>();
		return list.flatMap(({name}, at): GroupedFinding[] => {
			if (!names.has(name)) {
				names.add(name);
				return [];
			}

			return [{group: 'error', ...locate({part, at, field: 'name'} as Place), reason: `is the name of more than one ${part}: ${JSON.stringify(name)}`}];
		});
	});
}

/** Findings do not contain keys, since whoever reads them could use the keys. */
function findDuplicateKeys({workspaces, locate}: CheckedConfiguration): GroupedFinding[] {
	const holders = new Map<string, string>();
	return workspaces.flatMap(({name, keys}, at) => {
		const others = new Set(keys.map(key => holders.get(key)).filter(holder => holder !== undefined && holder !== name));
		for (const key of keys) {
			holders.set(key, name);
		}

		return [...others].map((other): GroupedFinding => ({
			group: 'error', ...locate({part: 'workspace', at, field: 'keys'}), reason: `has a key that workspace ${other} has too; its calls count for ${name}`,
		}));
	});
}
