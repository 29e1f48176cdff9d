/**
 * Exchanges the notices of a rollout between stagers by datagram.
 *
 * A stager sends hundreds of notices in the seconds of a rollout; over connections, they take more processor time than the chunks.
 */
import type {DatagramPort} from '../links/datagram-port.ts';
import {type ListenAddress, parseAddress} from '../links/http-listener.ts';
import {type NoticeDatagram, noticeDatagramSchema} from '../messages/notice-datagram.ts';
import type {RolloutHaveParams, TransferNotice} from '../messages/rollout-have.ts';

/** Maximum length of the bitmaps of a notice, in characters, so that the notice fits into one packet. */
const maxBitmapLength = 900;

/** Sends notices, and answers those of other stagers. */
export class NoticeDatagrams {
	/**
	 * @param port - the number of the port on which all stagers receive datagrams
	 * @param handleNotice - takes a stager's notice and returns this one's
	 */
	constructor(private readonly datagrams: DatagramPort, private readonly port: number, private readonly handleNotice: (params: RolloutHaveParams) => TransferNotice) {
		datagrams.on('notice', noticeDatagramSchema, ([, manifest, notice, isAnswer], from) => {
			const own = this.handleNotice({manifest, notice});
			if (!isAnswer) {
				this.sendTo(from, ['notice', manifest, own, true]);
			}
		});
	}

	/**
	 * Sends a notice, which may be lost. Its answer is taken like any other notice.
	 *
	 * @param address - the control address of the receiver
	 * @returns whether it was sent; false if it is too large for a datagram
	 */
	send(address: string, manifest: string, notice: TransferNotice): boolean {
		return this.sendTo({host: parseAddress(address).host, port: this.port}, ['notice', manifest, notice, false]);
	}

	private sendTo(to: ListenAddress, datagram: NoticeDatagram): boolean {
		const {bitmap, reading} = datagram[2];
		if (bitmap.length + reading.length > maxBitmapLength) {
			return false;
		}

		this.datagrams.send(datagram, to);
		return true;
	}
}
