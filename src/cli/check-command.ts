/** `cactusreach check`: validates settings files and files of configuration documents. */
import {checkFile} from '../checks/check-file.ts';
import {formatFinding} from '../runtime/finding.ts';

/**
 * Checks files and prints all findings.
 *
 * @returns the exit code: 1 if there are findings
 */
export function checkCommand(files: readonly string[]): number {
	const findings = files.flatMap(file => checkFile(file));
	for (const finding of findings) {
		console.log(formatFinding(finding));
	}

	console.log(`${count(files.length, 'file')}, ${count(findings.length, 'finding')}`);
	return findings.length === 0 ? 0 : 1;
}

function count(number: number, noun: string): string {
	return `${number} ${noun}${number === 1 ? '' : 's'}`;
}
