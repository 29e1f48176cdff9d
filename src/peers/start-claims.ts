/** The gateway's side of the starts at cold engines: claims them by datagram from the stager beside the engine. */
import type {Instance} from '../directory/directory-types.ts';
import type {DatagramPort} from '../links/datagram-port.ts';
import {parseAddress} from '../links/http-listener.ts';
import {type ClaimDatagram, claimedDatagramSchema} from '../messages/start-claim-datagram.ts';
import type {GrantSpacing} from '../placement/cold-quota.ts';
import type {StartAuthority} from '../placement/cold-starts.ts';
import type {StartDecision} from '../placement/start-limiter.ts';
import {setInputTimeout} from '../runtime/input-timeout.ts';

/** How long a call waits for the answer, in milliseconds. */
const answerTimeoutMs = 20;

/** How long a stager that did not answer is not asked, in milliseconds. */
const silentMs = 250;

/** Dependencies of {@link StartClaims}. */
export type StartClaimsOptions = {
	readonly datagrams: DatagramPort;
	/** The number of the port on which the stagers receive datagrams. */
	readonly port: number;
};

/** Claims by datagram. */
export class StartClaims implements StartAuthority {
	/** The largest number of gateways that any stager has told of; it never decreases. */
	reportedGateways = 0;
	private lastNumber = 0;
	private readonly waiting = new Map<number, (decision: StartDecision) => void>();
	/** Until when the stagers that did not answer are not asked, by instance ID. */
	private readonly silentUntilMs = new Map<string, number>();

	constructor(private readonly options: StartClaimsOptions) {
		options.datagrams.on('claimed', claimedDatagramSchema, ([, number, isAllowed, waitMs, gateways]) => {
			this.reportedGateways = Math.max(this.reportedGateways, gateways);
			this.waiting.get(number)?.({isAllowed, waitMs});
		});
	}

	async claim({id, address}: Instance, {intervalMs, toleranceMs}: GrantSpacing): Promise<StartDecision | undefined> {
		if (performance.now() < (this.silentUntilMs.get(id) ?? 0)) {
			return undefined;
		}

		const number = ++this.lastNumber;
		const {datagrams, port} = this.options;
		datagrams.send(['claim', number, id, intervalMs, toleranceMs] satisfies ClaimDatagram, {host: parseAddress(address).host, port});
		const decision = await this.waitForAnswer(number);
		this.waiting.delete(number);
		if (decision) {
			this.silentUntilMs.delete(id);
		} else {
			this.silentUntilMs.set(id, performance.now() + silentMs);
		}

		return decision;
	}

	/**
	 * Discards what is known of other instances.
	 *
	 * @param present - IDs of the instances to keep
	 */
	retainOnly(present: ReadonlySet<string>): void {
		for (const id of this.silentUntilMs.keys()) {
			if (!present.has(id)) {
				this.silentUntilMs.delete(id);
			}
		}
	}

	private async waitForAnswer(number: number): Promise<StartDecision | undefined> {
		return new Promise(resolve => {
			const timeout = setInputTimeout(() => {
				resolve(undefined);
			}, answerTimeoutMs);
			this.waiting.set(number, decision => {
				timeout.clear();
				resolve(decision);
			});
		});
	}
}
