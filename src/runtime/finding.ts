/** Findings: problems in files and documents, collected with their place and reported together. */

/** One problem and where it stands. */
export type Finding = {
	/** The file or the configuration path. */
	readonly file: string;
	/** The line, from 1, where it is known. */
	readonly line?: number;
	/** The key, such as `listen.control`. */
	readonly key: string;
	/** What is wrong, as a sentence part. */
	readonly reason: string;
};

/**
 * Writes a finding as one line, `file:line: key: reason`.
 *
 * @param finding - the finding
 * @example
 * formatFinding({file: 'a.ini', line: 3, key: 'listen.control', reason: 'is missing'}); // 'a.ini:3: listen.control: is missing'
 */
export function formatFinding(finding: Finding): string {
	const place = finding.line === undefined ? finding.file : `${finding.file}:${finding.line}`;
	return `${place}: ${finding.key}: ${finding.reason}`;
}
