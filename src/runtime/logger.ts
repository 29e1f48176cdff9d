/** Structured logs: one JSON line per event on standard error, one event name per kind. */
import process from 'node:process';
import bunyan from 'bunyan';
import type {VmId} from '../ids/vm-id.ts';

/** The logger that every part is handed. */
export type Logger = bunyan;

/** The levels that settings may name. */
export const logLevels = ['trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const;

/** A log level. */
export type LogLevel = (typeof logLevels)[number];

/**
 * Creates the logger of a process.
 *
 * @param vm - the VM that the process runs on
 * @param level - the least level that is written
 */
export function createLogger(vm: VmId, level: LogLevel): Logger {
	return bunyan.createLogger({
		name: 'cactusreach', vm, level, stream: process.stderr,
	});
}

/** Creates a logger that writes nothing, for tests and benchmarks. */
export function createSilentLogger(): Logger {
	return bunyan.createLogger({name: 'silent', level: bunyan.FATAL + 1});
}
