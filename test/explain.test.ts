/** Tests of `cactusreach explain`, which finds the cause of a request's outcome in the logs. */
import {expect} from 'chai';
import {
	formatLogLine, type LogLine, parseLogLine, RequestExplainer,
} from '../src/reports/explain-request.ts';

const lineAt = (second: number, vm: string, event: string, fields: Record<string, unknown> = {}): LogLine => ({
	time: `2026-12-04T10:00:${String(second).padStart(2, '0')}.000Z`, vm, event, ...fields,
});

it('guards against missing the cause of a failed request: its lines are in order of time over all processes, with the last state change of each instance that it tried', () => {
	const lines = [
		lineAt(9, 'g1', 'call_ended', {id: 'r', outcome: 'failed', tried: ['i-1', 'i-2']}),
		lineAt(6, 'g1', 'send_ended', {id: 'r', instance: 'i-1', reason: 'silent'}),
		lineAt(1, 'g1', 'instance_seen', {instance: 'i-1', isDraining: false}),
		lineAt(4, 'g1', 'instance_suspect', {instance: 'i-1'}),
		lineAt(3, 'g2', 'instance_lost', {instance: 'i-1'}),
		lineAt(7, 'g1', 'source_lost', {part: 'instances'}),
		lineAt(2, 'g1', 'instance_seen', {instance: 'i-9'}),
		lineAt(5, 'g1', 'call_ended', {id: 'other', outcome: 'served'}),
		lineAt(12, 'g1', 'instance_gone', {instance: 'i-1'}),
	];
	for (const order of [lines, lines.toReversed()]) {
		const explainer = new RequestExplainer('r');
		for (const line of order) {
			explainer.add(line);
		}

		const {request, stateChanges} = explainer.explain();
		expect(request.map(({event}) => event)).to.deep.equal(['send_ended', 'call_ended']);
		expect(stateChanges.map(({event}) => event)).to.deep.equal(['instance_suspect', 'source_lost']);
	}
});

it('guards against a refusal whose cause is not shown: the reason for each instance that was passed over is printed, with what it had said before', () => {
	const explainer = new RequestExplainer('r');
	explainer.add(lineAt(1, 'g1', 'instance_leaving', {instance: 'i-1'}));
	explainer.add(lineAt(2, 'g1', 'instance_quiet', {instance: 'i-2', closedMs: 900}));
	explainer.add(lineAt(3, 'g1', 'instance_quiet', {instance: 'i-3', closedMs: 900}));
	explainer.add(lineAt(4, 'g1', 'no_place', {id: 'r', passedOver: [{instance: 'i-1', reason: 'leaving'}, {instance: 'i-2', reason: 'quiet', leftMs: 400}]}));
	const {request, stateChanges} = explainer.explain();
	expect(stateChanges.map(({event, instance}) => `${event} ${instance}`)).to.deep.equal(['instance_leaving i-1', 'instance_quiet i-2']);
	expect(formatLogLine(request[0]!)).to.include('{"instance":"i-2","reason":"quiet","leftMs":400}');
});

it('guards against a request whose configuration cannot be told: later events of the process do not hide which one it had taken', () => {
	const explainer = new RequestExplainer('r');
	explainer.add(lineAt(1, 'g1', 'configuration_taken', {version: 100}));
	explainer.add(lineAt(2, 'g1', 'directory_unconfirmed', {ageMs: 1500}));
	explainer.add(lineAt(3, 'g1', 'watch_started', {}));
	explainer.add(lineAt(4, 'g1', 'call_ended', {id: 'r', outcome: 'served'}));
	expect(explainer.explain().stateChanges.map(({event}) => event)).to.deep.equal(['configuration_taken', 'directory_unconfirmed', 'watch_started']);
});

it('guards against a pause of the gateway that is not shown beside the request that it delayed, and against old pauses that hide it', () => {
	const explainer = new RequestExplainer('r');
	explainer.add(lineAt(1, 'g1', 'event_loop_delayed', {delayMs: 300}));
	explainer.add(lineAt(20, 'g1', 'send_silent', {id: 'r', instance: 'i-1', stalledMs: 1200}));
	explainer.add(lineAt(21, 'g1', 'event_loop_delayed', {delayMs: 1200}));
	explainer.add(lineAt(21, 'g2', 'event_loop_delayed', {delayMs: 900}));
	explainer.add(lineAt(22, 'g1', 'call_ended', {id: 'r', outcome: 'served'}));
	explainer.add(lineAt(23, 'g1', 'process_paused', {gapMs: 2100}));
	explainer.add(lineAt(24, 'g1', 'lines_dropped', {dropped: 3}));
	expect(explainer.explain().stateChanges.map(({event, delayMs}) => [event, delayMs])).to.deep.equal([['event_loop_delayed', 1200], ['process_paused', undefined]]);
});

it('guards against logs that cannot be parsed: other text and truncated lines are ignored', () => {
	const whole = '  12.3 front-1 {"time":"t","vm":"front-1","event":"call_ended","id":"r"}';
	expect(parseLogLine(whole)?.id).to.equal('r');
	expect([parseLogLine('no json'), parseLogLine(whole.slice(0, -5)), parseLogLine('{"a":1}')]).to.deep.equal([undefined, undefined, undefined]);
	expect(new RequestExplainer('r').explain()).to.deep.equal({request: [], stateChanges: []});
});
