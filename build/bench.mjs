/** Bundles a benchmark and its worker (if it has one), and runs the benchmark: `node build/bench.mjs NAME [ARGUMENTS]`. */
import {existsSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {build} from 'esbuild';

const name = process.argv[2];
const outdir = 'dist/bench';

await build({
	entryPoints: [`bench/${name}.ts`, `bench/${name}-worker.ts`].filter(file => existsSync(file)),
	outdir,
	outExtension: {'.js': '.mjs'},
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	// CommonJS packages inside the bundle call `require` for Node's own modules.
	banner: {js: 'import {createRequire} from \'node:module\'; const require = createRequire(import.meta.url);'},
	external: ['dtrace-provider', 'mv', 'source-map-support'],
	logLevel: 'warning',
});

process.argv.splice(1, 2, path.resolve(outdir, `${name}.mjs`));
await import(pathToFileURL(path.resolve(outdir, `${name}.mjs`)).href);
