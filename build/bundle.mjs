/** Bundles the command line: `node build/bundle.mjs [dist|target]`, one file for the single executable or a file per command. */
import {readFile} from 'node:fs/promises';
import {rmSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const root = path.join(import.meta.dirname, '..');

/**
 * Leaves out the optional packages that bunyan looks for at run time (tracing, file rotation, source maps).
 * None of them is installed, and in the single executable each look would print a warning.
 */
const withoutOptionalPackages = {
	name: 'without-optional-packages',
	setup(plugin) {
		plugin.onLoad({filter: /bunyan\/lib\/bunyan\.js$/}, async ({path}) => {
			const text = await readFile(path, 'utf8');
			return {contents: text.replaceAll(/require\('(dtrace-provider|mv|source-map-support)' \+ ''\)/g, 'null')};
		});
	},
};

/** Leaves out the translations of zod's messages, of which only English is used; each process would keep them in memory. */
const withoutTranslations = {
	name: 'without-translations',
	setup(plugin) {
		plugin.onLoad({filter: /zod\/v4\/locales\/index\.js$/}, () => ({
			contents: 'export {default as en} from "./en.js";', resolveDir: path.join(root, 'node_modules/zod/v4/locales'),
		}));
	},
};

/** Replaces packages by the parts of them that the programs use. */
const withPartsOfPackages = {
	name: 'with-parts-of-packages',
	setup(plugin) {
		plugin.onResolve({filter: /^(undici|prom-client|hdr-histogram-js)$/}, ({path: name}) => ({path: path.join(root, 'build/parts', `${name}.mjs`)}));
	},
};

const shared = {
	entryPoints: ['src/cli/main.ts'],
	bundle: true,
	platform: 'node',
	target: 'node20',
	// Without white space a process at rest takes 4 MB less. Names stay as they are, for stack traces.
	minifyWhitespace: true,
	minifySyntax: true,
	plugins: [withoutOptionalPackages, withoutTranslations, withPartsOfPackages],
	logLevel: 'warning',
};

/** One file, which the single executable needs. */
const oneFile = {...shared, outfile: 'dist/cactusreach.cjs', format: 'cjs'};

/** A file per command and what commands share, so that a small process reads only what it runs. */
const filePerCommand = {
	...shared,
	entryPoints: [{in: 'src/cli/main.ts', out: 'cactusreach'}],
	outdir: 'target',
	outExtension: {'.js': '.mjs'},
	chunkNames: 'parts/[name]-[hash]',
	format: 'esm',
	splitting: true,
	// CommonJS packages inside the bundle call `require` for Node's own modules.
	banner: {js: 'import {createRequire} from \'node:module\'; const require = createRequire(import.meta.url);'},
};

// Parts of an earlier build have other names.
rmSync(path.join(root, 'target/parts'), {recursive: true, force: true});

const layouts = {dist: oneFile, target: filePerCommand};

await build(layouts[process.argv[2] ?? 'dist']);
