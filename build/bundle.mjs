/**
 * Bundles the command-line program: `node build/bundle.mjs [dist|target]`.
 *
 * `dist` (the default) creates one file for the single executable, `target` creates a file per command.
 */
import {readFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';
import {installFiles, removeOldChunks} from './install-files.mjs';

const root = path.join(import.meta.dirname, '..');

/**
 * Removes the optional packages that bunyan tries to load at run time (tracing, file rotation, source maps).
 * None of them is installed, and in the single executable each attempt prints a warning.
 */
const removeOptionalPackages = {
	name: 'without-optional-packages',
	setup(plugin) {
		plugin.onLoad({filter: /bunyan\/lib\/bunyan\.js$/}, async ({path}) => {
			const text = await readFile(path, 'utf8');
			return {contents: text.replaceAll(/require\('(dtrace-provider|mv|source-map-support)' \+ ''\)/g, 'null')};
		});
	},
};

/** Removes zod's locales except English, the only one used, because they would stay in the memory of each process. */
const removeLocales = {
	name: 'without-translations',
	setup(plugin) {
		plugin.onLoad({filter: /zod\/v4\/locales\/index\.js$/}, () => ({
			contents: 'export {default as en} from "./en.js";', resolveDir: path.join(root, 'node_modules/zod/v4/locales'),
		}));
	},
};

/** Replaces packages with wrappers that export only what the program uses, to save memory. */
const usePackageSubsets = {
	name: 'with-parts-of-packages',
	setup(plugin) {
		plugin.onResolve({filter: /^(undici|prom-client|hdr-histogram-js)$/}, ({path: name}) => ({path: path.join(root, 'build/parts', `${name}.mjs`)}));
	},
};

const shared = {
	entryPoints: ['src/cli/start.ts'],
	bundle: true,
	platform: 'node',
	target: 'node20',
	// Removing white space saves 4 MB per idle process. Identifiers are kept for readable stack traces.
	minifyWhitespace: true,
	minifySyntax: true,
	plugins: [removeOptionalPackages, removeLocales, usePackageSubsets],
	logLevel: 'warning',
};

/** One file, as the single executable requires. */
const oneFile = {...shared, outfile: 'dist/cactusreach.cjs', format: 'cjs'};

/** A file per command and chunks for shared code, so that a small process loads only the code it runs. */
const filePerCommand = {
	...shared,
	entryPoints: [{in: 'src/cli/start.ts', out: 'cactusreach'}],
	outdir: 'target',
	outExtension: {'.js': '.mjs'},
	chunkNames: 'parts/[name]-[hash]',
	format: 'esm',
	splitting: true,
	// CommonJS packages inside the bundle call `require` for Node's own modules.
	banner: {js: 'import {createRequire} from \'node:module\'; const require = createRequire(import.meta.url);'},
};

const layouts = {
	dist: {options: oneFile, entry: 'dist/cactusreach.cjs'},
	target: {options: filePerCommand, entry: 'target/cactusreach.mjs'},
};

const {options, entry} = layouts[process.argv[2] ?? 'dist'];
const {outputFiles} = await build({...options, write: false, absWorkingDir: root});
await installFiles(outputFiles, path.join(root, entry));
if (options.splitting) {
	await removeOldChunks(path.join(root, 'target/parts'), outputFiles);
}
