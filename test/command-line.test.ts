/** Tests of the command line: exit codes, one-line error messages, and a demo that stops all its processes. */
import {spawn, spawnSync} from 'node:child_process';
import {
	mkdtempSync, readdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import net, {type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {expect} from 'chai';
import {waitFor} from './support/fleet.ts';

const program = path.join(import.meta.dirname, '../dist/cactusreach.cjs');

function run(...args: string[]): {code: number | null; out: string; err: string} {
	const {status, stdout, stderr} = spawnSync(process.execPath, [program, ...args], {encoding: 'utf8'});
	return {code: status, out: stdout, err: stderr};
}

it('wrong usage exits with code 2 and a one-line message', () => {
	const usages = [[], ['fly'], ['check'], ['entry'], ['agent', '--setings', 'a.ini'], ['dump', 'nowhere'], ['standin', 'moon=127.0.0.1:1']];
	const results = usages.map(args => run(...args));
	expect(results.map(({code, err}) => [code, err.trimEnd().split('\n').length])).to.deep.equal(usages.map(() => [2, 1]));
});

it('findings and failures exit with code 1 and print their reason', async () => {
	const folder = mkdtempSync(path.join(tmpdir(), 'cactusreach-'));
	const bad = path.join(folder, 'bad.ini');
	writeFileSync(bad, readFileSync('examples/entry.ini', 'utf8').replace('vm =', 'vn ='));
	const none = path.join(folder, 'none.json');
	const found = `${bad}:3: process.vm: is missing\n${bad}:4: process.vn: is not a known key\n`;
	const unreadable = `${none}: (file): cannot be read: ENOENT: no such file or directory, open '${none}'\n`;
	expect(run('check', bad, none)).to.deep.equal({code: 1, err: '', out: `${found}${unreadable}2 files, 3 findings\n`});
	expect(run('entry', '--settings', bad)).to.deep.include({code: 1, err: found});
	const server = net.createServer().listen(0, '127.0.0.1');
	await new Promise(resolve => {
		server.once('listening', resolve);
	});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const taken = path.join(folder, 'taken.ini');
	writeFileSync(taken, readFileSync('examples/entry.ini', 'utf8').replace('127.0.0.1:8081', address));
	const started = run('entry', '--settings', taken);
	server.close();
	expect(started).to.deep.equal({code: 1, out: '', err: `cactusreach: cannot listen on ${address}: the port is already in use\n`});
	const absent = run('dump', address);
	expect([absent.code, absent.err.split(':')[0]]).to.deep.equal([1, '127.0.0.1']);
});

it('help and version exit with code 0, and help omits the stand-ins', () => {
	expect(run('--version').code).to.equal(0);
	const help = run('--help');
	expect([help.code, help.out.includes('demo'), help.out.includes('standin')]).to.deep.equal([0, true, false]);
});

/** Guards against child processes that outlive an interrupted demo. */
it('an interrupted demo stops all its processes', async () => {
	const demo = spawn(process.execPath, [program, 'demo'], {stdio: ['ignore', 'pipe', 'inherit']});
	let out = '';
	demo.stdout.setEncoding('utf8').on('data', (text: string) => {
		out += text;
	});
	await waitFor('the demo publishes v1', () => out.includes('published v1'));
	const children = childrenOf(demo.pid);
	expect(children).to.have.length.above(10);
	demo.kill('SIGINT');
	const code = await new Promise(resolve => {
		demo.once('exit', resolve);
	});
	expect([code, children.filter(pid => isRunning(pid))]).to.deep.equal([1, []]);
});

function childrenOf(parent: number | undefined): number[] {
	const pids = readdirSync('/proc').filter(name => /^\d+$/.test(name)).map(Number);
	return pids.filter(pid => readStat(pid)?.parent === parent);
}

function isRunning(pid: number): boolean {
	return readStat(pid) !== undefined;
}

function readStat(pid: number): {parent: number} | undefined {
	try {
		const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
		return {parent: Number(text.slice(text.lastIndexOf(')') + 2).split(' ')[1])};
	} catch {
		return undefined;
	}
}
