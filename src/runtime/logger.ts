/** Structured logging: one JSON line per event on standard output, with one event name per kind of event. */
import bunyan from 'bunyan';
import type {VmId} from '../ids/vm-id.ts';
import {LogSink} from './log-sink.ts';

/** The logger that is passed to every component. */
export type Logger = bunyan;

/** The log levels that the settings accept. */
export const logLevels = ['trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const;

/** A log level. */
export type LogLevel = (typeof logLevels)[number];

const stdoutFd = 1;

/** The sink that all loggers of this process write to. */
export const logSink = new LogSink(stdoutFd);

/**
 * Creates the logger of a process.
 *
 * @param vm - the VM that the process runs on, which every line contains
 * @param level - the lowest level that is written
 */
export function createLogger(vm: VmId, level: LogLevel): Logger {
	return bunyan.createLogger({
		name: 'cactusreach',
		vm,
		serializers: {err: serializeError},
		streams: [{level, type: 'raw', stream: logSink as unknown as NodeJS.WritableStream}],
	});
}

/** Creates a logger that writes nothing, for tests and benchmarks. */
export function createSilentLogger(): Logger {
	return bunyan.createLogger({name: 'silent', level: bunyan.FATAL + 1});
}

/** Serializes an error without its stack: network failures are frequent, and their messages name the cause. */
function serializeError(err: unknown): unknown {
	return err instanceof Error ? {name: err.name, message: err.message} : err;
}
