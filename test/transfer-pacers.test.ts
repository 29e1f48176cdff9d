/** Tests of what transfers take of the link of a VM beside the calls of its engine. */
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {TransferPacer} from '../src/rollout/transfer-pacer.ts';
import {createTransferPacers} from '../src/staging/transfer-pacers.ts';

const bytesPerSecond = 500_000;
const pieceBytes = 4096;

it('guards against calls that wait behind weights at the link of a VM: uploads and downloads together stay within the rate', async () => {
	const clock = install();
	try {
		const {upPacer, downPacer} = createTransferPacers(() => bytesPerSecond);
		const untilMs = performance.now() + 2000;
		const moved = {up: 0, down: 0};
		const move = async (pacer: TransferPacer, direction: keyof typeof moved) => {
			while (performance.now() < untilMs) {
				await pacer.take(pieceBytes);
				moved[direction] += pieceBytes;
			}
		};

		const transfers = [move(upPacer, 'up'), move(upPacer, 'up'), ...Array.from({length: 6}, async () => move(downPacer, 'down'))];
		await clock.tickAsync(3000);
		await Promise.all(transfers);
		expect(moved.up + moved.down).to.be.within(bytesPerSecond * 1.9, bytesPerSecond * 2.2);
		expect(Math.min(moved.up, moved.down)).to.be.greaterThan(0);
	} finally {
		clock.uninstall();
	}
});
