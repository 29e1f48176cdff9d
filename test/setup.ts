/** Prepares what every test may use. */
import {prepareRendezvous} from '../src/runtime/rendezvous.ts';

export const mochaHooks = {
	async beforeAll() {
		await prepareRendezvous();
	},
};
