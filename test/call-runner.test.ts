/** The outcome that an entry reports when it finds no target for a call. */
import {expect} from 'chai';
import type {AttemptClient} from '../src/calls/attempt-client.ts';
import {CallRunner} from '../src/calls/call-runner.ts';
import type {CallerError} from '../src/calls/caller-error.ts';
import type {CallerRequest} from '../src/calls/caller-request.ts';
import {createRequestId} from '../src/ids/request-id.ts';
import {createWorkspaceId} from '../src/ids/workspace-id.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import type {UpstreamRouter} from '../src/routing/upstream-router.ts';

async function outcomeWithoutTarget(idempotent: boolean, remainingMs: number): Promise<string> {
	const caller: CallerRequest = {
		requestId: createRequestId('r1'), workspace: createWorkspaceId('desk'), routeName: 'booking', route: {service: 'booking'},
		priority: 'normal', deadlineAtMs: performance.now() + remainingMs, ticket: undefined,
	};
	const runner = new CallRunner({
		attempts: {} as unknown as AttemptClient, router: {} as unknown as UpstreamRouter, log: createSilentLogger(), upstreamWaitMs: 30,
	});
	try {
		await runner.run({
			caller,
			idempotent,
			chooseTarget: () => undefined,
			createCall() {
				throw new Error('no call is created without a target');
			},
			onFrame: () => undefined,
			hasSent: () => false,
			callerGone: new AbortController().signal,
		});
	} catch (err) {
		return (err as CallerError).outcome;
	}

	return 'no error';
}

// Guards against "not run" for a ticket whose earlier call ran through another entry, when this entry has no time left or does not know
// the home agent.
it('with no time left or no known home agent, a call with a ticket is unknown and a repeatable call is not run', async () => {
	for (const remainingMs of [-1, 1000]) {
		expect(await outcomeWithoutTarget(false, remainingMs)).to.equal('unknown');
		expect(await outcomeWithoutTarget(true, remainingMs)).to.equal('not_run');
	}
});
