/** A small deployment on loopback: the project's programs, started with the commands and templates of the deploy file, and a record of what happened. */
/* eslint camelcase: "off" -- wire formats use their own spelling */
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Store} from './store.mjs';

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');

/** Whether the script plays the disturbance. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** The settings that are the same for all processes; the bounds are those of both sites. */
const commonFields = {
	zone: 'zone-a',
	region: 'region-a',
	bounds: {
		version_ms: 8000, retry_budget_ratio: 0.2, budget_slack: 100, budget_window_s: 10, grace_s: 8,
	},
	limits: {link_mbps: 1000},
};

/** The exit codes of a case. */
export const exitCodes = {held: 0, broken: 1, couldNotRun: 2};

export class Deployment {
	store = new Store();
	processes = [];
	startedAtMs = performance.now();

	/** @param directory - the folder of the case, where the record goes */
	constructor(directory) {
		this.recordFile = path.join(directory, 'record.txt');
		fs.writeFileSync(this.recordFile, '');
		this.scratch = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
	}

	/** Writes a line to the record. */
	record(text) {
		fs.appendFileSync(this.recordFile, `${((performance.now() - this.startedAtMs) / 1000).toFixed(3)} ${text}\n`);
	}

	async start() {
		await this.store.start('127.0.0.1');
		[this.datagramPort] = await freePorts('127.0.0.1', 1);
	}

	/** Returns the settings fields of a gateway on an address of its own. */
	async gatewayFields(node, ip) {
		const [front, control, ready] = await freePorts(ip, 3);
		return {
			...commonFields, node, ip, listen: {front: `${ip}:${front}`, control: `${ip}:${control}`, ready: `${ip}:${ready}`}, internal_ports: [this.datagramPort],
		};
	}

	/** Starts a role with the command of the deploy file; a process that ends is started again half a second later, as the platform does. */
	startRole(role, fields, seeds) {
		const {command, template} = readRole(role);
		const settings = path.join(this.scratch, `${fields.node}.ini`);
		const all = {...fields, seeds: seeds.join(','), platform: {address: this.store.address}};
		fs.writeFileSync(settings, fs.readFileSync(path.join(root, template), 'utf8').replaceAll(/{{([\w.]+)}}/g, (_, name) => lookUp(all, name)));
		const entry = {
			node: fields.node, fields, ends: [], isWanted: true, child: undefined, log: path.join(this.scratch, `${fields.node}.log`),
		};
		this.processes.push(entry);
		this.launch(entry, command, settings);
		return entry;
	}

	launch(entry, [program, ...args], settings) {
		const log = fs.openSync(entry.log, 'a');
		const child = spawn(program, args, {
			cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME ?? '/tmp', CACTUSREACH_SETTINGS: settings}, stdio: ['ignore', log, log],
		});
		fs.closeSync(log);
		entry.child = child;
		this.record(`${entry.node} started, pid ${child.pid}`);
		child.once('exit', (code, signal) => {
			this.record(`${entry.node} ended, code ${code}, signal ${signal}${entry.isSignalled ? ', after a signal of the test' : ', by itself'}`);
			if (!entry.isSignalled) {
				entry.ends.push(performance.now());
			}

			entry.isSignalled = false;
			if (entry.isWanted) {
				setTimeout(() => {
					if (entry.isWanted) {
						this.launch(entry, [program, ...args], settings);
					}
				}, 500);
			}
		});
	}

	/** Sends a signal to a process that this test started. */
	signal(entry, name) {
		this.record(`${name} to ${entry.node}`);
		entry.isSignalled ||= name === 'SIGKILL' || name === 'SIGTERM';
		entry.child.kill(name);
	}

	/** Waits until a gateway reports that it is ready. */
	async waitUntilReady(entry) {
		await this.waitFor(`${entry.node} is ready`, async () => {
			const res = await fetch(`http://${entry.fields.listen.ready}/v1/readyz`);
			await res.arrayBuffer();
			return res.status === 200;
		});
	}

	async waitFor(what, check, timeoutMs = 20_000) {
		const untilMs = performance.now() + timeoutMs;
		for (;;) {
			try {
				if (await check()) {
					return;
				}
			} catch {
				// Not there yet.
			}

			if (performance.now() > untilMs) {
				throw new Error(`timed out: ${what}`);
			}

			await sleep(50);
		}
	}

	/** Ends all processes and returns when they are gone. */
	async stop() {
		const open = this.processes.filter(({child}) => child.exitCode === null && child.signalCode === null);
		for (const entry of this.processes) {
			entry.isWanted = false;
			entry.isSignalled = true;
		}

		await Promise.all(open.map(async ({child}) => new Promise(resolve => {
			child.once('exit', resolve);
			child.kill('SIGCONT');
			child.kill('SIGKILL');
		})));
		this.store.close();
		if (process.env.KEEP_LOGS === undefined) {
			fs.rmSync(this.scratch, {recursive: true, force: true});
		} else {
			console.log(this.scratch);
		}
	}
}

/**
 * Runs a case and ends the process with its exit code.
 *
 * @param url - the module of the case
 * @param play - plays the case; returns what was seen against the rule, or nothing if it held
 */
export async function runCase(url, play) {
	const deployment = new Deployment(path.dirname(fileURLToPath(url)));
	let code = exitCodes.couldNotRun;
	const guard = setTimeout(async () => {
		deployment.record('the case took too long');
		await deployment.stop();
		exit(exitCodes.couldNotRun);
	}, 110_000);
	try {
		await deployment.start();
		const finding = await play(deployment);
		code = finding ? exitCodes.broken : exitCodes.held;
		deployment.record(finding ? `BROKEN: ${finding}` : 'the rule held');
		console.log(finding ?? 'the rule held');
	} catch (err) {
		deployment.record(`the case could not run: ${err.stack}`);
		console.error(err);
	}

	clearTimeout(guard);
	await deployment.stop();
	exit(code);
}

/** Ends the process although a stand-in may still have a channel open. */
function exit(code) {
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit(code);
}

export async function sleep(ms) {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Returns ports that are free at the moment. */
export async function freePorts(host, count) {
	const servers = await Promise.all(Array.from({length: count}, async () => new Promise(resolve => {
		const server = net.createServer().listen(0, host, () => {
			resolve(server);
		});
	})));
	const ports = servers.map(server => server.address().port);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}

function readRole(role) {
	const section = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8').split(`[roles.${role}]`)[1].split('[roles.')[0];
	const value = name => new RegExp(`^${name} = "(.*)"$`, 'm').exec(section)[1];
	return {command: value('run').split(' '), template: value('template')};
}

function lookUp(fields, name) {
	let value = fields;
	for (const part of name.split('.')) {
		value = value?.[part];
	}

	return String(value ?? '');
}
