/** `cactusreach explain`: prints the log lines that explain the outcome of one request. */
import {createReadStream} from 'node:fs';
import readline from 'node:readline';
import {formatLogLine, parseLogLine, RequestExplainer} from '../reports/explain-request.ts';
import {exitCodes} from './exit-codes.ts';

/**
 * Prints the state changes that the processes of a request acted on, then the lines of the request, both in order of time over all logs.
 *
 * @param id - the attempt id that the caller sent with the request
 * @param files - log files of any number of processes
 * @returns the exit code: 1 if no log contains the request
 */
export async function explainCommand(id: string, files: readonly string[]): Promise<number> {
	const explainer = new RequestExplainer(id);
	for (const file of files) {
		for await (const text of readline.createInterface({input: createReadStream(file), crlfDelay: Number.POSITIVE_INFINITY})) {
			const line = parseLogLine(text);
			if (line) {
				explainer.add(line);
			}
		}
	}

	const {request, stateChanges} = explainer.explain();
	if (request.length === 0) {
		console.log(`no line of request ${id} in ${files.length} files; it did not reach these processes, or its lines were dropped (see lines_dropped)`);
		return exitCodes.failure;
	}

	console.log('what its processes believed:');
	for (const line of stateChanges) {
		console.log(`  ${formatLogLine(line)}`);
	}

	console.log('the request:');
	for (const line of request) {
		console.log(`  ${formatLogLine(line)}`);
	}

	return exitCodes.success;
}
