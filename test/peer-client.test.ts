/** The HTTP client for peers. */
import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {PeerClient} from '../src/links/peer-client.ts';

it('guards against memory that grows with the fleet: connections to peers that were not asked for a while are closed, those in use are kept', async () => {
	const connections = new Set<Socket>();
	const connectedPorts = () => new Set([...connections].map(({localPort}) => localPort));
	const servers = Array.from({length: 30}, () => http.createServer((req, res) => {
		res.end('{}');
	}).on('connection', socket => {
		connections.add(socket);
		socket.once('close', () => {
			connections.delete(socket);
		});
	}));
	const clock = install({toFake: ['performance']});
	const links = new PeerClient();
	try {
		const urls: string[] = [];
		for (const server of servers) {
			await new Promise<void>(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
			urls.push(`http://127.0.0.1:${(server.address() as AddressInfo).port}/`);
		}

		for (const url of urls) {
			await links.json(url, {method: 'GET'}, {timeoutMs: 1000});
		}

		expect(links.poolCount).to.equal(30);
		for (let round = 0; round < 4; round++) {
			clock.tick(6000);
			await links.json(urls[0]!, {method: 'GET'}, {timeoutMs: 1000});
		}

		expect(links.poolCount).to.equal(1);
		for (let round = 0; round < 100 && connectedPorts().size > 1; round++) {
			await new Promise(resolve => {
				setTimeout(resolve, 10);
			});
		}

		expect([...connectedPorts()]).to.deep.equal([Number(new URL(urls[0]!).port)]);
	} finally {
		clock.uninstall();
		await links.close();
		for (const server of servers) {
			server.close();
			server.closeAllConnections();
		}
	}
});
