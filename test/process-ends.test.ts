/** What ends a process, and what it says then. */
import {type ChildProcess, spawn, spawnSync} from 'node:child_process';
import {
	closeSync, mkdtempSync, openSync, readFileSync, renameSync, rmSync, writeFileSync, writeSync,
} from 'node:fs';
import type net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {HttpListener} from '../src/links/http-listener.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {waitFor} from './support/fleet.ts';
import {loopbackHost, reservePorts} from './support/loopback-ports.ts';

const program = path.join(import.meta.dirname, '../dist/cactusreach.cjs');
const children: ChildProcess[] = [];
let folder = '';

beforeEach(() => {
	folder = mkdtempSync(path.join(tmpdir(), 'cactusreach-ends-'));
});

afterEach(() => {
	for (const child of children.splice(0)) {
		child.kill('SIGKILL');
	}

	rmSync(folder, {recursive: true});
});

function gatewaySettings(): string {
	const [callers, control, readiness, datagrams, store] = reservePorts(5);
	return `[process]\nvm = g\nzone = z\nregion = r\n[listen]\ncallers = ${loopbackHost}:${callers}\ncontrol = ${loopbackHost}:${control}\nreadiness = ${loopbackHost}:${readiness}\nreadiness_path = /v1/readyz\n`
		+ `datagrams = ${loopbackHost}:${datagrams}\n[peers]\nseeds =\n[directory]\naddress = ${loopbackHost}:${store}\n[limits]\nversion_bound_ms = 8000\nretry_ratio = 0.2\nretry_slack = 100\nretry_window_s = 10\ngrace_s = 8\n`;
}

/** A started process, its output so far and its end. */
type Started = {readonly child: ChildProcess; readonly out: () => string; readonly ended: Promise<readonly [number | null, string | null]>};

function start(args: readonly string[]): Started {
	const child = spawn(process.execPath, args, {stdio: ['ignore', 'pipe', 'pipe']});
	children.push(child);
	let out = '';
	const collect = (text: string) => {
		out += text;
	};

	child.stdout.setEncoding('utf8').on('data', collect);
	child.stderr.setEncoding('utf8').on('data', collect);

	const ended = new Promise<readonly [number | null, string | null]>(resolve => {
		child.once('exit', (code, signal) => {
			resolve([code, signal]);
		});
	});
	return {child, out: () => out, ended};
}

/** Returns whether a process has a listener for SIGHUP, signal 1, which the kernel shows as the lowest bit of a mask. */
function catchesHangup(child: ChildProcess): boolean {
	const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
	return Number.parseInt(/^SigCgt:.*([\da-f])$/m.exec(status)?.[1] ?? '0', 16) % 2 === 1;
}

it('guards against a signal that ends a process which is starting: SIGHUP and SIGTERM are kept before the settings are read, and obeyed when the gateway runs', async () => {
	// Reading the settings waits until the test writes them.
	const settings = path.join(folder, 'gateway.ini');
	spawnSync('mkfifo', [settings]);
	const {child, out, ended} = start([program, 'gateway', '--settings', settings]);
	await waitFor('the process listens to signals', () => catchesHangup(child));
	child.kill('SIGHUP');
	child.kill('SIGHUP');
	await sleep(50);
	const text = gatewaySettings();
	const pipe = openSync(settings, 'w');
	// The reload that the signals ask for finds a plain file.
	writeFileSync(`${settings}.new`, text);
	renameSync(`${settings}.new`, settings);
	writeSync(pipe, text);
	closeSync(pipe);
	await waitFor('the settings are reloaded', () => out().includes('"event":"settings_reloaded"'));
	child.kill('SIGTERM');
	child.kill('SIGTERM');
	child.kill('SIGHUP');
	expect(await ended).to.deep.equal([0, null]);
});

it('guards against an end without a word: an exception that nothing owns gives one line with its cause, the last answers of the calls, and an exit code of its own', async () => {
	const script = path.join(folder, 'fail.ts');
	const source = path.join(import.meta.dirname, '../src/runtime');
	writeFileSync(script, `import {installFailureReport, setFailureHooks} from '${source}/process-failure.ts';
import {createLogger} from '${source}/logger.ts';
installFailureReport();
setFailureHooks({log: createLogger('vm-1' as never, 'info'), state: () => ({openCalls: 2}), endCalls() { console.log('calls ended'); }});
setTimeout(() => { void Promise.reject(new TypeError('a mistake')); }, 10);
setTimeout(() => { throw new Error('one more'); }, 20);
setInterval(() => undefined, 1000);
`);
	const {out, ended} = start(['--import', 'tsx', script]);
	expect(await ended).to.deep.equal([70, null]);
	const lines = out().split('\n').filter(line => line.includes('process_failed')).map(line => JSON.parse(line) as Record<string, unknown>);
	expect(lines).to.have.lengthOf(1);
	expect(lines[0]).to.deep.include({
		vm: 'vm-1', level: 60, openCalls: 2, origin: 'unhandledRejection', err: {name: 'TypeError', message: 'a mistake'},
	});
	expect(out()).to.include('calls ended');
});

it('guards against a listener that ends the process when no descriptor is left: it reports each failure and goes on', async () => {
	const listener = new HttpListener({}, createSilentLogger());
	await listener.start({host: '127.0.0.1', port: 0});
	const {server} = listener as unknown as {server: net.Server};
	for (let at = 0; at < 3; at++) {
		server.emit('error', Object.assign(new Error('accept EMFILE'), {code: 'EMFILE'}));
	}

	listener.destroy();
});
