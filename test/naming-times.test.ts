/** What a process believes of when versions of weights were named: calls on older weights must not begin after these have expired. */
import {Buffer} from 'node:buffer';
import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {StoreSource} from '../platform/store-source.ts';
import {Directory} from '../src/directory/directory.ts';
import type {NamedVersion} from '../src/directory/named-versions.ts';
import type {PeerClient} from '../src/links/peer-client.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';

const unknownContext = {isAfterOutage: false, namedAfterMs: Number.NEGATIVE_INFINITY};
const namedVersion2 = {revision: 5, changes: [{revision: 5, change: {kind: 'version' as const, model: 'm', version: 2}}]};

/** Runs a test with a clock that stands still at 60 s. */
async function withClock(test: (clock: Clock) => void | Promise<void>): Promise<void> {
	const clock = install();
	try {
		clock.tick(60_000);
		await test(clock);
	} finally {
		clock.uninstall();
	}
}

/** The earliest time at which a process believes that version 2 was named. */
const earliestOf = (directory: Directory) => directory.versionsOf('m').find(({version}) => version === 2)?.earliestMs;

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

it('guards against a belief that depends on the order of messages: an earlier observation replaces a later one that excludes it, and no one else does', async () => {
	await withClock(() => {
		const directory = new Directory(createSilentLogger());
		directory.apply(namedVersion2, unknownContext);
		const merge = (version: NamedVersion) => {
			directory.mergeFromPeer({versions: [version]});
			return earliestOf(directory)!;
		};

		const version = {model: 'm', version: 2};
		expect(merge({...version, minAgeMs: 500, maxAgeMs: 600})).to.equal(59_400);
		expect(merge({...version, minAgeMs: 3000, maxAgeMs: 3200})).to.equal(56_800);
		expect(merge({...version, minAgeMs: 500, maxAgeMs: 600})).to.equal(56_800);
		expect(merge({...version, minAgeMs: 0, maxAgeMs: 9000})).to.equal(56_800);
		expect(merge({...version, minAgeMs: 0})).to.equal(56_800);
		expect(merge({...version, minAgeMs: 2900, maxAgeMs: 3100})).to.equal(56_900);
	});
});

it('guards against changes that are told without end: bounds that differ by little are no news, and a version that is no longer kept is not taken again', async () => {
	await withClock(() => {
		const directory = new Directory(createSilentLogger());
		const merge = (version: number, ageMs: number) => {
			directory.mergeFromPeer({
				versions: [{
					model: 'm', version, minAgeMs: ageMs - 300, maxAgeMs: ageMs,
				}],
			});
			return directory.versionChanges;
		};

		expect([merge(2, 1000), merge(2, 950), merge(2, 920), merge(2, 850)]).to.deep.equal([1, 1, 1, 2]);
		expect([merge(3, 800), merge(4, 700), merge(5, 600), merge(6, 500)]).to.deep.equal([3, 4, 5, 6]);
		expect(merge(2, 1000)).to.equal(6);
	});
});
