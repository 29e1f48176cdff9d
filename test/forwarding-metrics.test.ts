/** Tests of the metrics of forwarded calls, and of what no line and no metric may hold. */
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {createServiceId} from '../src/ids/service-id.ts';
import {ForwardingMetrics} from '../src/reports/forwarding-metrics.ts';
import {Metrics} from '../src/reports/metrics.ts';
import {callGateway, startUpstream, type TestUpstream} from './support/direct-fixtures.ts';
import {DirectoryStore} from './support/directory-store.ts';
import {waitFor} from './support/fleet.ts';
import {
	observedConfiguration, observedEngine, observedPlain, readLines,
} from './support/observed-gateway.ts';
import {type GatewayProcess, Processes} from './support/processes.ts';

const service = createServiceId('desk');

it('guards against a metric whose series grow with what callers or upstreams send: further combinations are counted as one', async () => {
	const metrics = new Metrics();
	const forwarding = new ForwardingMetrics(metrics);
	for (let at = 0; at < 2000; at++) {
		forwarding.recordEnd({
			kind: 'once', service: createServiceId(`s${at}`), outcome: 'failed', reason: `CODE_${at}`, ms: 1,
		});
	}

	const text = await metrics.text();
	const series = text.split('\n').filter(line => line.startsWith('cactusreach_forwarded_calls_total{'));
	expect(series).to.have.lengthOf(501);
	expect(text).to.include('cactusreach_forwarded_calls_total{service="other",kind="other",outcome="other",reason="other"} 1500');
	expect(text.split('\n').filter(line => line.startsWith('cactusreach_call_ms_count{'))).to.have.lengthOf(201);
});

it('guards against an address in a label: a reason that is a text of an error is counted as other', async () => {
	const metrics = new Metrics();
	const forwarding = new ForwardingMetrics(metrics);
	forwarding.recordEnd({
		kind: 'once', service, outcome: 'failed', reason: 'connect to 10.0.0.1:80 failed', ms: 1,
	});
	forwarding.recordSilence(service, 'no_retry_left');
	const text = await metrics.text();
	expect(text).to.include('cactusreach_forwarded_calls_total{service="desk",kind="once",outcome="failed",reason="other"} 1').and.not.include('10.0.0.1');
	expect(text).to.include('cactusreach_silent_sends_total{service="desk",result="no_retry_left"} 1');
});

describe('metrics of a real gateway', () => {
	const secrets = {key: 'key-6f1c2a9d', body: 'body-77ab03ce', unknownKey: 'key-50dd81b4'};
	const processes = new Processes();
	const store = new DirectoryStore();
	let upstream: TestUpstream;
	let gateway: GatewayProcess;
	let workerAddresses: string[] = [];
	const read = async (path: string) => {
		const res = await fetch(`${gateway.controlUrl}${path}`);
		return res.text();
	};

	type CallOptions = {key?: string; body?: string; headers?: Record<string, string>};
	const call = async (id: string, target: string, {key = secrets.key, body = secrets.body, headers = {}}: CallOptions = {}) => callGateway(gateway.url, {
		path: target, body, headers: {
			'attempt-id': id, 'deadline-ms': '6000', 'api-key': key, ...headers,
		},
	});

	before(async () => {
		await store.start();
		upstream = await startUpstream((req, res) => {
			if (req.url?.includes('reset')) {
				req.socket.destroy();
				return;
			}

			const status = req.url?.includes('error') ? 500 : 200;
			res.writeHead(status, {'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's.1', 'content-length': 2});
			res.end('ok');
		});
		const workers = await Promise.all([processes.startStreamWorker(), processes.startStreamWorker()]);
		workerAddresses = workers.map(({address}) => address);
		store.put('op/config', {...observedConfiguration, tenants: [{name: 'w1', api_keys: [secrets.key]}]});
		store.put('servers/i-desk', observedPlain('desk', upstream.address));
		store.put('servers/i-away', observedPlain('away', '127.0.0.1:1'));
		for (const [at, {address}] of workers.entries()) {
			store.put(`servers/i-${at}`, observedEngine(address));
		}

		gateway = await processes.startGateway(store, '', {processSettings: 'log_level = trace'});
	});

	after(() => {
		processes.stop();
		upstream.close();
		store.close();
	});

	it('guards against a failure that no metric tells apart: service, kind, outcome and reason of calls, silences, and time without processor', async () => {
		const streamHeaders = {model: 'm', 'token-usage': '100,50'};
		await call('stream-1', '/s/x?events=6&gap=50&pause-at=3&pause=4000', {headers: streamHeaders});
		await call('served-1', '/p/x');
		await call('reset-1', '/p/reset');
		await call('error-1', '/p/error');
		await call('away-1', '/a/x');
		await call('route-1', '/none/x');
		await call('key-1', '/p/x', {key: secrets.unknownKey});
		gateway.child.kill('SIGSTOP');
		await sleep(1300);
		gateway.child.kill('SIGCONT');
		const text = await read('/metrics');
		const count = (labels: string) => Number(text.split('\n').find(line => line.startsWith(`cactusreach_forwarded_calls_total{${labels}`))?.split(' ').at(-1));
		expect(count('service="models",kind="stream",outcome="served",reason="none"}')).to.equal(1);
		expect(count('service="desk",kind="once",outcome="served",reason="none"}')).to.equal(1);
		expect(count('service="desk",kind="once",outcome="failed",reason="')).to.equal(1);
		expect(count('service="desk",kind="once",outcome="passed_on",reason="status 500"}')).to.equal(1);
		expect(count('service="away",kind="idempotent",outcome="refused",reason="')).to.equal(1);
		expect(count('service="none",kind="none",outcome="refused_at_once",reason="no_route"}')).to.equal(1);
		expect(count('service="none",kind="once",outcome="refused_at_once",reason="unknown_key"}')).to.equal(1);
		expect(text).to.include('cactusreach_silent_sends_total{service="models",result="sent"} 1');
		expect(text).to.include('cactusreach_call_ms_bucket{le="5000",service="models",kind="stream",outcome="served"} 1');
		const stalledS = Number(/^cactusreach_event_loop_stalled_seconds_total (.*)$/m.exec(text)?.[1]);
		expect(stalledS).to.be.within(1, 10);
		const processorS = Number(/^cactusreach_processor_seconds_total (.*)$/m.exec(text)?.[1]);
		expect(processorS).to.be.within(0.01, 60);
		expect(text).to.match(/^cactusreach_resident_bytes \d+$/m);
	});

	it('guards against a key or a body in a log line, a metric or a dump, and against a label per request or worker', async () => {
		const tooLong = await call('long-1', '/p/x', {body: secrets.body.repeat(1000)});
		expect(tooLong.status).to.equal(413);
		gateway.child.kill('SIGHUP');
		const [metrics, dump] = await Promise.all([read('/metrics'), read('/dump')]);
		gateway.child.kill('SIGTERM');
		await waitFor('the gateway ends', () => gateway.child.exitCode !== null);
		expect(readLines(gateway).filter(({event}) => event === 'call_ended').length).to.be.at.least(5);
		for (const [name, secret] of Object.entries(secrets)) {
			expect(gateway.out().includes(secret), `${name} in the log`).to.equal(false);
			expect(metrics.includes(secret), `${name} in the metrics`).to.equal(false);
			expect(dump.includes(secret), `${name} in the dump`).to.equal(false);
		}

		for (const label of [...workerAddresses, upstream.address, '127.0.0.1', 'stream-1', 'i-desk', 'i-0', 'i-1']) {
			expect(metrics.includes(label), `${label} in the metrics`).to.equal(false);
		}
	});
});
