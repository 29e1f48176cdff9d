/** Builds leave the last good one usable: whatever other build runs, wherever it stops, and on whatever kind of machine it was made. */
import {spawnSync} from 'node:child_process';
import {
	mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, utimesSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {expect} from 'chai';
import {findInstallReason} from '../build/ensure-modules.mjs';
import {installFiles, removeOldChunks} from '../build/install-files.mjs';

const root = path.join(import.meta.dirname, '..');
let folder = '';

beforeEach(() => {
	folder = mkdtempSync(path.join(tmpdir(), 'cactusreach-build-'));
});

afterEach(() => {
	rmSync(folder, {recursive: true});
});

it('guards against a deployed build that another build takes apart: after one of each layout, both start', () => {
	for (const layout of ['target', 'dist']) {
		expect(spawnSync(process.execPath, ['build/bundle.mjs', layout], {cwd: root}).status).to.equal(0);
	}

	for (const file of ['target/cactusreach.mjs', 'dist/cactusreach.cjs']) {
		const {status, stdout} = spawnSync(process.execPath, [file, '--version'], {cwd: root, encoding: 'utf8'});
		expect([status, stdout.startsWith('cactusreach/')], file).to.deep.equal([0, true]);
	}
});

it('guards against a build that stops halfway: the entry point still names chunks that are there', async () => {
	const entry = path.join(folder, 'main.mjs');
	const chunk = (name: string) => path.join(folder, 'parts', name);
	await installFiles([{path: entry, contents: 'old, needs a-1'}, {path: chunk('a-1'), contents: '1'}], entry);
	// A folder in the place of a file stops the second build after its first chunk.
	mkdirSync(chunk('b-2'));
	let failure: unknown;
	try {
		await installFiles([{path: entry, contents: 'new, needs a-2 and b-2'}, {path: chunk('a-2'), contents: '2'}, {path: chunk('b-2'), contents: '2'}], entry);
	} catch (err) {
		failure = err;
	}

	expect(failure).to.be.instanceOf(Error);
	expect([readFileSync(entry, 'utf8'), readFileSync(chunk('a-1'), 'utf8')]).to.deep.equal(['old, needs a-1', '1']);
	expect(readdirSync(path.join(folder, 'parts'))).to.have.members(['a-1', 'a-2', 'b-2']);
});

it('guards against a process that loads a chunk late and does not find it: chunks of an earlier build stay for an hour', async () => {
	const parts = path.join(folder, 'parts');
	mkdirSync(parts);
	for (const name of ['old', 'recent', 'current']) {
		writeFileSync(path.join(parts, name), '');
	}

	for (const name of ['old', 'current']) {
		utimesSync(path.join(parts, name), new Date(0), new Date(0));
	}

	await removeOldChunks(parts, [{path: path.join(parts, 'current')}]);
	expect(readdirSync(parts)).to.have.members(['recent', 'current']);
});

it('guards against packages for another kind of machine: they are installed anew, and so are missing and outdated ones', () => {
	writeFileSync(path.join(folder, 'package-lock.json'), '{}');
	expect(findInstallReason(folder, 'linux', 'x64')).to.equal('no packages are installed');
	mkdirSync(path.join(folder, 'node_modules/@esbuild/linux-arm64'), {recursive: true});
	writeFileSync(path.join(folder, 'node_modules/.package-lock.json'), '{}');
	expect([findInstallReason(folder, 'linux', 'arm64'), findInstallReason(folder, 'linux', 'x64')])
		.to.deep.equal([undefined, 'the installed packages are for another kind of machine']);
	utimesSync(path.join(folder, 'node_modules/.package-lock.json'), new Date(0), new Date(0));
	expect(findInstallReason(folder, 'linux', 'arm64')).to.equal('the lock file is newer');
});
