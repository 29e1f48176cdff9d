/** Tests that decisions write their log lines: the page's list of events against the code, and lines of a real gateway with their fields. */
import dgram from 'node:dgram';
import {appendFileSync, readFileSync, writeFileSync} from 'node:fs';
import net from 'node:net';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {callGateway, startUpstream, type TestUpstream} from './support/direct-fixtures.ts';
import {DirectoryStore} from './support/directory-store.ts';
import {waitFor} from './support/fleet.ts';
import {type GatewayProcess, Processes} from './support/processes.ts';
import {
	observedConfiguration, observedEngine, observedPlain, readLines,
} from './support/observed-gateway.ts';
import {findWrittenEvents} from './support/written-events.ts';

const page = readFileSync(path.join(import.meta.dirname, '../docs/PLATFORM.md'), 'utf8');

const direct = findWrittenEvents(['src/cli/gateway-stager-commands.ts']);
const others = findWrittenEvents(['src/cli/entry-agent-commands.ts']);

/** Returns the event names in a text of the page. */
function readEventNames(text: string): string[] {
	return [...text.matchAll(/`([a-z]+(?:_[a-z]+)+)`/g)].map(match => match[1]!).toSorted();
}

function sectionText(): string {
	return page.split('\n## Decisions and their log lines\n')[1]!.split('\n## ')[0]!;
}

it('guards against a decision without a line and a line that the page does not explain: the page names exactly the events of gateways and stagers', () => {
	const rows = sectionText().split('\n').filter(line => line.startsWith('| `')).filter(line => !line.includes('Ms`'));
	const firstCells = rows.map(row => row.split(' | ')[0]!).filter(cell => !cell.includes('lastEventId'));
	expect(readEventNames(firstCells.join(' '))).to.deep.equal([...direct.names].toSorted());
	expect([...direct.unreadable, ...others.unreadable]).to.deep.equal([]);
});

it('guards against events of entries and agents that the page does not name, or that were removed', () => {
	const list = /Events of the roles `entry` and `agent` alone: ([^.]+)\./.exec(sectionText())?.[1] ?? '';
	expect(readEventNames(list)).to.deep.equal([...others.names].filter(name => !direct.names.has(name)).toSorted());
});

describe('lines of a real gateway', () => {
	const processes = new Processes();
	const store = new DirectoryStore();
	let gateway: GatewayProcess;
	let desk: TestUpstream;
	const call = async (id: string, target: string, headers: Record<string, string> = {}) => callGateway(gateway.url, {
		path: target, headers: {'attempt-id': id, 'deadline-ms': '6000', ...headers},
	});
	const streamHeaders = {model: 'm', 'token-usage': '100,50'};
	const lines = (event: string, id?: string) => readLines(gateway).filter(line => line.event === event && (id === undefined || line.id === id));
	const line = async (event: string, id?: string) => {
		await waitFor(`a line ${event}`, () => lines(event, id).length > 0);
		return lines(event, id)[0]!;
	};

	before(async () => {
		await store.start();
		desk = await startUpstream((req, res) => {
			const {searchParams} = new URL(req.url ?? '/', 'http://desk');
			if (searchParams.has('reset')) {
				req.socket.destroy();
				return;
			}

			const headers = Object.fromEntries([...searchParams].filter(([name]) => name !== 'status'));
			res.writeHead(Number(searchParams.get('status') ?? 200), {
				'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's.1', 'content-length': 2, ...headers,
			});
			res.end('ok');
		});
		const workers = await Promise.all([processes.startStreamWorker(), processes.startStreamWorker()]);
		store.put('op/config', observedConfiguration);
		store.put('servers/i-desk', observedPlain('desk', desk.address));
		store.put('servers/i-quiet', observedPlain('quiet', desk.address));
		// Nothing listens at this port.
		store.put('servers/i-away', observedPlain('away', '127.0.0.1:1'));
		store.put('op/version/spoilt', {model: 'm', version: 'one'});
		for (const [at, {address}] of workers.entries()) {
			store.put(`servers/i-${at}`, observedEngine(address));
		}

		gateway = await processes.startGateway(store, '', {processSettings: 'log_level = debug'});
	});

	after(() => {
		processes.stop();
		desk.close();
		store.close();
	});

	it('guards against a start whose beliefs are not logged: configuration, instances, unreadable entries and the duty to watch', async () => {
		expect(await line('gateway_started')).to.have.property('callers', gateway.url.slice('http://'.length));
		expect(await line('configuration_taken')).to.include({version: 1, routes: 4});
		await waitFor('all instances are seen', () => lines('instance_seen').length === 5);
		expect(lines('instance_seen').find(({instance}) => instance === 'i-0')).to.include({zone: 'z', isDraining: false}).and.to.have.property('held');
		expect(await line('watch_started')).to.have.property('vm');
		expect(await line('entry_unreadable')).to.have.property('reason');
	});

	it('guards against a call whose place and end are not explained: a stream that is served', async () => {
		await call('served-1', '/s/x?events=3&gap=20', streamHeaders);
		expect(await line('call_placed', 'served-1')).to.include.keys('instance', 'predictedMs', 'load', 'candidates');
		expect(lines('stream_begun')[0]).to.include.keys('instance', 'seenMs', 'predictedMs', 'slowness');
		const ended = await line('call_ended', 'served-1');
		expect(ended).to.include({outcome: 'served', lastEventId: '3', configuration: 1});
		expect(ended).to.include.keys('waitedMs', 'predictedMs', 'silentMs', 'stalledMs', 'tried', 'version');
	});

	it('guards against a silence that leaves no trace: what was done, and the send that another one replaced', async () => {
		await call('silent-1', '/s/x?events=6&gap=50&pause-at=3&pause=4000', streamHeaders);
		const silent = await line('send_silent', 'silent-1');
		expect(silent.result).to.equal('sent');
		expect(silent.selected).to.match(/^i-[01]$/);
		expect(silent.silentMs).to.be.at.least(1000);
		expect(silent.stalledMs).to.be.below(Number(silent.silentMs));
		const replaced = await line('send_ended', 'silent-1');
		expect(replaced).to.include({
			outcome: 'replaced', reason: 'silent', step: 'wait', instance: silent.instance,
		});
		expect(replaced).to.include.keys('silentMs', 'stalledMs', 'runs', 'waitedMs');
		expect(await line('call_ended', 'silent-1')).to.include({outcome: 'served', lastEventId: '6'});
		expect(lines('instance_lost').find(({instance}) => instance === silent.instance)).to.include({reason: 'silent'});
		expect(await line('instance_back')).to.include({instance: silent.instance});
	});

	it('guards against a failure whose cause is not told: a booking whose connection is reset, and an instance that accepts none', async () => {
		await call('reset-1', '/p/x?reset=1');
		expect(await line('send_ended', 'reset-1')).to.include({
			outcome: 'failed', step: 'fail', runs: 1, instance: 'i-desk',
		}).and.to.include.keys('reason', 'silentMs');
		expect(await line('call_ended', 'reset-1')).to.include({outcome: 'failed'}).and.to.include.keys('reason', 'tried');
		await call('away-1', '/a/x');
		expect(await line('instance_lost')).to.include.keys('instance', 'address', 'reason');
		expect(await line('no_place', 'away-1')).to.include.keys('reason', 'candidates', 'passedOver', 'instancesRevision');
		expect(await line('call_ended', 'away-1')).to.include({outcome: 'refused'}).and.to.include.keys('retryAfterMs');
	});

	it('guards against refusals before a send that are not explained: unknown key, malformed and unreadable calls', async () => {
		await call('key-1', '/p/x', {'api-key': 'k9'});
		expect(await line('call_refused', 'key-1')).to.include({status: 401, reason: 'unknown_key', configuration: 1});
		const tooLong = await callGateway(gateway.url, {body: 'b'.repeat(20_000), headers: {'content-length': '20000'}});
		expect(tooLong.status).to.equal(413);
		expect(await line('call_malformed')).to.include({status: 413});
		const {hostname, port} = new URL(gateway.url);
		const socket = net.connect(Number(port), hostname);
		socket.on('error', () => undefined);
		socket.end('no request\r\n\r\n');
		expect(await line('call_unreadable')).to.have.property('code');
	});

	it('guards against what an instance says of itself and nobody finds later: quiet, its end, an unreadable header, leaving', async () => {
		await call('quiet-1', '/q/x?status=503&not-executed=1&retry-after=0.3');
		expect(await line('instance_quiet')).to.include({instance: 'i-quiet', askedMs: 300});
		await waitFor('the trial has ended', async () => {
			await call('quiet-2', '/q/x');
			return lines('instance_tried').length > 0;
		});
		expect(await line('instance_tried')).to.include({instance: 'i-quiet', outcome: 'reopened'});
		await call('leave-1', '/q/x?server-leaving=maybe');
		expect(await line('signal_unreadable')).to.include({instance: 'i-quiet'}).and.to.have.property('headers');
		await call('leave-2', '/q/x?server-leaving=1');
		expect(await line('instance_leaving')).to.include({instance: 'i-quiet'});
	});

	it('guards against operators who cannot tell that settings were taken over or refused, or that datagrams are wrong', async () => {
		gateway.child.kill('SIGHUP');
		expect(await line('settings_reloaded')).to.have.property('seeds');
		const settings = readFileSync(gateway.settingsFile, 'utf8');
		appendFileSync(gateway.settingsFile, 'unknown_key = 1\n');
		gateway.child.kill('SIGHUP');
		expect(JSON.stringify(await line('settings_refused'))).to.include('unknown_key');
		writeFileSync(gateway.settingsFile, settings);
		const socket = dgram.createSocket('udp4');
		const [, host, port] = /^datagrams = (.*):(\d+)$/m.exec(settings)!;
		socket.send('no message', Number(port), host, () => {
			socket.close();
		});
		expect(await line('datagram_unreadable')).to.include.keys('bytes', 'count', 'reason');
	});

	it('guards against a process without processor time that leaves no trace: delay and pause', async () => {
		gateway.child.kill('SIGSTOP');
		await sleep(2500);
		gateway.child.kill('SIGCONT');
		const paused = await line('process_paused');
		expect(paused.gapMs).to.be.at.least(2000);
		expect(lines('event_loop_delayed').some(({delayMs}) => Number(delayMs) >= 2000)).to.equal(true);
	});

	it('guards against an outage of the store, and a stop, that leave no trace', async () => {
		store.close();
		expect(await line('source_lost')).to.include.keys('part', 'err');
		gateway.child.kill('SIGTERM');
		expect(await line('drain_started')).to.have.property('open');
		await waitFor('the process ends', () => gateway.child.exitCode !== null);
		await line('process_stopped');
		// The last line of the process.
		await line('drain_finished');
	});
});
