/** Child processes of the demo. They run the same program, and each is ended through its own process handle. */
import {type ChildProcess, spawn} from 'node:child_process';
import net from 'node:net';
import process from 'node:process';
import {isSea} from 'node:sea';
import type {RandomSource} from '../runtime/random-source.ts';

/** Ports below the kernel's ephemeral range, so that outgoing connections do not take them. */
const firstPort = 20_000;
const portCount = 12_000;

/** Time that a child has to exit after SIGTERM before it gets SIGKILL, in milliseconds. */
const terminationTimeoutMs = 3000;

/** Maximum number of log lines kept per child, which are printed if it ends unexpectedly. */
const maxLogLines = 20;

/** A child process of the demo. */
export type DemoChild = {
	readonly name: string;
	readonly child: ChildProcess;
	/** The last log lines, at most {@link maxLogLines}. */
	readonly log: string[];
	/** Whether the demo itself has ended the child. */
	isEndedByDemo: boolean;
};

/** Starts and ends child processes. */
export class DemoProcesses {
	private readonly children: DemoChild[] = [];
	private readonly triedPorts = new Set<number>();

	/** @param random - selects ports */
	constructor(private readonly random: RandomSource) {}

	/** Number of running children. */
	get runningCount(): number {
		return this.children.filter(({child}) => isRunning(child)).length;
	}

	/**
	 * Starts the program as a child process.
	 *
	 * @param name - identifies the child in error messages
	 * @param args - command and options
	 */
	start(name: string, args: readonly string[]): DemoChild {
		// A single executable application contains the program; otherwise Node.js runs the bundle.
		const script = isSea() ? [] : [process.argv[1] ?? ''];
		const child = spawn(process.execPath, [...script, ...args], {stdio: ['ignore', 'pipe', 'pipe']});
		const demoChild: DemoChild = {
			name, child, log: [], isEndedByDemo: false,
		};
		for (const output of [child.stdout, child.stderr]) {
			output.setEncoding('utf8').on('data', (text: string) => {
				demoChild.log.push(...text.trimEnd().split('\n'));
				demoChild.log.splice(0, demoChild.log.length - maxLogLines);
			});
		}

		this.children.push(demoChild);
		return demoChild;
	}

	/**
	 * Checks that no child ended unexpectedly.
	 *
	 * @throws Error with the last log lines of a child that ended on its own
	 */
	assertRunning(): void {
		for (const {name, child, log, isEndedByDemo: ended} of this.children) {
			if (!ended && !isRunning(child)) {
				throw new Error(`process ${name} ended unexpectedly with code ${child.exitCode ?? child.signalCode}:\n${log.join('\n')}`);
			}
		}
	}

	/** Kills a child with SIGKILL, to simulate the loss of its VM. */
	async kill(demoChild: DemoChild): Promise<void> {
		demoChild.isEndedByDemo = true;
		await signalAndWaitForExit(demoChild.child, 'SIGKILL');
	}

	/** Ends all children with SIGTERM, and after a timeout with SIGKILL. */
	async endAll(): Promise<void> {
		await Promise.all(this.children.map(async demoChild => {
			demoChild.isEndedByDemo = true;
			const timer = setTimeout(() => {
				demoChild.child.kill('SIGKILL');
			}, terminationTimeoutMs);
			await signalAndWaitForExit(demoChild.child, 'SIGTERM');
			clearTimeout(timer);
		}));
	}

	/** Returns a loopback address whose port is currently free. Each port is returned at most once. */
	async findFreeAddress(): Promise<string> {
		for (;;) {
			const port = firstPort + this.random.nextInt(portCount);
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
	// A child that failed to start has no process id and never emits `exit`.
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
