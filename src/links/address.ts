/** The form of addresses, `host:port`. */
import net from 'node:net';
import {z} from 'zod';

const maxPort = 65_535;

const addressPattern = /^(?<host>[\w.:[\]-]{1,255}):(?<port>\d{1,5})$/;

/** Returns whether a text is an address that a connection can be opened to. */
export function isAddress(text: string): boolean {
	const port = Number(addressPattern.exec(text)?.groups?.port);
	return port >= 1 && port <= maxPort;
}

/** Returns whether a text is an address whose host is an IPv4 address. */
export function isIpv4Address(text: string): boolean {
	return isAddress(text) && net.isIPv4(text.slice(0, text.lastIndexOf(':')));
}

/** Validates an address that another process sent. */
export const addressSchema = z.string().refine(text => isAddress(text), 'is no address');
