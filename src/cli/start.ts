/** The entry point of the program. It holds signals back before the rest of the program is loaded, which takes most of the start. */
import process from 'node:process';
import {holdSignals} from '../runtime/held-signals.ts';

/** The commands that run until a signal. The others end at any signal, as is usual. */
const roles = new Set(['entry', 'agent', 'gateway', 'stager']);

if (roles.has(process.argv[2] ?? '')) {
	holdSignals();
}

// The single executable runs CommonJS, which does not support top-level await.

void import('./main.ts');
