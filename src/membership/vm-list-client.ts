/** HTTP client of the platform's VM list. */
import {type Dispatcher, request} from 'undici';
import {VError} from 'verror';
import {RequestDeadline} from '../links/request-deadline.ts';
import {monotonicClock} from '../runtime/pause-detector.ts';
import {type ListedVm, vmListSchema} from './member.ts';

/** Timeout of a request, in milliseconds. */
const vmListTimeoutMs = 2000;

/** Reads the VM list. It sends conditional requests, so a platform that supports entity tags sends no body for an unchanged list. */
export class VmListClient {
	private entityTag: string | undefined;
	private lastVms: readonly ListedVm[] = [];

	constructor(private readonly baseUrl: string) {}

	/**
	 * Reads the list.
	 *
	 * @throws VError when the response status is neither 200 nor 304
	 */
	async read(): Promise<readonly ListedVm[]> {
		const headers: Record<string, string> = this.entityTag === undefined ? {} : {'if-none-match': this.entityTag};
		const {res, text} = await this.request(headers);
		if (res.statusCode === 304) {
			return this.lastVms;
		}

		if (res.statusCode !== 200) {
			throw new VError('request for the VM list failed with status %d', res.statusCode);
		}

		this.lastVms = vmListSchema.parse(JSON.parse(text)).vms;
		const {etag} = res.headers;
		this.entityTag = typeof etag === 'string' ? etag : undefined;
		return this.lastVms;
	}

	private async request(headers: Record<string, string>): Promise<{res: Dispatcher.ResponseData; text: string}> {
		const deadline = new RequestDeadline(monotonicClock, {timeoutMs: vmListTimeoutMs});
		deadline.start();
		try {
			const res = await request(`${this.baseUrl}/v1/vms`, {headers, signal: deadline.signal});
			return {res, text: await res.body.text()};
		} finally {
			deadline.clear();
		}
	}
}
