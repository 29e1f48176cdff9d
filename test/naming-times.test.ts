/** What a process believes of when versions of weights were named: calls on older weights must not begin after these have expired. */
import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {StoreSource} from '../platform/store-source.ts';
import type {PeerClient} from '../src/links/peer-client.ts';

it('guards against old weights when two versions are named at once: a watch tells both, and only the last change of any other key', async () => {
	const event = (key: string, revision: number, value: unknown) => ({key, revision, value: Buffer.from(JSON.stringify(value)).toString('base64')});
	const response = {
		store_revision: 9, events: [
			event('op/version/m', 5, {model: 'm', version: 2}), event('op/other', 6, 1), event('op/version/m', 7, {model: 'm', version: 3}), event('op/other', 8, 2),
		],
	};
	const links = {bytes: async () => ({status: 200, bytes: Buffer.from(JSON.stringify(response))})} as unknown as PeerClient;
	const {changes} = await new StoreSource(links, () => 'a:1').watch('published', 4, 5000, AbortSignal.timeout(1000));
	expect(changes.map(({revision, change}) => [revision, change.kind === 'version' ? change.version : change.kind])).to.deep.equal([[5, 2], [7, 3], [8, 'unreadable']]);
});
