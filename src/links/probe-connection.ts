/** Probes whether a process accepts TCP connections. */
import net from 'node:net';
import {setInputTimeout} from '../runtime/input-timeout.ts';
import {parseAddress} from './http-listener.ts';

/** Timeout for establishing a connection, in milliseconds. */
export const connectTimeoutMs = 300;

/** What an upstream does with a new TCP connection; `silent` if it does not react in time. */
export type ConnectionProbe = 'accepts' | 'refuses' | 'silent';

/**
 * Opens a TCP connection to an upstream and closes it.
 *
 * @param address - IP address and TCP port of the upstream
 */
export async function probeConnection(address: string): Promise<ConnectionProbe> {
	const {host, port} = parseAddress(address);
	return new Promise(resolve => {
		const socket = net.connect({host, port});
		const finish = (probe: ConnectionProbe) => {
			timeout.clear();
			socket.destroy();
			resolve(probe);
		};

		const timeout = setInputTimeout(() => {
			finish('silent');
		}, connectTimeoutMs);
		socket.once('connect', () => {
			finish('accepts');
		});
		socket.once('error', (err: NodeJS.ErrnoException) => {
			finish(err.code === 'ECONNREFUSED' ? 'refuses' : 'silent');
		});
	});
}
