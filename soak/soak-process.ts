/** One process of a soak, which is started again after it has ended. */
import {type ChildProcess, type StdioOptions, spawn} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync} from 'node:fs';
import process from 'node:process';

/** Processes that are killed when this one ends early. */
const running = new Set<ChildProcess>();

process.on('exit', () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
});

/** How a process is started. */
export type SoakProcessOptions = {
	readonly name: string;
	readonly args: () => readonly string[];
	readonly logFile: string;
	/** Handles a message of the process; if it is set, there is a channel for messages. */
	readonly onMessage?: (message: unknown) => void;
	/** Called when the process ended by itself, by a signal that was not sent, or with another code than 0 after SIGTERM. */
	readonly onUnexpectedEnd: (what: string) => unknown;
};

/** A process that is controlled by its own ID. */
export class SoakProcess {
	/** Number of starts so far. */
	starts = 0;
	private lastSignal: NodeJS.Signals | undefined;
	private child: ChildProcess | undefined;
	private ended: Promise<unknown> = Promise.resolve();

	/** @param options - how the process is started */
	constructor(readonly options: SoakProcessOptions) {}

	/** Whether the process runs. */
	get isRunning(): boolean {
		return this.child !== undefined;
	}

	/** Starts the process. Its output is added to its log file. */
	start(): void {
		const {args, logFile, onMessage} = this.options;
		const file = openSync(logFile, 'a');
		const stdio: StdioOptions = ['ignore', file, file, ...(onMessage ? ['ipc' as const] : [])];
		const child = spawn(process.execPath, args(), {stdio});
		closeSync(file);
		this.child = child;
		this.starts++;
		running.add(child);
		if (onMessage) {
			child.on('message', onMessage);
		}

		this.lastSignal = undefined;
		this.ended = this.watchEnd(child);
	}

	/** Sends a signal, unless the process has ended. */
	signal(signal: NodeJS.Signals): void {
		if (signal === 'SIGTERM' || signal === 'SIGKILL') {
			this.lastSignal = signal;
		}

		this.child?.kill(signal);
	}

	/** Sends a message, unless the process has ended. */
	send(message: Record<string, unknown>): void {
		if (this.child?.connected) {
			this.child.send(message);
		}
	}

	/** Waits until the process has ended; returns whether it did so in time. */
	async waitForEnd(timeoutMs: number): Promise<boolean> {
		let timer: NodeJS.Timeout | undefined;
		const timeout = new Promise<boolean>(resolve => {
			timer = setTimeout(resolve, timeoutMs, false);
		});
		const hasEnded = await Promise.race([this.hasEnded(), timeout]);
		clearTimeout(timer);
		return hasEnded;
	}

	/** Kills the process and waits until it is gone. */
	async kill(): Promise<void> {
		this.signal('SIGKILL');
		await this.ended;
	}

	private async hasEnded(): Promise<true> {
		await this.ended;
		return true;
	}

	private async watchEnd(child: ChildProcess): Promise<void> {
		const [code, signal] = await once(child, 'exit') as [number | null, NodeJS.Signals | null];
		this.child = undefined;
		running.delete(child);
		const isExpected = this.lastSignal === 'SIGTERM' ? code === 0 : signal === 'SIGKILL' && this.lastSignal === 'SIGKILL';
		if (!isExpected) {
			this.options.onUnexpectedEnd(`${this.options.name} ended with code ${code}, signal ${signal}, after ${this.lastSignal ?? 'no signal'} was sent`);
		}
	}
}
