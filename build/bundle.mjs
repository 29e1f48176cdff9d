/** Bundles the command line into one CommonJS file that Node.js or the single executable runs. */
import {readFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const root = path.join(import.meta.dirname, '..');

/** The folder that the bundle is written to. */
const outdir = process.argv[2] ?? 'dist';

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

await build({
	entryPoints: ['src/cli/main.ts'],
	outfile: `${outdir}/cactusreach.cjs`,
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	// Without white space a process at rest takes 4 MB less. Names stay as they are, for stack traces.
	minifyWhitespace: true,
	minifySyntax: true,
	plugins: [withoutOptionalPackages, withoutTranslations],
	logLevel: 'warning',
});
