/** Programs of the repository as processes of their own, for tests. */
import {type ChildProcess, spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import type {DirectoryStore} from './directory-store.ts';
import {waitFor} from './fleet.ts';
import {loopbackHost, reservePorts} from './loopback-ports.ts';

const program = path.join(import.meta.dirname, '../../dist/cactusreach.cjs');

/** A started process, and its output so far. */
export type Started = {readonly child: ChildProcess; readonly out: () => string};

/** A worker that `stream-worker.ts` runs. */
export type StreamWorker = Started & {
	readonly address: string;
	/** Returns how many runs the worker began, by attempt ID. */
	readonly runs: () => Promise<Record<string, number>>;
};

/** A gateway, the addresses at which callers and operators reach it, and its settings file. */
export type GatewayProcess = Started & {readonly url: string; readonly controlUrl: string; readonly settingsFile: string};

/** What distinguishes a gateway of a test from others. */
export type GatewayOptions = {
	/** Further lines of the section `process` of its settings. */
	readonly processSettings?: string;
	/** Whether the test reads what the gateway writes; if not, its standard output is a pipe that fills up. */
	readonly isOutputRead?: boolean;
	/** Options of Node.js. */
	readonly nodeOptions?: readonly string[];
};

/** The processes of one test, and a folder for their settings. */
export class Processes {
	private readonly folder = mkdtempSync(path.join(tmpdir(), 'cactusreach-processes-'));
	private readonly children: ChildProcess[] = [];

	/** Starts Node.js with the given arguments. */
	start(args: readonly string[], isOutputRead = true): Started {
		const child = spawn(process.execPath, args, {stdio: ['ignore', 'pipe', 'inherit']});
		this.children.push(child);
		if (!isOutputRead) {
			return {child, out: () => ''};
		}

		let text = '';
		child.stdout.setEncoding('utf8').on('data', (part: string) => {
			text += part;
		});
		return {child, out: () => text};
	}

	/** Starts a worker and waits until it listens. */
	async startStreamWorker(): Promise<StreamWorker> {
		const started = this.start(['--import', 'tsx', path.join(import.meta.dirname, 'stream-worker.ts')]);
		await waitFor('a worker listens', () => started.out().includes('\n'));
		const address = `127.0.0.1:${started.out().trim()}`;
		return {
			...started, address, async runs() {
				const res = await fetch(`http://${address}/runs`);
				return await res.json() as Record<string, number>;
			},
		};
	}

	/**
	 * Starts a peer that answers late and waits until it listens; returns the address of its HTTP server.
	 *
	 * @param host - the address at which it receives datagrams, at `port`
	 */
	async startLateWorker(host?: string, port?: number): Promise<string> {
		const {out} = this.start(['--import', 'tsx', path.join(import.meta.dirname, 'late-worker.ts'), ...(host === undefined ? [] : [host, String(port)])]);
		await waitFor('a worker listens', () => out().includes('\n'));
		return `127.0.0.1:${out().trim()}`;
	}

	/**
	 * Starts a gateway and waits until it is ready.
	 *
	 * @param limits - further lines of the section `limits` of its settings
	 */
	async startGateway(store: DirectoryStore, limits = '', {processSettings = '', isOutputRead = true, nodeOptions = []}: GatewayOptions = {}): Promise<GatewayProcess> {
		const [callers, control, readiness, datagrams] = reservePorts(4) as [number, number, number, number];
		const settings = path.join(this.folder, `gateway-${callers}.ini`);
		writeFileSync(settings, `[process]\nvm = g-${callers}\nzone = z\nregion = r\n${processSettings}\n[listen]\ncallers = ${loopbackHost}:${callers}\ncontrol = ${loopbackHost}:${control}\nreadiness = ${loopbackHost}:${readiness}\n`
		+ `datagrams = ${loopbackHost}:${datagrams}\n[directory]\naddress = ${store.address}\n[limits]\n${limits}`);
		const started = this.start([...nodeOptions, program, 'gateway', '--settings', settings], isOutputRead);
		await waitFor('the gateway is ready', async () => isAnswered(`http://${loopbackHost}:${readiness}/readyz`));
		return {
			...started, url: `http://${loopbackHost}:${callers}`, controlUrl: `http://${loopbackHost}:${control}`, settingsFile: settings,
		};
	}

	/**
	 * Starts a stager beside an engine that does not answer, and waits until it listens.
	 *
	 * @param limits - further lines of the section `limits` of its settings
	 * @param nodeOptions - options of Node.js
	 */
	async startStager(store: DirectoryStore, limits: string, nodeOptions: readonly string[]): Promise<Started & {readonly controlUrl: string}> {
		const [control, datagrams, engine] = reservePorts(3) as [number, number, number];
		const settings = path.join(this.folder, `stager-${control}.ini`);
		writeFileSync(settings, `[process]\nvm = s-${control}\nzone = z\nregion = r\n[listen]\ncontrol = ${loopbackHost}:${control}\n[peers]\nseeds =\ndatagram_port = ${datagrams}\n`
		+ `[directory]\naddress = ${store.address}\n[engine]\naddress = ${loopbackHost}:${engine}\nservice = desk\n[limits]\n${limits}`);
		const started = this.start([...nodeOptions, program, 'stager', '--settings', settings]);
		const controlUrl = `http://${loopbackHost}:${control}`;
		await waitFor('the stager listens', async () => isAnswered(`${controlUrl}/healthz`));
		return {...started, controlUrl};
	}

	/** Kills all processes. */
	stop(): void {
		for (const child of this.children.splice(0)) {
			child.kill('SIGKILL');
		}

		rmSync(this.folder, {recursive: true});
	}
}

/** Returns whether a GET request is answered with 200. */
export async function isAnswered(url: string): Promise<boolean> {
	try {
		const res = await fetch(url);
		return res.status === 200;
	} catch {
		// Nothing listens there yet.
		return false;
	}
}
