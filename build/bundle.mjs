/** Bundles the command line into one CommonJS file that Node.js or the single executable runs. */
import {build} from 'esbuild';

await build({
	entryPoints: ['src/cli/main.ts'],
	outfile: 'dist/cactusreach.cjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	// Optional tracing of bunyan, a native package that is not needed.
	external: ['dtrace-provider', 'mv', 'source-map-support'],
	logLevel: 'warning',
});
