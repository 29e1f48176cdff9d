/** The memory that bodies of calls may take: a gateway, its workers and its callers as processes of their own. */
import net from 'node:net';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {bodyRoomFor} from '../src/limits/body-room.ts';
import {MemoryBudget, maxSmallBytes} from '../src/limits/memory-budget.ts';
import {startBodyService} from './support/body-service.ts';
import {
	sendSignedResponse, startTestGateway, startUpstream, testConfiguration, testInstance,
} from './support/direct-fixtures.ts';
import {waitFor} from './support/fleet.ts';
import {Processes} from './support/processes.ts';
import {peakMemoryMb} from './support/process-usage.ts';
import {connectRaw} from './support/raw-client.ts';

const support = path.join(import.meta.dirname, 'support');

/** The heap limit of a deployed gateway. */
const gatewayOptions = ['--max-old-space-size=80', '--max-semi-space-size=1', '--optimize-for-size'];

/** The memory limit of a deployed gateway, and how much it may use, in megabytes. */
const memoryMb = 350;

const processes = new Processes();

after(() => {
	processes.stop();
});

for (const calls of [20, 120]) {
	it(`guards against bodies that take all memory: with ${calls} of 4 MB at once the gateway stays below its limit, small calls are served, and each large one is served or refused`, async () => {
		const store = await startBodyService(processes);
		const {child: gateway, url} = await processes.startGateway(store, `memory_mb = ${memoryMb}\n`, {nodeOptions: gatewayOptions});
		const {child, out} = processes.start(['--import', 'tsx', path.join(support, 'body-callers.ts'), url, String(calls), '4000000']);
		await new Promise(resolve => {
			child.once('exit', resolve);
		});
		const peakMb = peakMemoryMb(gateway);
		store.close();
		const {large, small} = JSON.parse(out()) as Record<'large' | 'small', Record<string, number>>;
		const text = JSON.stringify({large, small, peakMb});
		expect(peakMb, text).to.be.below(memoryMb);
		expect(gateway.exitCode, text).to.equal(null);
		expect(small['200'] ?? 0, text).to.be.at.least(90);
		expect(Object.keys(large).filter(status => status !== '200' && status !== '503'), text).to.deep.equal([]);
		expect(large['200'] ?? 0, text).to.be.at.least(5);
	});
}

it('guards against large bodies that overtake each other or wait for ever: they get room in their order, or none after a short time', async () => {
	const megabyte = 1_000_000;
	const budget = new MemoryBudget({large: 10 * megabyte, small: 100_000});
	const first = await budget.take(8 * megabyte);
	const order: string[] = [];
	const second = (async () => {
		const lease = await budget.take(8 * megabyte);
		order.push('second');
		return lease;
	})();
	expect(budget.tryTake(megabyte)).to.equal(undefined);
	const third = (async () => {
		const lease = await budget.take(megabyte);
		order.push('third');
		return lease;
	})();
	expect(budget.tryTake(maxSmallBytes)).not.to.equal(undefined);
	first!.release();
	first!.release();
	const leases = await Promise.all([second, third]);
	expect([order, leases.every(Boolean), budget.usedBytes]).to.deep.equal([['second', 'third'], true, (9 * megabyte) + maxSmallBytes]);
	expect(await budget.take(8 * megabyte)).to.equal(undefined);
	expect(await budget.take(11 * megabyte)).to.equal(undefined);
});

it('guards against a body of unknown length that is not counted: its room grows with it, and moves to that of the large ones', () => {
	const budget = new MemoryBudget({large: 100_000, small: maxSmallBytes});
	const lease = budget.tryTake(0)!;
	expect([lease.growTo(maxSmallBytes), budget.usedBytes]).to.deep.equal([true, maxSmallBytes]);
	expect(budget.tryTake(1)).to.equal(undefined);
	expect([lease.growTo(90_000), budget.usedBytes, lease.growTo(110_000)]).to.deep.equal([true, 90_000, false]);
	lease.release();
	expect(budget.usedBytes).to.equal(0);
});

for (const isLast of [false, true]) {
	it(`guards against a refusal that its caller never sees: it comes while the body is still being sent, and the connection ${isLast ? 'closes after it, as the caller asked' : 'stays for the next call'}`, async () => {
		const upstream = await startUpstream((req, res) => {
			sendSignedResponse(req, res, 200, 'ok');
		});
		const configuration = testConfiguration(1);
		const limits = {...configuration.limits, bodyBytes: 4_194_304};
		const gateway = await startTestGateway({...configuration, limits}, [testInstance({id: 'i-0', address: upstream.address})]);
		gateway.bodies.tryTake(bodyRoomFor(memoryMb).large);
		const head = 'POST /p/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-1\r\nApi-Key: k1\r\nDeadline-Ms: 900\r\n';
		let answer = '';
		let failure: Error | undefined;
		let isClosed = false;
		const socket = net.connect({host: '127.0.0.1', port: Number(new URL(gateway.url).port)});
		try {
			socket.on('data', part => {
				answer += part.toString('latin1');
			});
			socket.on('error', err => {
				failure = err;
			});
			socket.on('close', () => {
				isClosed = true;
			});
			socket.write(`${head}${isLast ? 'Connection: close\r\n' : ''}Content-Length: 4000000\r\n\r\n`);
			await waitFor('the refusal', () => answer.includes('HTTP/1.1 503 '));
			for (let sent = 0; sent < 4_000_000; sent += 100_000) {
				expect(isClosed, `after ${sent} bytes`).to.equal(false);
				socket.write('x'.repeat(100_000));
				await sleep(1);
			}

			if (!isLast) {
				socket.write(`${head}Content-Length: 1\r\n\r\nb`);
			}

			await waitFor('the end', () => isClosed || failure !== undefined || answer.includes('HTTP/1.1 200 '));
			expect([failure, isClosed]).to.deep.equal([undefined, isLast]);
		} finally {
			socket.destroy();
			gateway.close();
			upstream.close();
		}
	});
}

it('guards against a caller that is blamed for a lack of room: a body that pauses while others need its room gets 503 and a time to return, and the other is served', async () => {
	const bodyBytes = 4_000_000;
	const upstream = await startUpstream((req, res) => {
		sendSignedResponse(req, res, 200, 'ok');
	});
	const configuration = testConfiguration(1);
	const limits = {...configuration.limits, bodyBytes: 4_194_304};
	const gateway = await startTestGateway({...configuration, limits}, [testInstance({id: 'i-0', address: upstream.address})]);
	gateway.bodies.tryTake(bodyRoomFor(memoryMb).large - (1.5 * bodyBytes));
	const head = 'POST /p/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-1\r\nApi-Key: k1\r\nDeadline-Ms: 900\r\n';
	const [first, second] = [connectRaw(gateway.url), connectRaw(gateway.url)];
	try {
		first.socket.write(`${head}Content-Length: ${bodyBytes}\r\n\r\n${'x'.repeat(100_000)}`);
		await sleep(1700);
		second.socket.write(`${head}Content-Length: ${bodyBytes}\r\n\r\n${'x'.repeat(bodyBytes)}`);
		await waitFor('both answers', () => first.received() !== '' && second.received() !== '');
		expect([first, second].map(({received}) => received().slice(9, 12))).to.deep.equal(['503', '200']);
		expect(first.received()).to.match(/retry-after: \d/i);
	} finally {
		first.socket.destroy();
		second.socket.destroy();
		gateway.close();
		upstream.close();
	}
});
