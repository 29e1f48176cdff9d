/** The command line of cactusreach. */
import process from 'node:process';
import {cac} from 'cac';
import {prepareRendezvous} from '../runtime/rendezvous.ts';
import {InvalidSettingsError} from '../settings/parse-settings.ts';
import {checkCommand} from './check-command.ts';
import {demoCommand} from './demo-command.ts';
import {dumpCommand} from './dump-command.ts';
import {runAgentCommand, runEntryCommand} from './role-commands.ts';
import {standinCommand, type StandinOptions} from './standin-command.ts';

/** The version that `--version` prints. */
const programVersion = '0.1.0';

/** Marks commands that the general help leaves out. */
const hiddenCommandNote = 'Serve stand-ins, for development';

/** Exit codes of all commands. */
export const exitCodes = {fine: 0, findings: 1, usage: 2} as const;

const cli = cac('cactusreach');

cli.command('entry', 'Run the callers\' front on an entry VM')
	.option('--settings <file>', 'Settings in INI')
	.action(async (options: {settings?: string}) => runEntryCommand(options.settings));

cli.command('agent', 'Run the process beside one upstream')
	.option('--settings <file>', 'Settings in INI')
	.action(async (options: {settings?: string}) => runAgentCommand(options.settings));

cli.command('check <...files>', 'Check settings (.ini) and configuration documents (.json)')
	.action((files: string[]) => checkCommand(files));

cli.command('dump <address>', 'Print the state of a running process as JSON')
	.action(async (address: string) => dumpCommand(address));

cli.command('demo', 'Run a rollout with live calls on loopback and check every answer')
	.action(async () => demoCommand());

cli.command('standin <...parts>', hiddenCommandNote)
	.option('--token-ms <ms>', 'Time between two tokens of an engine')
	.option('--capacity <calls>', 'Calls that an engine runs at once')
	.option('--state-lag-ms <ms>', 'Age of an engine\'s reported state')
	.option('--run-ms <ms>', 'Time that one run of a plain service takes')
	.option('--origin-bytes-per-second <bytes>', 'Rate of the origin')
	.action(async (parts: string[], options: StandinOptions) => standinCommand(parts, options));

// The general help lists what operators use; the stand-ins are for development only.
cli.help(sections => sections.map(section => ({
	...section, body: section.body.split('\n').filter(line => !line.includes(hiddenCommandNote) && !/^ +\$ cactusreach standin --help/.test(line)).join('\n'),
})));
cli.version(programVersion);

// The single executable runs CommonJS, which has no top-level await.
// eslint-disable-next-line unicorn/prefer-top-level-await
void run();

async function run(): Promise<void> {
	try {
		await prepareRendezvous();
		cli.parse(process.argv, {run: false});
		if (cli.matchedCommand) {
			process.exitCode = (await cli.runMatchedCommand() as number | undefined) ?? exitCodes.fine;
		} else if (!cli.options.help && !cli.options.version) {
			cli.outputHelp();
			process.exitCode = exitCodes.usage;
		}
	} catch (err) {
		console.error((err as Error).message);
		process.exitCode = err instanceof InvalidSettingsError ? exitCodes.findings : exitCodes.usage;
	}
}
