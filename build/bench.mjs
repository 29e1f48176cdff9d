/** Bundles one benchmark of `bench/` and runs it: `node build/bench.mjs NAME [ARGUMENTS]`. */
import path from 'node:path';
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {build} from 'esbuild';

const name = process.argv[2];
// The depth matters: test helpers look for dist/ two levels above themselves.
const outfile = path.resolve('dist', 'bench', `${name}.mjs`);
await build({
	entryPoints: [`bench/${name}.ts`],
	outfile,
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	banner: {js: 'import {createRequire} from \'node:module\'; const require = createRequire(import.meta.url);'},
	external: ['dtrace-provider', 'mv', 'source-map-support', 'bunyan'],
	logLevel: 'warning',
});
await import(pathToFileURL(outfile).href);
