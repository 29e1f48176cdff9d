/**
 * Addresses for the processes that a test starts.
 *
 * A port that was found free on 127.0.0.1 can be taken before the process binds it. Each test process therefore has a loopback address of
 * its own, with ports below those that the system gives to outgoing connections.
 */
import process from 'node:process';

const firstPort = 20_000;

const sharedPortCount = 10_000;

/** A port for processes and sockets that share one port at several loopback addresses; test processes that run side by side have different ones. */
export const sharedPort = firstPort + (process.pid % sharedPortCount);

let reserved = 0;

/** The loopback address that only this test process uses: its process ID in three numbers below 256. */
export const loopbackHost = ['127', 128 + (Math.floor(process.pid / 65_536) % 64), Math.floor(process.pid / 256) % 256, process.pid % 256].join('.');

/** Returns ports of {@link loopbackHost} that no other process uses. */
export function reservePorts(count: number): number[] {
	const first = firstPort + reserved;
	reserved += count;
	return Array.from({length: count}, (_, at) => first + at);
}

/** Returns addresses, `ip:port`, that no other process uses. */
export function reserveAddresses(count: number): string[] {
	return reservePorts(count).map(port => `${loopbackHost}:${port}`);
}
