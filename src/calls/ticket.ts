/**
 * Tickets identify one call that must not be repeated.
 *
 * A ticket is bound to one incarnation of its home agent, whose in-memory call record ensures that the call runs at most once.
 */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {z} from 'zod';

/** How long a ticket is valid, in milliseconds. */
export const ticketLifetimeMs = 10 * 60 * 1000;

const nonceBytes = 16;

const ticketSchema = z.object({
	/** The VM of the home agent. */
	vm: z.string(),
	incarnation: z.string(),
	workspace: z.string(),
	route: z.string(),
	nonce: z.string().min(nonceBytes),
	expiresAtMs: z.number(),
});

/** The decoded ticket of a call. */
export type Ticket = z.infer<typeof ticketSchema>;

/**
 * Creates a ticket with a random nonce.
 *
 * @param home - the home agent, and the workspace and route that the ticket is valid for
 */
export function createTicket(home: Omit<Ticket, 'nonce' | 'expiresAtMs'>): Ticket {
	return {...home, nonce: randomBytes(nonceBytes).toString('hex'), expiresAtMs: Date.now() + ticketLifetimeMs};
}

/** Encodes a ticket for header x-ticket. */
export function encodeTicket(ticket: Ticket): string {
	return Buffer.from(JSON.stringify(ticket)).toString('base64url');
}

/**
 * Decodes a ticket from header x-ticket.
 *
 * @param text - a ticket as {@link encodeTicket} encodes it
 * @returns undefined if the text is not a valid ticket
 */
export function decodeTicket(text: string): Ticket | undefined {
	try {
		const result = ticketSchema.safeParse(JSON.parse(Buffer.from(text, 'base64url').toString('utf8')));
		return result.success ? result.data : undefined;
	} catch {
		return undefined;
	}
}
