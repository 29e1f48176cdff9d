/** Bundles the command line into one CommonJS file that Node.js or the single executable runs. */
import {readFile} from 'node:fs/promises';
import {build} from 'esbuild';

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

await build({
	entryPoints: ['src/cli/main.ts'],
	outfile: 'dist/cactusreach.cjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	plugins: [withoutOptionalPackages],
	logLevel: 'warning',
});
