/** Finds in processes' logs what decided the fate of one request. No I/O. */

/** One line of a log, as far as it matters here. */
export type LogLine = Readonly<Record<string, unknown>> & {
	readonly time: string;
	readonly vm: string;
	readonly event: string;
	readonly id?: string;
	readonly instance?: string;
	readonly tried?: readonly string[];
};

/** What was found, each in order of time. */
export type Explanation = {
	/** The lines of the request itself. */
	readonly request: readonly LogLine[];
	/** The last change of each belief that its processes acted on, and changes while it was under way. */
	readonly stateChanges: readonly LogLine[];
};

/** Events that change what a process believes, with the field that names what the belief is about. */
const beliefFields: Readonly<Record<string, string | undefined>> = {
	instance_seen: 'instance', instance_gone: 'instance', instance_unconfirmed: 'instance', instance_lost: 'instance', instance_back: 'instance',
	instance_suspect: 'instance', instance_trusted: 'instance', instance_changing: 'instance',
	configuration_taken: 'vm', configuration_refused: 'vm', version_named: 'model', source_lost: 'part', source_regained: 'part', history_lost: 'part',
	gateway_started: 'vm', settings_reloaded: 'vm', settings_refused: 'vm', drain_started: 'vm', process_paused: 'vm',
};

/** Fields that every line has, or that say nothing here. */
const commonFields = new Set(['name', 'hostname', 'pid', 'level', 'msg', 'v', 'time', 'vm', 'event', 'id']);

/**
 * Reads one line of a log.
 *
 * @param text - the line; what stands before the first brace is passed over
 * @returns undefined for a line that is no log line
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
		// A log may end in the middle of a line when its process was killed.
		return undefined;
	}
}

/** Gathers the lines of one request; takes lines in any order. */
export class RequestExplainer {
	private readonly request: LogLine[] = [];
	private readonly beliefs: LogLine[] = [];

	/** @param id - the id of the caller's attempt */
	constructor(private readonly id: string) {}

	/**
	 * Takes a line over.
	 *
	 * @param line - a line of any process
	 */
	add(line: LogLine): void {
		if (line.id === this.id) {
			this.request.push(line);
		} else if (beliefFields[line.event] !== undefined) {
			this.beliefs.push(line);
		}
	}

	/** Returns what was found. */
	explain(): Explanation {
		const request = this.request.toSorted(byTime);
		const [first, last] = [request[0], request.at(-1)];
		if (!first || !last) {
			return {request, stateChanges: []};
		}

		const processes = new Set(request.map(({vm}) => vm));
		const instances = new Set(request.flatMap(line => [line.instance, ...(line.tried ?? [])]));
		const before = new Map<string, LogLine>();
		const during: LogLine[] = [];
		for (const line of this.beliefs.toSorted(byTime)) {
			const field = beliefFields[line.event]!;
			const isRelevant = processes.has(line.vm) && (field !== 'instance' || instances.has(line.instance));
			if (isRelevant && line.time < first.time) {
				before.set(`${line.vm} ${field} ${String(line[field])}`, line);
			} else if (isRelevant && line.time <= last.time) {
				during.push(line);
			}
		}

		return {request, stateChanges: [...[...before.values()].toSorted(byTime), ...during]};
	}
}

/**
 * Formats a line for a reader.
 *
 * @param line - the line
 */
export function formatLogLine(line: LogLine): string {
	const fields = Object.entries(line).filter(([name]) => !commonFields.has(name)).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return [line.time, line.vm, line.event, ...fields].join(' ');
}

function byTime(a: LogLine, b: LogLine): number {
	return a.time < b.time ? -1 : (a.time > b.time ? 1 : 0);
}
