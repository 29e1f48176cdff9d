/** Checks the IDs of the events of one attempt, which are numbers that increase. No I/O, no clock. */

/** What an event is: the next one, one that the caller already has, or one that its upstream cannot have meant. */
export type EventPlace = 'next' | 'repeated' | 'impossible';

const eventId = /^\d{1,15}$/;

/** The IDs seen in one attempt. */
export class EventOrder {
	private last: number | undefined;
	private readonly resumedAfter: number;

	/** @param resumedAfterId - ID of the last event that the caller has from earlier attempts */
	constructor(resumedAfterId: string | undefined) {
		this.resumedAfter = Number(resumedAfterId ?? Number.NEGATIVE_INFINITY);
	}

	/** Returns the place of the next event of the attempt. An upstream that resumes may repeat earlier events, but none of its own. */
	check(id: string): EventPlace {
		const number = Number(id);
		if (!eventId.test(id) || (this.last !== undefined && number <= this.last)) {
			return 'impossible';
		}

		this.last = number;
		return number <= this.resumedAfter ? 'repeated' : 'next';
	}
}
