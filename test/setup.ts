/** Mocha root hooks: loads the WebAssembly module for rendezvous hashing once before all tests. */
import {initRendezvousHash} from '../src/runtime/rendezvous.ts';

export const mochaHooks = {
	async beforeAll() {
		await initRendezvousHash();
	},
};
