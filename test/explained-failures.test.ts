/** Failed requests of a real gateway, each explained from its log alone by `cactusreach explain`; docs/OPERATIONS.md shows the lines. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
	callGateway, startUpstream, type TestResponse, type TestUpstream,
} from './support/direct-fixtures.ts';
import {DirectoryStore} from './support/directory-store.ts';
import {waitFor} from './support/fleet.ts';
import {
	observedConfiguration, observedEngine, observedPlain, readLines,
} from './support/observed-gateway.ts';
import {type GatewayProcess, Processes, type StreamWorker} from './support/processes.ts';

const program = path.join(import.meta.dirname, '../dist/cactusreach.cjs');

/** Set to print what `explain` prints, for the page. */
const isPrinting = process.env.PRINT_EXPLANATIONS !== undefined;

const processes = new Processes();
const store = new DirectoryStore();
const folder = mkdtempSync(path.join(tmpdir(), 'cactusreach-explained-'));
let desk: TestUpstream;
let worker: StreamWorker;
let gateway: GatewayProcess;

before(async () => {
	await store.start();
	// A booking may run and lose its answer; the target tells what the service says.
	desk = await startUpstream((req, res) => {
		const {searchParams} = new URL(req.url ?? '/', 'http://desk');
		const headers = {'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's.1', 'content-length': 2};
		const instance = String(req.headers['expect-instance']);
		if (searchParams.has('lose-answer')) {
			setTimeout(() => {
				req.socket.destroy();
			}, 50);
		} else if (searchParams.has('close')) {
			res.writeHead(503, {...headers, 'not-executed': '1', ...(instance === 'i-quiet-1' ? {'server-leaving': '1'} : {'retry-after': '5'})});
			res.end('no');
		} else {
			setTimeout(() => {
				res.writeHead(200, headers);
				res.end('ok');
			}, Number(searchParams.get('after') ?? 0));
		}
	});
	worker = await processes.startStreamWorker();
	store.put('op/config', observedConfiguration);
	store.put('servers/i-desk', observedPlain('desk', desk.address));
	store.put('servers/i-quiet-1', observedPlain('quiet', desk.address));
	store.put('servers/i-quiet-2', observedPlain('quiet', desk.address));
	store.put('servers/i-engine-1', observedEngine(worker.address));
	store.put('servers/i-engine-2', {...observedEngine('127.0.0.1:1'), state: 'draining'});
	gateway = await processes.startGateway(store);
});

after(() => {
	processes.stop();
	desk.close();
	store.close();
	rmSync(folder, {recursive: true});
});

async function call(id: string, target: string, headers: Record<string, string> = {}): Promise<TestResponse> {
	return callGateway(gateway.url, {path: target, headers: {'attempt-id': id, 'deadline-ms': '6000', ...headers}});
}

/** Returns what `cactusreach explain` prints of a request: the beliefs and the lines of the request. */
async function explain(id: string): Promise<{readonly beliefs: string; readonly request: string}> {
	await waitFor(`the end of ${id} is logged`, () => readLines(gateway).some(line => line.id === id && line.event === 'call_ended'));
	// A line about a delay may follow.
	await sleep(200);
	const file = path.join(folder, 'gateway.log');
	writeFileSync(file, gateway.out());
	const started = processes.start([program, 'explain', id, file]);
	await waitFor('explain ends', () => started.child.exitCode !== null && started.out().includes('call_ended'));
	if (isPrinting) {
		console.log(`$ cactusreach explain ${id} gateway.log\n${started.out()}`);
	}

	const [beliefs, request] = started.out().split('the request:\n');
	return {beliefs: beliefs!, request: request!};
}

it('guards against a booking with an unknown outcome whose cause is not found: one send, its end and that it may have run', async () => {
	const {status} = await call('booking-1', '/p/book?lose-answer=1');
	expect(status).to.equal(502);
	const {request} = await explain('booking-1');
	expect(request).to.match(/send_ended instance=i-desk outcome=failed reason=\w+ step=fail runs=1/);
	expect(request).to.match(/call_ended .*service=desk outcome=failed .*tried=\["i-desk"]/);
});

it('guards against a stream that breaks after its first event and whose cause is not found: the event before the break, and why no other engine went on', async () => {
	const answer = call('stream-1', '/s/x?events=100&gap=50', {model: 'm', 'token-usage': '100,50'});
	await sleep(400);
	worker.child.kill('SIGKILL');
	expect(await answer).to.include({status: 200, complete: false});
	const {beliefs, request} = await explain('stream-1');
	expect(beliefs).to.match(/instance_seen instance=i-engine-1 .*isDraining=false/);
	expect(request).to.match(/send_ended instance=i-engine-1 outcome=failed .*step=repeat/);
	expect(request).to.match(/no_place .*candidates=0 .*service=models model=m requiredVersion=1 reason=no_upstream/);
	expect(request).to.match(/call_ended .*outcome=cut .*lastEventId=\d+/);
});

it('guards against a refusal while places seem free and whose cause is not found: why each listed instance was passed over', async () => {
	await call('refused-0', '/q/x?close=1');
	await call('refused-1', '/q/x?close=1');
	const {status} = await call('refused-2', '/q/x');
	expect(status).to.equal(503);
	const {beliefs, request} = await explain('refused-2');
	expect(beliefs).to.include('instance_leaving instance=i-quiet-1').and.to.include('instance_quiet instance=i-quiet-2');
	expect(request).to.match(/no_place .*"instance":"i-quiet-1","reason":"leaving"/).and.to.match(/"instance":"i-quiet-2","reason":"quiet"/);
	expect(request).to.match(/call_ended .*outcome=refused .*retryAfterMs=\d+/);
});

it('guards against a gateway without processor time that passes for a slow upstream: the delay stands beside the request, and its share in the silence', async () => {
	const answer = call('stalled-1', '/p/book?after=3000', {'deadline-ms': '1000'});
	await sleep(200);
	gateway.child.kill('SIGSTOP');
	await sleep(1300);
	gateway.child.kill('SIGCONT');
	const {status} = await answer;
	expect(status).to.equal(504);
	const {beliefs, request} = await explain('stalled-1');
	// On a busy machine, shorter delays may stand there, too.
	const delaysMs = [...beliefs.matchAll(/event_loop_delayed delayMs=(\d+)/g)].map(([, delayMs]) => Number(delayMs));
	const [, silentMs, stalledMs] = /call_ended .*outcome=timed_out .*silentMs=(\d+) stalledMs=(\d+)/.exec(request) ?? [];
	expect(Math.max(...delaysMs)).to.be.at.least(1000);
	expect(Number(stalledMs)).to.be.at.least(1000).and.at.most(Number(silentMs));
});
