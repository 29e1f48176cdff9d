/** Finds out whether this process is still the one at its VM, after the start and after every pause. */
import {PeerRequestError, type PeerClient} from '../links/peer-client.ts';
import type {MembershipManager} from '../membership/membership-manager.ts';
import {agentReportMethod, agentReportSchema} from '../messages/agent-report.ts';

/** How long the process at the listed address may take to report, in milliseconds. */
const selfReportTimeoutMs = 1000;

/** What the check works with. */
export type SelfCheckOptions = {
	readonly membership: MembershipManager;
	readonly links: PeerClient;
	readonly vm: string;
	/** This agent's control listener, `host:port`. */
	readonly ownAddress: string;
	readonly incarnation: string;
};

/** What the check found. */
export type SelfCheckResult = 'current' | 'superseded' | 'unknown';

/** Asks the process at the address that the platform lists for this VM who it is. */
export class SelfCheck {
	private wasListed = false;

	/** @param options - what the check works with */
	constructor(private readonly options: SelfCheckOptions) {}

	/** Reads the VM list anew and compares incarnations. */
	async run(): Promise<SelfCheckResult> {
		const {membership, vm, ownAddress} = this.options;
		await membership.refresh();
		const listed = membership.members.find(member => member.vm === vm);
		if (!listed && this.wasListed) {
			// A VM that left the list may have a successor that is not listed yet.
			return 'unknown';
		}

		this.wasListed ||= listed !== undefined;
		return this.ask(listed?.address ?? ownAddress);
	}

	private async ask(address: string): Promise<SelfCheckResult> {
		const {links, incarnation, ownAddress} = this.options;
		try {
			const report = await links.rpc(address, {method: agentReportMethod, params: {}}, agentReportSchema, {timeoutMs: selfReportTimeoutMs, freshConnection: true});
			return report.incarnation === incarnation ? 'current' : 'superseded';
		} catch (err) {
			// Another address than our own belongs to a successor, whether it answers or not.
			return err instanceof PeerRequestError && address !== ownAddress ? 'superseded' : 'unknown';
		}
	}
}
