/** Finds the log lines that explain the outcome of one request, in the logs of several processes. Does no I/O. */

/** A parsed log line, with the fields that the search uses. */
export type LogLine = Readonly<Record<string, unknown>> & {
	readonly time: string;
	readonly vm: string;
	readonly event: string;
	readonly id?: string;
	readonly instance?: string;
	readonly tried?: readonly string[];
	/** The instances that could not take the request, with the reasons. */
	readonly passedOver?: ReadonlyArray<{readonly instance: string}>;
};

/** The lines that were found, each list in order of time. */
export type Explanation = {
	/** The lines with the id of the request. */
	readonly request: readonly LogLine[];
	/** For each piece of state that the processes of the request acted on: the last change before the request, and the changes during it. */
	readonly stateChanges: readonly LogLine[];
};

/** Events that log a state change of a process, each with the field that identifies what changed. */
const stateChangeFields: Readonly<Record<string, string | undefined>> = {
	instance_seen: 'instance', instance_gone: 'instance', instance_unconfirmed: 'instance', instance_lost: 'instance', instance_back: 'instance',
	instance_leaving: 'instance', instance_quiet: 'instance', instance_tried: 'instance', instance_crashed: 'instance', instance_cold: 'instance',
	instance_suspect: 'instance', instance_trusted: 'instance', instance_changing: 'instance',
	configuration_taken: 'vm', configuration_refused: 'vm', home_region_unknown: 'vm', zone_evacuated: 'zone', evacuation_ended: 'zone', evacuation_zone_unknown: 'zone', version_named: 'model', source_lost: 'part', source_regained: 'part', history_lost: 'part',
	directory_unconfirmed: 'vm', directory_confirmed: 'vm', watch_started: 'vm', watch_stopped: 'vm',
	gateway_started: 'vm', settings_reloaded: 'vm', settings_refused: 'vm', drain_started: 'vm', drain_cut: 'vm', drain_finished: 'vm', process_stopped: 'vm', process_failed: 'vm',
	process_paused: 'vm', event_loop_delayed: 'vm', clock_jumped: 'vm', lines_dropped: 'vm',
};

/** Events that tell of a moment and not of a state: they explain a request only if they are near to it. */
const momentaryEvents: ReadonlySet<string> = new Set(['process_paused', 'event_loop_delayed', 'lines_dropped']);

/** How long before the first line and after the last line of a request a moment still explains it, in milliseconds; the line of a pause follows it. */
const momentRangeMs = {before: 10_000, after: 1000};

/** Fields that {@link formatLogLine} prints in front or leaves out. */
const commonFields = new Set(['name', 'hostname', 'pid', 'level', 'msg', 'v', 'time', 'vm', 'event', 'id']);

/**
 * Parses a log line.
 *
 * @param text - the line; everything before the first brace is ignored
 * @returns undefined if the text is not a log line
 */
export function parseLogLine(text: string): LogLine | undefined {
	const from = text.indexOf('{');
	if (from === -1) {
		return undefined;
	}

	try {
		const line = JSON.parse(text.slice(from)) as Partial<LogLine>;
		return typeof line.time === 'string' && typeof line.vm === 'string' && typeof line.event === 'string' ? line as LogLine : undefined;
	} catch {
		// The last line of a log is truncated if its process was killed while writing it.
		return undefined;
	}
}

/** Collects the log lines that explain one request. Lines may be added in any order. */
export class RequestExplainer {
	private readonly request: LogLine[] = [];
	private readonly stateChangeLines: LogLine[] = [];

	/** @param id - the attempt id that the caller sent with the request */
	constructor(private readonly id: string) {}

	/**
	 * Adds a line, which is ignored if it neither belongs to the request nor logs a state change.
	 *
	 * @param line - a log line of any process
	 */
	add(line: LogLine): void {
		if (line.id === this.id) {
			this.request.push(line);
		} else if (stateChangeFields[line.event] !== undefined) {
			this.stateChangeLines.push(line);
		}
	}

	/** Returns the lines of the request and the relevant state changes among the lines added so far. */
	explain(): Explanation {
		const request = this.request.toSorted(byTime);
		const [first, last] = [request[0], request.at(-1)];
		if (!first || !last) {
			return {request, stateChanges: []};
		}

		const processes = new Set(request.map(({vm}) => vm));
		const instances = new Set(request.flatMap(line => [line.instance, ...(line.tried ?? []), ...(line.passedOver ?? []).map(({instance}) => instance)]));
		const before = new Map<string, LogLine>();
		const during: LogLine[] = [];
		for (const line of this.stateChangeLines.toSorted(byTime)) {
			const field = stateChangeFields[line.event]!;
			const isRelevant = processes.has(line.vm) && (field !== 'instance' || instances.has(line.instance));
			if (momentaryEvents.has(line.event)) {
				if (isRelevant && isNear(line, first, last)) {
					during.push(line);
				}
			} else if (isRelevant && line.time < first.time) {
				// Of a process, the last line of each event counts: its configuration does not change when it starts to drain.
				const changed = field === 'vm' ? line.event : String(line[field]);
				before.set(`${line.vm} ${field} ${changed}`, line);
			} else if (isRelevant && line.time <= last.time) {
				during.push(line);
			}
		}

		return {request, stateChanges: [...before.values(), ...during].toSorted(byTime)};
	}
}

/** Formats a log line for operators: time, VM and event, then the other fields as `name=value`. */
export function formatLogLine(line: LogLine): string {
	const fields = Object.entries(line).filter(([name]) => !commonFields.has(name)).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return [line.time, line.vm, line.event, ...fields].join(' ');
}

function isNear({time}: LogLine, first: LogLine, last: LogLine): boolean {
	const atMs = Date.parse(time);
	return atMs >= Date.parse(first.time) - momentRangeMs.before && atMs <= Date.parse(last.time) + momentRangeMs.after;
}

function byTime(a: LogLine, b: LogLine): number {
	return a.time < b.time ? -1 : (a.time > b.time ? 1 : 0);
}
