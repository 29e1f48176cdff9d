/**
 * Writes the files of a build so that the last good build stays whole until the new one is: each file is written beside its place and
 * renamed, and the entry point comes last.
 */
import {
	mkdir, readdir, rename, rm, stat, writeFile,
} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';

/** How long chunks of earlier builds are kept, in milliseconds, for processes that were started from them and load one late. */
const keptMs = 3_600_000;

/**
 * @param files - `path` and `contents` of each file; names of chunks have to change with their contents
 * @param entry - the path of the file that refers to the others
 */
export async function installFiles(files, entry) {
	const ordered = [...files.filter(file => file.path !== entry), ...files.filter(file => file.path === entry)];
	for (const file of ordered) {
		await installFile(file);
	}
}

async function installFile(file) {
	await mkdir(path.dirname(file.path), {recursive: true});
	const beside = `${file.path}.${process.pid}.new`;
	try {
		await writeFile(beside, file.contents);
		await rename(beside, file.path);
	} catch (err) {
		await rm(beside, {force: true});
		throw err;
	}
}

/** Removes chunks that do not belong to a build and are older than {@link keptMs}. */
export async function removeOldChunks(folder, files) {
	const current = new Set(files.map(file => path.basename(file.path)));
	for (const name of await readdir(folder)) {
		const chunk = path.join(folder, name);
		const {mtimeMs} = await stat(chunk);
		if (!current.has(name) && Date.now() - mtimeMs > keptMs) {
			await rm(chunk, {force: true});
		}
	}
}
