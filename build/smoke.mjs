/** Smoke test of the built executable: version, help, validation of the examples, and one call from an entry through an agent to an engine. */
import {execFileSync, spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';

const root = path.join(import.meta.dirname, '..');
const executable = path.join(root, 'dist/cactusreach');
const folder = mkdtempSync(path.join(tmpdir(), 'cactusreach-smoke-'));
const children = [];
/** Output of the processes; printed when a step fails. */
const log = [];

/** Maximum duration of each wait, in milliseconds. */
const waitTimeoutMs = 60_000;

try {
	expectText('--version', run('--version'), 'cactusreach/');
	expectText('--help', run('--help'), 'agent');
	const examples = ['entry.ini', 'agent-engine.ini', 'agent-plain.ini', 'gateway.ini', 'stager.ini', 'configuration.json'];
	expectText('check', run('check', ...examples.map(name => path.join('examples', name))), ' 0 findings');
	await callThroughExecutable();
} catch (err) {
	console.error(Buffer.concat(log).toString('utf8'));
	throw err;
} finally {
	await Promise.all(children.map(async child => kill(child)));
	rmSync(folder, {recursive: true});
}

async function callThroughExecutable() {
	const [platform, engine, control, entryControl, callers] = await freeAddresses(5);
	start('standin', `platform=${platform}`, `engine=${engine}`);
	await waitFor('the stand-ins', async () => {
		const res = await fetch(`http://${platform}/v1/vms`);
		return res.ok;
	});
	const location = {zone: 'zone-a', region: 'region-a'};
	await post(platform, '/admin/vms', [
		{
			vm: 'engine-1', role: 'upstream', state: 'live', address: control, services: ['assistant'], ...location,
		},
		{
			vm: 'entry-1', role: 'entry', state: 'live', address: entryControl, services: [], ...location,
		},
	]);
	const {manifest} = await post(platform, '/admin/weights', {
		model: 'assistant', version: 'v1', seed: 'smoke', bytes: 100_000, chunkBytes: 16_384,
	});
	await post(platform, '/admin/publish', {
		'/services/assistant': {kind: 'engine'},
		'/models/assistant': {serve: 'v1', versions: {v1: {manifest}}},
		'/teams/desk/routes/ask': {service: 'assistant', model: 'assistant'},
	});
	const url = `http://${platform}`;
	const platformSection = `[platform]\nconfiguration = ${url}\nvms = ${url}\norigin = ${url}\n`;
	start('agent', '--settings', settingsFile('engine-1', `${platformSection}[listen]\ncontrol = ${control}\n[upstream]\nkind = engine\nservice = assistant\naddress = http://${engine}\n`));
	start('entry', '--settings', settingsFile('entry-1', `${platformSection}[listen]\ncallers = ${callers}\ncontrol = ${entryControl}\n`));
	await waitFor('a complete response from v1', async () => {
		const res = await fetch(`http://${callers}/v1/generate/ask`, {
			method: 'POST', headers: {'x-workspace': 'desk'}, body: '{"prompt": "wheel is loose", "max_tokens": 5}',
		});
		const text = await res.text();
		return text.endsWith('{"done":true,"tokens":5,"version":"v1"}\n');
	});
	console.log('smoke: entry and agent from the executable served a call');
}

function settingsFile(vm, text) {
	const file = path.join(folder, `${vm}.ini`);
	writeFileSync(file, `[process]\nvm = ${vm}\nzone = zone-a\nregion = region-a\n${text}`);
	return file;
}

function run(...args) {
	return execFileSync(executable, args, {cwd: root, encoding: 'utf8'});
}

function expectText(name, text, expected) {
	if (!text.includes(expected)) {
		throw new Error(`${name} printed ${JSON.stringify(text)}, without ${JSON.stringify(expected)}`);
	}

	console.log(`smoke: ${name} passes`);
}

function start(...args) {
	const child = spawn(executable, args, {cwd: root, stdio: ['ignore', 'pipe', 'pipe']});
	for (const output of [child.stdout, child.stderr]) {
		output.on('data', chunk => {
			log.push(chunk);
		});
	}

	children.push(child);
}

async function kill(child) {
	if (child.exitCode === null && child.signalCode === null) {
		await new Promise(resolve => {
			child.once('exit', resolve);
			child.kill('SIGKILL');
		});
	}
}

async function waitFor(what, condition) {
	const endMs = performance.now() + waitTimeoutMs;
	while (performance.now() < endMs) {
		try {
			if (await condition()) {
				return;
			}
		} catch {
			// The process is not listening yet.
		}

		if (children.some(child => child.exitCode !== null)) {
			throw new Error(`a process exited while waiting for ${what}`);
		}

		await sleep(50);
	}

	throw new Error(`timed out waiting for ${what}`);
}

async function post(address, resource, body) {
	const res = await fetch(`http://${address}${resource}`, {method: 'POST', body: JSON.stringify(body)});
	return res.json();
}

/** Finds free ports below the ephemeral range, so that no outgoing connection takes them. */
async function freeAddresses(count) {
	const addresses = [];
	while (addresses.length < count) {
		const port = 20_000 + Math.floor(Math.random() * 12_000);
		if (!addresses.includes(`127.0.0.1:${port}`) && await isFree(port)) {
			addresses.push(`127.0.0.1:${port}`);
		}
	}

	return addresses;
}

async function isFree(port) {
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
