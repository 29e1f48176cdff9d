/** Structured logs: one JSON line per event on standard output, one event name per kind. */
import bunyan from 'bunyan';
import type {VmId} from '../ids/vm-id.ts';
import {LogSink} from './log-sink.ts';

/** The logger that every part is handed. */
export type Logger = bunyan;

/** The levels that settings may name. */
export const logLevels = ['trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const;

/** A log level. */
export type LogLevel = (typeof logLevels)[number];

const standardOutput = 1;

/** The one writer of this process. */
export const logSink = new LogSink(standardOutput);

/**
 * Creates the logger of a process.
 *
 * @param vm - the VM that the process runs on
 * @param level - the least level that is written
 */
export function createLogger(vm: VmId, level: LogLevel): Logger {
	return bunyan.createLogger({
		name: 'cactusreach',
		vm,
		serializers: {err: describeError},
		streams: [{level, type: 'raw', stream: logSink as unknown as NodeJS.WritableStream}],
	});
}

/** Creates a logger that writes nothing, for tests and benchmarks. */
export function createSilentLogger(): Logger {
	return bunyan.createLogger({name: 'silent', level: bunyan.FATAL + 1});
}

/** One line without a stack: failures of the network are frequent and their messages name their cause. */
function describeError(err: unknown): unknown {
	return err instanceof Error ? {name: err.name, message: err.message} : err;
}
