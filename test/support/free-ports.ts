/** Ports for the processes that a test starts. */
import net, {type AddressInfo} from 'node:net';

/** Returns TCP ports of 127.0.0.1 that are free now. */
export async function freePorts(count: number): Promise<number[]> {
	const servers = await Promise.all(Array.from({length: count}, async () => new Promise<net.Server>(resolve => {
		const server = net.createServer().listen(0, '127.0.0.1', () => {
			resolve(server);
		});
	})));
	const ports = servers.map(server => (server.address() as AddressInfo).port);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}
