/** Findings: problems in settings files and configuration documents. All findings are collected with their location and reported together. */

/** A problem and its location. */
export type Finding = {
	/** The file or the configuration path. */
	readonly file: string;
	/** The line number, starting at 1, if known. */
	readonly line?: number;
	/** The key, such as `listen.control`. */
	readonly key: string;
	/** What is wrong, as a phrase that follows the key, such as `is missing`. */
	readonly reason: string;
};

/**
 * Formats a finding as one line, `file:line: key: reason`.
 *
 * @example
 * formatFinding({file: 'a.ini', line: 3, key: 'listen.control', reason: 'is missing'}); // 'a.ini:3: listen.control: is missing'
 */
export function formatFinding(finding: Finding): string {
	const location = finding.line === undefined ? finding.file : `${finding.file}:${finding.line}`;
	return `${location}: ${finding.key}: ${finding.reason}`;
}
