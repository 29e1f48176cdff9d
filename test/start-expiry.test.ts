/** Calls that have not begun when the version of weights that they were sent to expires, while the event loop is busy. */
import {expect} from 'chai';
import {StartDeadline} from '../src/forwarding/start-deadline.ts';
import {PauseDetector} from '../src/runtime/pause-detector.ts';
import {createServiceId} from '../src/ids/service-id.ts';
import {
	callGateway, observedNow, sendSignedResponse, startTestGateway, startUpstream, testBoundary, testConfiguration, testInstance,
} from './support/direct-fixtures.ts';
import {waitFor} from './support/fleet.ts';

/** How long each round of the event loop takes, in milliseconds. */
const roundMs = 60;

function block(ms: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

/** Runs rounds of the event loop that each take long; returns what `observe` returns in each of them, before it blocks. */
async function runLongRounds<Value>(count: number, observe: () => Value): Promise<Value[]> {
	const seen: Value[] = [];
	return new Promise(resolve => {
		const runRound = () => {
			seen.push(observe());
			block(roundMs);
			if (seen.length < count) {
				setImmediate(runRound);
			} else {
				resolve(seen);
			}
		};

		setImmediate(runRound);
	});
}

it('guards against a take-back that waits for further rounds of a busy event loop: it comes in the first one in which it is due', async () => {
	let takenBack = 0;
	let expiresAtMs = Number.POSITIVE_INFINITY;
	const deadline = new StartDeadline(() => expiresAtMs - performance.now(), () => {
		takenBack++;
	}, testBoundary());
	const seen = await runLongRounds(4, () => {
		if (expiresAtMs === Number.POSITIVE_INFINITY) {
			expiresAtMs = performance.now() + (roundMs / 2);
			deadline.check();
		}

		return takenBack;
	});
	expect(seen).to.deep.equal([0, 1, 1, 1]);
});

it('guards against begins on expired weights behind a busy gateway: its upstream loses the call in the first round after the expiry', async () => {
	const upstream = await startUpstream(() => undefined);
	const service = createServiceId('models');
	const configuration = testConfiguration(1, {kind: 'stream', timeoutMs: 8000, targets: [{service, weight: 1}]});
	const gateway = await startTestGateway(configuration, [testInstance({
		id: 'i-1', address: upstream.address, service, slots: 16, held: [{
			model: 'm', version: 1, fromLayer: 0, toLayer: 16,
		}],
	})]);
	try {
		const res = callGateway(gateway.url, {headers: {model: 'm', 'token-usage': '100,50', 'deadline-ms': '8000'}});
		await waitFor('the call is at its upstream', () => upstream.requests.length === 1);
		let isNamed = false;
		const seen = await runLongRounds(4, () => {
			if (!isNamed) {
				isNamed = true;
				// The margin before the expiry is 250 ms of 8 s.
				const namedAfterMs = performance.now() - 7750 + (roundMs / 2);
				gateway.directory.apply({revision: 3, changes: [{revision: 3, change: {kind: 'version', model: 'm', version: 2}}]}, {...observedNow(), namedAfterMs});
			}

			return gateway.ends.map(({outcome, reason}) => `${outcome} ${reason}`);
		});
		expect(seen).to.deep.equal([[], ['failed version_expired'], ['failed version_expired'], ['failed version_expired']]);
		const {status} = await res;
		expect(status).to.equal(502);
		await waitFor('the upstream loses its connection', () => upstream.requests[0]!.destroyed);
	} finally {
		gateway.close();
		upstream.close();
	}
});

it('guards against a call that is sent after its own time: if that ends before its connection is read, its upstream never gets it', async () => {
	const upstream = await startUpstream((req, res) => {
		sendSignedResponse(req, res, 200, 'ok');
	});
	const gateway = await startTestGateway(testConfiguration(1), [testInstance({id: 'i-1', address: upstream.address})]);
	try {
		// The attempt is reported right before it connects.
		gateway.tracker.inFlight.setListener((_, isMore) => {
			if (isMore) {
				block(300);
			}
		});
		const {status} = await callGateway(gateway.url, {headers: {'deadline-ms': '200'}});
		expect([status, upstream.requests.length, gateway.ends.map(({reason}) => reason)]).to.deep.equal([503, 0, ['deadline_passed']]);
	} finally {
		gateway.close();
		upstream.close();
	}
});

it('guards against a late event loop that is forgotten with its next tick: in real time, the delay still counts after it', async () => {
	const detector = new PauseDetector();
	try {
		const delaysMs = await new Promise<number[]>(resolve => {
			const seen: number[] = [];
			detector.onTick(() => {
				seen.push(detector.recentDelayMs);
				if (seen.length === 3) {
					resolve(seen);
				}
			});
			block(500);
		});
		expect(Math.min(...delaysMs)).to.be.at.least(200);
	} finally {
		detector.stop();
	}
});
