/** Checks whether this process is still the current agent of its VM, after its start and after every pause. */
import {PeerRequestError, type PeerClient} from '../links/peer-client.ts';
import type {MembershipManager} from '../membership/membership-manager.ts';
import {agentReportMethod, agentReportSchema} from '../messages/agent-report.ts';

/** The timeout of the report request to the listed address, in milliseconds. */
const reportTimeoutMs = 1000;

/** Dependencies of a self-check. */
export type SelfCheckOptions = {
	readonly membership: MembershipManager;
	readonly links: PeerClient;
	readonly vm: string;
	/** This agent's control listener, `host:port`. */
	readonly ownAddress: string;
	readonly incarnation: string;
};

/** The result of a self-check. */
export type SelfCheckResult = 'current' | 'superseded' | 'unknown';

/** Compares this process's incarnation with the one reported at the address that the platform lists for this VM. */
export class SelfCheck {
	private wasListed = false;

	constructor(private readonly options: SelfCheckOptions) {}

	/** Refreshes the VM list and compares incarnations. */
	async run(): Promise<SelfCheckResult> {
		const {membership, vm, ownAddress} = this.options;
		await membership.refresh();
		const listed = membership.members.find(member => member.vm === vm);
		if (!listed && this.wasListed) {
			// A VM that left the list may have a successor that is not listed yet.
			return 'unknown';
		}

		this.wasListed ||= listed !== undefined;
		return this.compareIncarnation(listed?.address ?? ownAddress);
	}

	private async compareIncarnation(address: string): Promise<SelfCheckResult> {
		const {links, incarnation, ownAddress} = this.options;
		try {
			const report = await links.rpc(address, {method: agentReportMethod, params: {}}, agentReportSchema, {timeoutMs: reportTimeoutMs, freshConnection: true});
			return report.incarnation === incarnation ? 'current' : 'superseded';
		} catch (err) {
			// Another address than our own belongs to a successor, whether it responds or not.
			return err instanceof PeerRequestError && address !== ownAddress ? 'superseded' : 'unknown';
		}
	}
}
