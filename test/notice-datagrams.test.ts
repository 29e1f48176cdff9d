/** Notices of a rollout by datagram, over loopback. */
import {randomBytes} from 'node:crypto';
import {expect} from 'chai';
import {createDigest} from '../src/ids/digest.ts';
import {DatagramPort} from '../src/links/datagram-port.ts';
import type {TransferNotice} from '../src/messages/rollout-have.ts';
import {NoticeDatagrams} from '../src/peers/notice-datagrams.ts';
import type {TransferPeer} from '../src/rollout/transfer-options.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {TransferFleet, waitUntil} from './support/transfer-fleet.ts';
import {sharedPort} from './support/loopback-ports.ts';

const port = sharedPort;

function noticeOf(vm: string, bitmap = 'AQ=='): TransferNotice {
	return {
		vm, bitmap, reading: '', imported: 0, uploaded: 0,
	};
}

it('guards against notices that are answered for ever or not at all: both sides take the other one\'s once', async () => {
	const taken: string[] = [];
	const sides = await Promise.all(['127.0.3.1', '127.0.3.2'].map(async host => {
		const datagrams = new DatagramPort(createSilentLogger());
		await datagrams.start({host, port});
		const notices = new NoticeDatagrams(datagrams, port, ({manifest, notice}) => {
			taken.push(`${host} ${manifest} ${notice.vm}`);
			return noticeOf(host);
		});
		return {datagrams, notices};
	}));
	try {
		expect(sides[0]!.notices.send('127.0.3.2:80', 'm', noticeOf('127.0.3.1'))).to.equal(true);
		await waitUntil(() => taken.length >= 2, () => taken.join(', '));
		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
		expect(taken).to.deep.equal(['127.0.3.2 m 127.0.3.1', '127.0.3.1 m 127.0.3.2']);
		expect(sides[0]!.notices.send('127.0.3.2:80', 'm', noticeOf('127.0.3.1', 'A'.repeat(2000)))).to.equal(false);
	} finally {
		for (const {datagrams} of sides) {
			datagrams.close();
		}
	}
});

it('guards against a rollout that stops because notices are lost: with a third of them lost, all VMs hold the version, and the origin sends little more', async () => {
	const fleet = new TransferFleet();
	const random = new RandomSource(61);
	const sendNotice = (peer: TransferPeer, manifest: string, notice: TransferNotice) => {
		const deliver = (to: string, message: TransferNotice) => {
			if (random.nextInt(3) === 0) {
				return undefined;
			}

			return fleet.agent(to).node.handleNotice({manifest: createDigest(manifest), notice: message});
		};

		setTimeout(() => {
			const answer = deliver(peer.vm, notice);
			if (answer) {
				deliver(notice.vm, answer);
			}
		}, 2);
		return true;
	};

	try {
		await fleet.start(4, {sendNotice});
		const weights = randomBytes(16 * 1024 * 40);
		const manifest = fleet.platform.addWeights('model', 'v1', weights, 16 * 1024);
		fleet.want(manifest, 'origin-bytes');
		await fleet.waitUntilHeld(manifest);
		expect(fleet.platform.originBytes / weights.length).to.be.below(4);
	} finally {
		await fleet.stop();
	}
});
