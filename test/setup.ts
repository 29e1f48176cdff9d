/** Prepares what every test may use. */
import {initRendezvousHash} from '../src/runtime/rendezvous.ts';

export const mochaHooks = {
	async beforeAll() {
		await initRendezvousHash();
	},
};
