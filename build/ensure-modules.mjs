/** Installs the packages unless they are there, newer than the lock file, and made for this kind of machine. */
import {spawnSync} from 'node:child_process';
import {existsSync, statSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const root = path.join(import.meta.dirname, '..');

/**
 * Returns why packages have to be installed; undefined if they need not.
 *
 * @param folder - the folder that holds `node_modules` and the lock file
 */
export function findInstallReason(folder, platform = process.platform, arch = process.arch) {
	const installed = path.join(folder, 'node_modules/.package-lock.json');
	if (!existsSync(installed)) {
		return 'no packages are installed';
	}

	if (statSync(installed).mtimeMs < statSync(path.join(folder, 'package-lock.json')).mtimeMs) {
		return 'the lock file is newer';
	}

	// The bundler has a package with a native program for each kind of machine, of which npm installs the one that fits.
	return existsSync(path.join(folder, `node_modules/@esbuild/${platform}-${arch}`)) ? undefined : 'the installed packages are for another kind of machine';
}

if (process.argv[1] === import.meta.filename) {
	const reason = findInstallReason(root);
	if (reason) {
		console.log(`npm ci: ${reason}`);
		process.exitCode = spawnSync('npm', ['ci', '--no-audit', '--no-fund', '--silent'], {cwd: root, stdio: 'inherit'}).status ?? 1;
	}
}
