/** Child processes of the demo: starts the same program again, and ends every child by its id. */
import {type ChildProcess, spawn} from 'node:child_process';
import net from 'node:net';
import process from 'node:process';
import {isSea} from 'node:sea';
import type {RandomSource} from '../runtime/random-source.ts';

/** Ports below the range from which the kernel takes the ports of outgoing connections. */
const firstPort = 20_000;
const portCount = 12_000;

/** How long a child may take to end after SIGTERM before it is killed, in milliseconds. */
const terminationTimeoutMs = 3000;

/** Log lines kept per child, to be printed when it ends unexpectedly. */
const maxLogLines = 20;

/** One child process. */
export type DemoChild = {
	readonly name: string;
	readonly child: ChildProcess;
	/** The last log lines. */
	readonly log: string[];
	/** Whether the demo itself ended the child. */
	isEndedByDemo: boolean;
};

/** Starts and ends the children. */
export class DemoProcesses {
	private readonly children: DemoChild[] = [];
	private readonly triedPorts = new Set<number>();

	/** @param random - chooses ports */
	constructor(private readonly random: RandomSource) {}

	/** How many children run now. */
	get runningCount(): number {
		return this.children.filter(({child}) => isRunning(child)).length;
	}

	/**
	 * Starts the program with arguments.
	 *
	 * @param name - names the child in messages
	 * @param args - command and options
	 */
	start(name: string, args: readonly string[]): DemoChild {
		// The single executable is the program itself; otherwise Node.js runs the bundle.
		const script = isSea() ? [] : [process.argv[1] ?? ''];
		const child = spawn(process.execPath, [...script, ...args], {stdio: ['ignore', 'pipe', 'pipe']});
		const started: DemoChild = {
			name, child, log: [], isEndedByDemo: false,
		};
		for (const output of [child.stdout, child.stderr]) {
			output.setEncoding('utf8').on('data', (text: string) => {
				started.log.push(...text.trimEnd().split('\n'));
				started.log.splice(0, started.log.length - maxLogLines);
			});
		}

		this.children.push(started);
		return started;
	}

	/**
	 * Throws when a child ended that the demo did not end.
	 *
	 * @throws Error with the child's last log lines
	 */
	assertRunning(): void {
		for (const {name, child, log, isEndedByDemo: ended} of this.children) {
			if (!ended && !isRunning(child)) {
				throw new Error(`process ${name} ended unexpectedly with code ${child.exitCode ?? child.signalCode}:\n${log.join('\n')}`);
			}
		}
	}

	/**
	 * Kills one child at once, as a lost VM would end.
	 *
	 * @param started - the child
	 */
	async kill(started: DemoChild): Promise<void> {
		started.isEndedByDemo = true;
		await signalAndWaitForExit(started.child, 'SIGKILL');
	}

	/** Ends all children: SIGTERM first, SIGKILL for those that stay. */
	async endAll(): Promise<void> {
		await Promise.all(this.children.map(async started => {
			started.isEndedByDemo = true;
			const timer = setTimeout(() => {
				started.child.kill('SIGKILL');
			}, terminationTimeoutMs);
			await signalAndWaitForExit(started.child, 'SIGTERM');
			clearTimeout(timer);
		}));
	}

	/** Returns a loopback address whose port is free now and is not handed out twice. */
	async findFreeAddress(): Promise<string> {
		for (;;) {
			const port = firstPort + this.random.below(portCount);
			if (!this.triedPorts.has(port)) {
				this.triedPorts.add(port);
				if (await isFreePort(port)) {
					return `127.0.0.1:${port}`;
				}
			}
		}
	}
}

function isRunning(child: ChildProcess): boolean {
	return child.exitCode === null && child.signalCode === null;
}

async function signalAndWaitForExit(child: ChildProcess, signal: NodeJS.Signals): Promise<void> {
	// A child that could not be started has no process id and never exits.
	if (!isRunning(child) || child.pid === undefined) {
		return;
	}

	await new Promise(resolve => {
		child.once('exit', resolve);
		child.kill(signal);
	});
}

async function isFreePort(port: number): Promise<boolean> {
	return new Promise(resolve => {
		const server = net.createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}
