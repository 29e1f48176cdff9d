/** Builds the single executable `dist/cactusreach`: bundles the code, creates the blob, and injects it into a copy of the running Node.js binary. */
import {execFileSync} from 'node:child_process';
import {chmodSync, copyFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

/** The fuse in the Node.js binary that postject flips, as documented by Node.js for single executable applications. */
const sentinelFuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

const root = path.join(import.meta.dirname, '..');
const config = path.join(root, 'dist/sea-config.json');
const blob = path.join(root, 'dist/cactusreach.blob');
const executable = path.join(root, 'dist/cactusreach');

runNode('build/bundle.mjs');
writeFileSync(config, JSON.stringify({
	main: path.join(root, 'dist/cactusreach.cjs'),
	output: blob,
	disableExperimentalSEAWarning: true,
}));
runNode('--experimental-sea-config', config);
copyFileSync(process.execPath, executable);
chmodSync(executable, 0o755);
runNode('node_modules/postject/dist/cli.js', executable, 'NODE_SEA_BLOB', blob, '--sentinel-fuse', sentinelFuse);

/** Runs a Node.js script. Its output is shown only on failure, because postject prints a warning about the ELF notes of every binary. */
function runNode(...args) {
	execFileSync(process.execPath, args, {cwd: root, stdio: 'pipe'});
}
