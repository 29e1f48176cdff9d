/** Starts the project's programs with the commands of the deploy file, and writes the record of a case. */
/* eslint camelcase: off -- the wire of the platform has its own spelling */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync, createWriteStream,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const root = path.resolve(import.meta.dirname, '../..');
const maxRunMs = 115_000;

/** How long a machine has run without a disturbance when it counts as in touch, in milliseconds: `stable_window_ms` of the pages and a margin. */
const inTouchMs = 3500;

/** Exit codes of a case. */
export const held = 0;
export const broken = 1;
export const couldNotRun = 2;

/** Returns ports that are free at all of the hosts. */
export async function freePorts(count, hosts = ['127.0.0.1']) {
	const ports = [];
	for (let tries = 0; ports.length < count && tries < 200; tries++) {
		const port = 20_000 + Math.floor(Math.random() * 12_000);
		const checks = await Promise.all(hosts.map(async host => new Promise(resolve => {
			const server = net.createServer();
			server.once('error', () => {
				resolve(false);
			});
			server.listen(port, host, () => {
				server.close(() => {
					resolve(true);
				});
			});
		})));
		if (checks.every(Boolean) && !ports.includes(port)) {
			ports.push(port);
		}
	}

	return ports;
}

/** Returns the words of the command of a role in the deploy file. */
function runWords(role) {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const section = text.split(/^\[roles\./m).find(part => part.startsWith(`${role}]`));
	return /^run = "(.*)"$/m.exec(section)[1].split(' ');
}

/** Renders a template of the deploy file: values, and sections over a table. */
function render(role, fields) {
	const at = name => {
		let value = fields;
		for (const key of name.split('.')) {
			value = value?.[key];
		}

		return value;
	};

	const template = readFileSync(path.join(root, `deploy/${role}.ini.template`), 'utf8');
	const withSections = template.replaceAll(/{{#(\w+)}}([\s\S]*?){{\/\1}}/g, (_, name, inner) => Object.entries(fields[name] ?? {})
		.map(([key, value]) => inner.replaceAll('{{@}}', key).replaceAll('{{.}}', value)).join(''));
	return withSections.replaceAll(/{{([\w.]+)}}/g, (_, name) => {
		const value = at(name);
		return Array.isArray(value) ? value.join(',') : String(value ?? '');
	});
}

/** The bounds and limits of the small deployments of the pages (`sites/khn-reach`). */
export const siteBounds = {
	version_ms: 8000, retry_budget_ratio: 0.2, budget_slack: 100, budget_window_s: 10, grace_s: 8,
};
export const siteLimits = {memory_mb: 350, max_fds: 4200, link_mbps: 1000};

/** The limits that configurations of the pages set for requesters. */
export const callerLimits = {
	max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
};

/** One play of a case: its programs, its record and its end. */
export class Case {
	#folder = mkdtempSync(path.join(os.tmpdir(), 'review-'));
	#children = new Set();
	#startedMs = performance.now();
	#lines = [];
	#cleanups = [];

	/** @param folder - the folder of the case, which gets `record.txt` */
	constructor(folder) {
		this.recordFile = path.join(folder, 'record.txt');
		this.isTroubled = process.env.TROUBLE !== '0';
		this.note(`the disruption is ${this.isTroubled ? 'on' : 'off'}`);
		this.limit = setTimeout(() => {
			this.note('the time of the case is over');
			this.end(couldNotRun);
		}, maxRunMs);
		for (const event of ['uncaughtException', 'unhandledRejection']) {
			process.on(event, err => {
				this.note(`the case failed: ${err?.stack ?? err}`);
				this.end(couldNotRun);
			});
		}
	}

	/** Writes a line to the record. */
	note(text) {
		this.#lines.push(`${((performance.now() - this.#startedMs) / 1000).toFixed(3).padStart(8)} ${text}`);
	}

	/** Has a function called at the end. */
	atEnd(cleanup) {
		this.#cleanups.push(cleanup);
	}

	/** Starts a program of the deploy file; `fields` are those of its settings, as DEPLOY.md names them. */
	start(role, fields) {
		const settings = path.join(this.#folder, `${fields.node}.ini`);
		writeFileSync(settings, render(role, fields));
		const [program, ...words] = runWords(role);
		const child = spawn(program === 'node' ? process.execPath : program, words, {
			cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, CACTUSREACH_SETTINGS: settings}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		const log = createWriteStream(path.join(this.#folder, `${fields.node}.log`), {flags: 'a'});
		let errors = '';
		child.stdout.on('data', bytes => {
			log.write(bytes);
		});
		child.stderr.on('data', bytes => {
			errors = (errors + bytes).slice(0, 20_000);
		});
		const started = {
			child, fields, logFile: path.join(this.#folder, `${fields.node}.log`), errors: () => errors, hasEnded: () => child.exitCode !== null || child.signalCode !== null,
		};
		this.#children.add(started);
		this.note(`started ${fields.node} (${role})`);
		child.on('exit', (code, signal) => {
			this.note(`${fields.node} ended: ${signal ?? `exit code ${code}`}`);
		});
		return started;
	}

	/** Starts a gateway. */
	startGateway({node, ip, ports, seeds, store, limits = siteLimits, bounds = siteBounds, zone = 'zone-a', region = 'region-a'}) {
		return this.start('gateway', {
			node, ip, zone, region, zones: {[zone]: region}, listen: {front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}`, control: `${ip}:${ports.control}`},
			internal_ports: [ports.internal], seeds, platform: {address: store}, bounds, limits,
		});
	}

	/** Waits until a gateway says that it is ready, and is in touch: its start counts as a disturbance. */
	async waitUntilReady({fields}, maxMs = 20_000) {
		const untilMs = performance.now() + maxMs;
		while (performance.now() < untilMs) {
			const status = await getStatus(fields.listen.ready, '/v1/readyz');
			if (status === 200) {
				await sleep(inTouchMs);
				this.note(`${fields.node} is ready, and in touch`);
				return;
			}

			await sleep(100);
		}

		this.note(`${fields.node} did not become ready`);
		this.end(couldNotRun);
	}

	/** Ends the case: writes the record, ends all programs and exits. */
	end(code) {
		clearTimeout(this.limit);
		this.note({[held]: 'the rule held', [broken]: 'the rule was broken', [couldNotRun]: 'the case could not run'}[code]);
		writeFileSync(this.recordFile, `${this.#lines.join('\n')}\n`);
		for (const {child} of this.#children) {
			child.kill('SIGCONT');
			child.kill('SIGKILL');
		}

		for (const cleanup of this.#cleanups) {
			cleanup();
		}

		if (!process.env.KEEP_LOGS) {
			rmSync(this.#folder, {recursive: true, force: true});
		}

		// Connections and timers of the stand-ins would keep the case alive.
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(code);
	}
}

/** Asks for a path; returns the status, or undefined if there is no answer. */
async function getStatus(address, target) {
	return new Promise(resolve => {
		const req = http.get(`http://${address}${target}`, {agent: false, timeout: 1000}, res => {
			res.resume();
			resolve(res.statusCode);
		});
		req.on('timeout', () => {
			req.destroy();
		});
		req.on('error', () => {
			resolve(undefined);
		});
	});
}

/** Sends one request on a new connection; the result has the status, headers and body, or `failure`. */
export async function call(address, {method = 'POST', target, headers, body = '', timeoutMs = 10_000}) {
	return new Promise(resolve => {
		const req = http.request(`http://${address}${target}`, {method, agent: false, headers: {...headers, ...(method === 'GET' ? {} : {'content-length': Buffer.byteLength(body)})}}, res => {
			const parts = [];
			res.on('data', part => {
				parts.push(part);
			});
			res.on('error', () => undefined);
			res.on('close', () => {
				resolve({
					status: res.statusCode, headers: res.headers, body: Buffer.concat(parts).toString('latin1'), isComplete: res.complete,
				});
			});
		});
		req.setTimeout(timeoutMs, () => {
			req.destroy(new Error('no answer in time'));
		});
		req.on('error', err => {
			resolve({failure: err.code ?? err.message});
		});
		req.end(body);
	});
}
