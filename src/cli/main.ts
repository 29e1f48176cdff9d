/** The command line interface of cactusreach: parses the arguments and runs the command. */
import process from 'node:process';
import {cac} from 'cac';
import {initRendezvousHash} from '../runtime/rendezvous.ts';
import {InvalidSettingsError} from '../settings/parse-settings.ts';
import type {CheckOptions} from './check-command.ts';
import {exitCodes} from './exit-codes.ts';
import type {StandinOptions} from './standin-command.ts';
import {UsageError} from './usage-error.ts';

/** The version that `--version` prints. */
const programVersion = '0.1.0';

/** The description of the hidden command, by which the general help finds and omits it. */
const hiddenCommandDescription = 'Serve stand-ins, for development';

// Each command imports its modules dynamically, so that a process does not keep the modules of other commands in memory.
const cli = cac('cactusreach');

cli.command('entry', 'Run the callers\' front on an entry VM')
	.option('--settings <file>', 'Settings in INI')
	.action(async (options: {settings?: string}) => {
		const {runEntryCommand} = await import('./entry-agent-commands.ts');
		return runEntryCommand(options.settings);
	});

cli.command('agent', 'Run the process beside one upstream')
	.option('--settings <file>', 'Settings in INI')
	.action(async (options: {settings?: string}) => {
		const {runAgentCommand} = await import('./entry-agent-commands.ts');
		return runAgentCommand(options.settings);
	});

cli.command('gateway', 'Run the callers\' front that calls upstreams itself')
	.option('--settings <file>', 'Settings in INI')
	.action(async (options: {settings?: string}) => {
		const {runGatewayCommand} = await import('./gateway-stager-commands.ts');
		return runGatewayCommand(options.settings);
	});

cli.command('stager', 'Run the process that brings weights into the engine on its VM')
	.option('--settings <file>', 'Settings in INI')
	.action(async (options: {settings?: string}) => {
		const {runStagerCommand} = await import('./gateway-stager-commands.ts');
		return runStagerCommand(options.settings);
	});

cli.command('check <...files>', 'Check settings (.ini), configuration documents and published configurations (.json)')
	.option('--against <file|address>', 'Compare a published configuration with the one in a file or in force at a gateway')
	.option('--settings <file>', 'Settings of a gateway, for limits that depend on them')
	.option('--json', 'Print JSON')
	.action(async (files: string[], options: CheckOptions) => {
		const {checkCommand} = await import('./check-command.ts');
		return checkCommand(files, options);
	});

cli.command('dump <address>', 'Print the state of a running process as JSON')
	.option('--rollout', 'Print the progress of rollouts by zone, asking every agent that the process knows')
	.action(async (address: string, options: {rollout?: boolean}) => {
		const {dumpCommand} = await import('./dump-command.ts');
		return dumpCommand(address, options);
	});

cli.command('explain <id> <...files>', 'Print what the logs of any number of processes say of one request')
	.action(async (id: string, files: string[]) => {
		const {explainCommand} = await import('./explain-command.ts');
		return explainCommand(id, files);
	});

cli.command('demo', 'Run a rollout with live calls on loopback and check every answer')
	.action(async () => {
		const {demoCommand} = await import('./demo-command.ts');
		return demoCommand();
	});

cli.command('standin <...parts>', hiddenCommandDescription)
	.option('--token-ms <ms>', 'Time between two tokens of an engine')
	.option('--capacity <calls>', 'Calls that an engine runs at once')
	.option('--state-lag-ms <ms>', 'Age of an engine\'s reported state')
	.option('--cached-prefixes <count>', 'Prompt prefixes that an engine keeps')
	.option('--prefill-ms <ms>', 'Time to read a prompt that is not cached')
	.option('--ignore-fence', 'Obey orders with an old fencing number')
	.option('--run-ms <ms>', 'Time that one run of a plain service takes')
	.option('--origin-bytes-per-second <bytes>', 'Rate of the origin')
	.action(async (parts: string[], options: StandinOptions) => {
		const {standinCommand} = await import('./standin-command.ts');
		return standinCommand(parts, options);
	});

// The general help lists only the commands for operators; stand-ins are for development.
cli.help(sections => sections.map(section => ({
	...section, body: section.body.split('\n').filter(line => !line.includes(hiddenCommandDescription) && !/^ +\$ cactusreach standin --help/.test(line)).join('\n'),
})));
cli.version(programVersion);

// The single executable runs CommonJS, which does not support top-level await.
// eslint-disable-next-line unicorn/prefer-top-level-await
void run();

async function run(): Promise<void> {
	try {
		await initRendezvousHash();
		cli.parse(process.argv, {run: false});
		if (cli.matchedCommand) {
			process.exitCode = (await cli.runMatchedCommand() as number | undefined) ?? exitCodes.success;
		} else if (!cli.options.help && !cli.options.version) {
			throw new UsageError(cli.args[0] === undefined ? 'a command is required, see --help' : `unknown command ${cli.args[0]}, see --help`);
		}
	} catch (err) {
		console.error(err instanceof InvalidSettingsError ? err.message : `cactusreach: ${formatError(err as Error)}`);
		// Components that started before the failure keep timers and connections open, so the process would not exit by itself.
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(err instanceof UsageError || (err as Error).name === 'CACError' ? exitCodes.usage : exitCodes.failure);
	}
}

/** Error messages for system errors, by error code. */
const systemErrorMessages: Readonly<Record<string, ((err: NodeJS.ErrnoException & {address?: string; port?: number}) => string) | undefined>> = {
	EADDRINUSE: err => `cannot listen on ${err.address}:${err.port}: the port is already in use`,
	EADDRNOTAVAIL: err => `cannot listen on ${err.address}:${err.port}: this machine does not have the address`,
	EACCES: err => (err.port === undefined ? err.message : `cannot listen on ${err.address}:${err.port}: permission denied`),
};

function formatError(err: NodeJS.ErrnoException): string {
	return systemErrorMessages[err.code ?? '']?.(err) ?? err.message;
}
