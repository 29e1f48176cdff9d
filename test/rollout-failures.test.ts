/** Failures during weight transfer, tested with in-process agents on loopback and rate-limited links. */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {setImmediate} from 'node:timers/promises';
import {expect} from 'chai';
import {digestOf} from '../src/ids/digest.ts';
import {formatAddress, HttpListener} from '../src/links/http-listener.ts';
import {RpcDispatcher, rpcPath} from '../src/links/rpc-dispatcher.ts';
import {rolloutHaveMethod, rolloutHaveParamsSchema} from '../src/messages/rollout-have.ts';
import {ChunkBitmap} from '../src/rollout/chunk-bitmap.ts';
import {importersPerRegion, rankOwners} from '../src/rollout/chunk-owners.ts';
import {UploadSlots, uploadSlots, waitingUploads} from '../src/rollout/upload-slots.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import type {TransferAgent} from '../standins/transfer-agent.ts';
import {TransferFleet, waitUntil} from './support/transfer-fleet.ts';

const chunkBytes = 16 * 1024;
const chunkCount = 40;
const weights = randomBytes(chunkBytes * chunkCount);

async function withFleet(perRegion: number, run: (fleet: TransferFleet, manifest: string) => Promise<void>): Promise<void> {
	const fleet = new TransferFleet();
	try {
		await fleet.start(perRegion);
		await run(fleet, fleet.platform.addWeights('model', 'v1', weights, chunkBytes));
	} finally {
		await fleet.stop();
	}
}

/** Starts a peer that claims to hold every chunk and answers chunk requests with `serve`. */
async function startFaultyPeer(vm: string, serve: (res: ServerResponse) => void) {
	let requestCount = 0;
	const all = new ChunkBitmap(chunkCount);
	for (let at = 0; at < chunkCount; at++) {
		all.add(at);
	}

	const rpc = new RpcDispatcher();
	rpc.method(rolloutHaveMethod, rolloutHaveParamsSchema, () => ({
		vm, bitmap: all.encode(), reading: '', imported: 0, uploaded: 0,
	}));
	const listener = new HttpListener({
		[`POST ${rpcPath}`]: rpc.handle,
		'GET /chunks/*'(req, res) {
			requestCount++;
			serve(res);
		},
	}, createSilentLogger());
	const address = formatAddress(await listener.start({host: '127.0.0.1', port: 0}));
	return {
		address,
		requestCount: () => requestCount,
		stop() {
			listener.destroy();
		},
	};
}

function importersOf(fleet: TransferFleet, manifest: string): TransferAgent[] {
	const locations = fleet.agents.map(({options: {vm, region}}) => ({vm, region}));
	const {importers} = rankOwners(manifest, locations[0]!, locations);
	return fleet.agents.filter(({options}) => importers.has(options.vm));
}

/** Expects that the chunks each agent holds add up to exactly the published weights. */
function expectPublishedBytes(agents: readonly TransferAgent[], manifest: string): void {
	for (const agent of agents) {
		const {transfer} = agent.node.versions.find(version => version.manifest === manifest)!;
		const bytes = transfer.manifest!.chunks.map(digest => agent.chunks.get(digest) ?? new Uint8Array());
		expect(digestOf(Buffer.concat(bytes))).to.equal(digestOf(weights));
	}
}

it('an owner that dies during its read is replaced, and the origin sends little more', async () => {
	await withFleet(5, async (fleet, manifest) => {
		fleet.want(manifest);
		const owners = importersOf(fleet, manifest);
		await waitUntil(() => owners.some(agent => agent.heldCount(manifest) > 3), () => 'no owner has read more than three chunks');
		const victim = owners.find(agent => agent.heldCount(manifest) > 3)!;
		await victim.stop();
		const rest = fleet.agents.filter(agent => agent !== victim);
		await fleet.waitUntilHeld(manifest, rest);
		expectPublishedBytes(rest, manifest);
		expect(fleet.platform.originBytes / weights.length).to.be.below(4);
	});
});

it('a peer that sends wrong bytes is asked once by each VM, and its bytes are stored nowhere', async () => {
	await withFleet(5, async (fleet, manifest) => {
		const faulty = await startFaultyPeer('region-a-bad', res => {
			res.writeHead(200, {'content-length': chunkBytes});
			res.end(Buffer.alloc(chunkBytes));
		});
		fleet.addExternalPeer('region-a-bad', faulty.address);
		await fleet.refreshPeers();
		fleet.want(manifest);
		await fleet.waitUntilHeld(manifest);
		expectPublishedBytes(fleet.agents, manifest);
		const local = fleet.agents.filter(({options}) => options.region === 'region-a').length;
		expect(faulty.requestCount()).to.be.within(1, local);
		faulty.stop();
	});
});

it('a peer that stalls after the headers is replaced by another source', async () => {
	await withFleet(5, async (fleet, manifest) => {
		const faulty = await startFaultyPeer('region-a-bad', res => {
			res.writeHead(200, {'content-length': chunkBytes});
			res.write(Buffer.alloc(100));
		});
		fleet.addExternalPeer('region-a-bad', faulty.address);
		await fleet.refreshPeers();
		fleet.want(manifest);
		await fleet.waitUntilHeld(manifest);
		expectPublishedBytes(fleet.agents, manifest);
		expect(faulty.requestCount()).to.be.at.least(1);
		faulty.stop();
	});
});

it('a region that is cut off for the whole transfer holds the version after it heals', async () => {
	await withFleet(4, async (fleet, manifest) => {
		fleet.links.setPartitioned('region-c', true);
		fleet.want(manifest, 'origin-bytes');
		const reachable = fleet.agents.filter(({options}) => options.region !== 'region-c');
		const cut = fleet.agents.filter(({options}) => options.region === 'region-c');
		await fleet.waitUntilHeld(manifest, reachable);
		expect(cut.every(agent => agent.heldCount(manifest) === 0)).to.equal(true);
		const before = fleet.platform.originBytes;
		fleet.links.setPartitioned('region-c', false);
		await fleet.waitUntilHeld(manifest, cut);
		expectPublishedBytes(fleet.agents, manifest);
		// The other regions hold every chunk, so the origin has to send almost nothing.
		expect((fleet.platform.originBytes - before) / weights.length).to.be.below(0.05);
	});
});

it('an origin that is down while an owner dies only delays the transfer', async () => {
	await withFleet(5, async (fleet, manifest) => {
		fleet.want(manifest);
		const owners = importersOf(fleet, manifest);
		await waitUntil(() => owners.every(agent => agent.heldCount(manifest) > 1), () => 'not every owner has read more than one chunk');
		fleet.platform.faults.originDown = true;
		const victim = owners[0]!;
		await victim.stop();
		const rest = fleet.agents.filter(agent => agent !== victim);
		await waitUntil(() => rest.every(agent => !agent.holds(manifest)), () => 'an agent holds the version although the origin is down');
		fleet.platform.faults.originDown = false;
		await fleet.waitUntilHeld(manifest, rest);
		expectPublishedBytes(rest, manifest);
	});
});

it('a change of the wanted version stops the transfer and keeps the chunks that both versions share', async () => {
	await withFleet(4, async (fleet, manifest) => {
		const changed = Buffer.concat([weights.subarray(0, weights.length - (4 * chunkBytes)), randomBytes(4 * chunkBytes)]);
		const next = fleet.platform.addWeights('model', 'v2', changed, chunkBytes);
		fleet.want(manifest);
		await waitUntil(() => fleet.agents.every(agent => agent.heldCount(manifest) > 10), () => 'not every agent holds a quarter of the chunks');
		const before = fleet.platform.originBytes;
		fleet.want(next);
		expect(fleet.agents.every(agent => agent.node.versions.every(version => version.manifest === next))).to.equal(true);
		await fleet.waitUntilHeld(next);
		// For each of the three regions, at most the missing chunks and those in flight.
		expect((fleet.platform.originBytes - before) / weights.length).to.be.below(3 * (0.75 + (importersPerRegion / chunkCount)) * 1.05);
	});
});

it('a VM that joins late reads from peers and not from the origin', async () => {
	await withFleet(4, async (fleet, manifest) => {
		fleet.want(manifest);
		await fleet.waitUntilHeld(manifest);
		const before = fleet.platform.originBytes;
		const late = await fleet.add('region-b-late', 'region-b');
		await fleet.refreshPeers();
		late.setWantedVersion(manifest);
		await fleet.waitUntilHeld(manifest, [late]);
		expectPublishedBytes([late], manifest);
		expect(fleet.platform.originBytes).to.equal(before);
	});
});

it('a VM that was suspended surveys its peers again and reads nothing from the origin', async () => {
	await withFleet(4, async (fleet, manifest) => {
		const [owner] = importersOf(fleet, manifest);
		fleet.want(manifest);
		await fleet.waitUntilHeld(manifest, fleet.agents.filter(agent => agent !== owner));
		await fleet.waitUntilHeld(manifest);
		const next = fleet.platform.addWeights('model', 'v2', randomBytes(chunkBytes * chunkCount), chunkBytes);
		for (const agent of fleet.agents.filter(item => item !== owner)) {
			agent.setWantedVersion(next);
		}

		await fleet.waitUntilHeld(next, fleet.agents.filter(agent => agent !== owner));
		const before = fleet.platform.originBytes;
		owner!.setWantedVersion(next);
		owner!.node.wake();
		await fleet.waitUntilHeld(next, [owner!]);
		expect(fleet.platform.originBytes).to.equal(before);
	});
});

it('a version that does not fit into memory is reported, and transferred once there is room', async () => {
	const fleet = new TransferFleet();
	try {
		await fleet.start(1, {memoryBytes: weights.length * 1.5});
		const first = fleet.platform.addWeights('model', 'v1', weights, chunkBytes);
		const next = fleet.platform.addWeights('model', 'v2', randomBytes(weights.length), chunkBytes);
		fleet.want(first);
		await fleet.waitUntilHeld(first);
		const agent = fleet.agents[0]!;
		agent.setWantedVersion(next, 'time', [first]);
		await waitUntil(() => agent.node.versions.some(({manifest, doesNotFit}) => manifest === next && doesNotFit), () => 'the version is not reported as too large');
		expect(agent.holds(first)).to.equal(true);
		agent.setWantedVersion(next, 'time', []);
		await fleet.waitUntilHeld(next, [agent]);
		expect(agent.node.versions.some(({manifest}) => manifest === first)).to.equal(false);
		expect(agent.chunks.bytes).to.be.at.most(weights.length * 1.5);
	} finally {
		await fleet.stop();
	}
});

it('an upload is refused as busy when slots and queue are full, and as over budget unless it is the last resort', async () => {
	const slots = new UploadSlots();
	const upload = {manifest: 'v1', bytes: 10};
	let granted = 0;
	const acquire = async () => {
		await slots.acquire();
		granted++;
	};

	for (let at = 0; at < uploadSlots + waitingUploads; at++) {
		expect(slots.refusal(upload, 100, false)).to.equal(undefined);
		void acquire();
	}

	await setImmediate();
	expect([granted, slots.refusal(upload, 100, false)]).to.deep.equal([uploadSlots, 'busy']);
	slots.release();
	await setImmediate();
	expect([granted, slots.refusal(upload, 100, false)]).to.deep.equal([uploadSlots + 1, undefined]);
	slots.addSent('v1', 91);
	expect(slots.refusal(upload, 100, false)).to.equal('over_budget');
	expect(slots.refusal(upload, 100, true)).to.equal(undefined);
	expect(slots.refusal({...upload, manifest: 'v2'}, 100, false)).to.equal(undefined);
});

it('the read of the engine on the same VM does not count against the link', async () => {
	await withFleet(1, async (fleet, manifest) => {
		const agent = fleet.agents[0]!;
		fleet.want(manifest);
		await fleet.waitUntilHeld(manifest);
		const digest = agent.node.versions[0]!.transfer.manifest!.chunks[0]!;
		const sent = agent.upPacer.bytes;
		const engine = await fetch(`http://${agent.address}/chunks/${digest}`);
		const bytes = await engine.arrayBuffer();
		expect(bytes.byteLength).to.equal(chunkBytes);
		expect(agent.upPacer.bytes).to.equal(sent);
	});
});
