/**
 * The joined view of all VMs, kept up to date one VM at a time.
 *
 * Joining 3,630 VMs anew at each report took 40 ms, several times a second; a report changes one of them.
 */
import type {ListedVm, Member} from './member.ts';
import {joinMember, type MemberSources} from './merge-members.ts';

/** Where a member comes from. */
type Origin = {readonly line: ListedVm; readonly isListed: boolean};

/** Keeps the joined members. */
export class MemberView {
	private list: Member[] = [];
	private origins: readonly Origin[] = [];
	private readonly places = new Map<string, number>();
	private changes = 0;

	/** All members, usable or not. */
	get members(): readonly Member[] {
		return this.list;
	}

	/** Grows whenever a member comes, goes, moves, or becomes usable or unusable. */
	get version(): number {
		return this.changes;
	}

	/**
	 * Joins all VMs anew.
	 *
	 * @param sources - what is known of all VMs
	 */
	rebuild(sources: MemberSources): void {
		const before = {origins: this.origins, list: this.list};
		const listed = [...sources.listed].map(line => ({line, isListed: true}));
		this.origins = [...listed, ...[...sources.unlisted].map(line => ({line, isListed: false}))];
		this.list = this.origins.map(({line, isListed}) => joinMember(line, isListed, sources));
		this.places.clear();
		for (const [place, {vm}] of this.list.entries()) {
			this.places.set(vm, place);
		}

		const isSame = before.list.length === this.list.length
			&& before.origins.every(({line}, place) => line === this.origins[place]?.line && before.list[place]?.usable === this.list[place]?.usable);
		this.changes += isSame ? 0 : 1;
	}

	/**
	 * Joins one VM anew; a VM that is not in the view stays out until the next rebuild.
	 *
	 * @param vm - the VM
	 * @param sources - what is known of it
	 */
	update(vm: string, sources: Pick<MemberSources, 'sights' | 'nowMs'>): void {
		const place = this.places.get(vm) ?? -1;
		const origin = this.origins[place];
		if (!origin) {
			return;
		}

		const member = joinMember(origin.line, origin.isListed, sources);
		this.changes += member.usable === this.list[place]?.usable ? 0 : 1;
		this.list[place] = member;
	}
}
