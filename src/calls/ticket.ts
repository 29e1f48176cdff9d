/** Tickets: one call that may not be repeated, bound to one agent's memory. */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {z} from 'zod';

/** How long a ticket is good for, in milliseconds. */
export const ticketLifetimeMs = 10 * 60 * 1000;

const nonceBytes = 16;

const ticketSchema = z.object({
	/** The home agent. */
	vm: z.string(),
	incarnation: z.string(),
	workspace: z.string(),
	route: z.string(),
	nonce: z.string().min(nonceBytes),
	expiresAtMs: z.number(),
});

/** One call that may not be repeated. */
export type Ticket = z.infer<typeof ticketSchema>;

/**
 * Creates a ticket with a fresh nonce.
 *
 * @param home - the home agent and the call's scope
 */
export function createTicket(home: Omit<Ticket, 'nonce' | 'expiresAtMs'>): Ticket {
	return {...home, nonce: randomBytes(nonceBytes).toString('hex'), expiresAtMs: Date.now() + ticketLifetimeMs};
}

/**
 * Writes a ticket as header text.
 *
 * @param ticket - the ticket
 */
export function encodeTicket(ticket: Ticket): string {
	return Buffer.from(JSON.stringify(ticket)).toString('base64url');
}

/**
 * Reads a ticket from header text.
 *
 * @param text - what {@link encodeTicket} wrote
 * @returns undefined when the text is no ticket
 */
export function decodeTicket(text: string): Ticket | undefined {
	try {
		const result = ticketSchema.safeParse(JSON.parse(Buffer.from(text, 'base64url').toString('utf8')));
		return result.success ? result.data : undefined;
	} catch {
		return undefined;
	}
}
