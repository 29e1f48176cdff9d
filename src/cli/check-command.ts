/** `cactusreach check`: validates settings files, files of configuration documents, and files with a published configuration. */
import {existsSync} from 'node:fs';
import {platformAdapter} from '../../platform/platform-adapter.ts';
import {
	checkConfiguration, type DeploymentFacts, findFaults, toCheckedConfiguration,
} from '../checks/check-configuration.ts';
import {checkFile} from '../checks/check-file.ts';
import {type GroupedFinding, isNote} from '../checks/configuration-finding.ts';
import {
	type InForce, readInForceFile, readInForceProcess, readPublishedFile,
} from '../checks/read-published.ts';
import {isAddress} from '../links/address.ts';
import {PeerClient} from '../links/peer-client.ts';
import {type Finding, formatFinding} from '../runtime/finding.ts';
import {type GatewaySettings, gatewaySettingsSchema} from '../settings/direct-settings.ts';
import {InvalidSettingsError, readSettings} from '../settings/parse-settings.ts';
import {exitCodes} from './exit-codes.ts';
import {UsageError} from './usage-error.ts';

/** Options of the command. */
export type CheckOptions = {
	/** A file with the configuration in force, or the control address of a gateway. */
	readonly against?: string;
	/** Settings of a gateway. */
	readonly settings?: string;
	readonly json?: boolean;
};

/** What was learnt about the deployment, and what was wrong with the files that should tell it. */
type Facts = {readonly facts: DeploymentFacts; readonly findings: readonly GroupedFinding[]};

const {inspectConfiguration} = platformAdapter;

/**
 * Checks files and prints all findings.
 *
 * @param files - settings (any name) and published documents or configurations (`.json`)
 * @returns the exit code: 1 if there are findings
 * @throws UsageError if there is nothing to compare, or nothing to compare with
 */
export async function checkCommand(files: readonly string[], options: CheckOptions = {}): Promise<number> {
	const published = new Map(files.filter(file => file.endsWith('.json')).map(file => [file, readPublishedFile(file, inspectConfiguration)]));
	const {facts, findings: factFindings} = await readFacts(options);
	const findings = [...factFindings, ...files.flatMap(file => {
		const parsed = published.get(file);
		if (!parsed) {
			return checkFile(file).map(finding => toError(finding));
		}

		const checked = toCheckedConfiguration(parsed);
		return [...findFaults(parsed), ...(checked ? checkConfiguration(checked, facts) : [])];
	})];
	if (options.against !== undefined && findings.length === 0 && ![...published.values()].some(Boolean)) {
		throw new UsageError('--against needs a file with a published configuration to compare');
	}

	const reported = {files: files.length, findings: findings.filter(finding => !isNote(finding)), notes: findings.filter(finding => isNote(finding))};
	console.log(options.json ? JSON.stringify(reported, null, '\t') : formatReport(reported, options.against !== undefined));
	return reported.findings.length === 0 ? exitCodes.success : exitCodes.failure;
}

function formatReport({files, findings, notes}: {files: number; findings: readonly GroupedFinding[]; notes: readonly GroupedFinding[]}, isCompared: boolean): string {
	const counts = [count(files, 'file'), count(findings.length, 'finding'), ...(isCompared ? [count(notes.length, 'note')] : [])];
	return [...[...findings, ...notes].map(finding => formatGrouped(finding)), counts.join(', ')].join('\n');
}

/** Adds the effect of a difference to its line. */
function formatGrouped(finding: GroupedFinding): string {
	return `${formatFinding(finding)}${finding.effect === undefined ? '' : ` [${finding.effect}]`}`;
}

async function readFacts({against, settings}: CheckOptions): Promise<Facts> {
	const gateway = settings === undefined ? {facts: {}, findings: []} : readGatewayFacts(settings);
	const inForce = against === undefined ? undefined : await readInForce(against);
	if (!inForce) {
		return gateway;
	}

	if (!inForce.ok) {
		return {facts: gateway.facts, findings: [...gateway.findings, toError(inForce.finding)]};
	}

	const {ok: _, ...known} = inForce;
	return {facts: {...gateway.facts, ...known}, findings: gateway.findings};
}

function readGatewayFacts(file: string): Facts {
	try {
		const {limits, zones}: GatewaySettings = readSettings(file, gatewaySettingsSchema);
		return {
			facts: {
				retryLimit: {ratio: limits.retry_ratio, slack: limits.retry_slack},
				...(Object.keys(zones).length > 0 ? {regionByZone: new Map(Object.entries(zones))} : {}),
			},
			findings: [],
		};
	} catch (err) {
		if (err instanceof InvalidSettingsError) {
			return {facts: {}, findings: err.findings.map(finding => toError(finding))};
		}

		throw err;
	}
}

async function readInForce(against: string): Promise<InForce> {
	if (existsSync(against)) {
		return readInForceFile(against, inspectConfiguration);
	}

	if (!isAddress(against)) {
		throw new UsageError(`--against ${against} is neither a file nor host:port`);
	}

	const links = new PeerClient();
	try {
		return await readInForceProcess(links, against);
	} finally {
		await links.close();
	}
}

function toError(finding: Finding): GroupedFinding {
	return {group: 'error', ...finding};
}

function count(number: number, noun: string): string {
	return `${number} ${noun}${number === 1 ? '' : 's'}`;
}
