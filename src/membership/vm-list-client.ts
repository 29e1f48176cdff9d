/** The client of the platform's VM list. */
import {request} from 'undici';
import {VError} from 'verror';
import {type ListedVm, vmListSchema} from './member.ts';

/** How long one read of the VM list may take, in milliseconds. */
const vmListTimeoutMs = 2000;

/** Reads the VM list; an unchanged one costs no body where the platform supports entity tags. */
export class VmListClient {
	private entityTag: string | undefined;
	private lastVms: readonly ListedVm[] = [];

	/** @param baseUrl - the list's address */
	constructor(private readonly baseUrl: string) {}

	/**
	 * Reads the list.
	 *
	 * @throws VError when the platform does not answer with a list
	 */
	async read(): Promise<readonly ListedVm[]> {
		const headers: Record<string, string> = this.entityTag === undefined ? {} : {'if-none-match': this.entityTag};
		const res = await request(`${this.baseUrl}/v1/vms`, {headers, signal: AbortSignal.timeout(vmListTimeoutMs)});
		const text = await res.body.text();
		if (res.statusCode === 304) {
			return this.lastVms;
		}

		if (res.statusCode !== 200) {
			throw new VError('VM list answered status %d', res.statusCode);
		}

		this.lastVms = vmListSchema.parse(JSON.parse(text)).vms;
		const {etag} = res.headers;
		this.entityTag = typeof etag === 'string' ? etag : undefined;
		return this.lastVms;
	}
}
