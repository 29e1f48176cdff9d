/** A sound message of each kind that processes send to each other, with the schema that receives it. */
import {Buffer} from 'node:buffer';
import type {ZodType} from 'zod';
import {
	agentLeavingMethod, agentReportMethod, agentReportParamsSchema, agentReportSchema,
} from '../../src/messages/agent-report.ts';
import {callRequestSchema, callsPath} from '../../src/messages/call-request.ts';
import {callsCancelMethod, callsCancelParamsSchema, callsCancelResultSchema} from '../../src/messages/calls-cancel.ts';
import {checkDatagramSchema, checkedDatagramSchema} from '../../src/messages/check-datagram.ts';
import {
	configDigestMethod, configGetMethod, configGetParamsSchema, configGetResultSchema, configOfferMethod, configOfferSchema,
} from '../../src/messages/config-sync.ts';
import {crashDatagramSchema} from '../../src/messages/crash-datagram.ts';
import {changingDatagramSchema, heldModelDatagramSchema} from '../../src/messages/engine-datagram.ts';
import {askDatagramSchema, countDatagramSchema, loadDatagramSchema} from '../../src/messages/load-datagram.ts';
import {membersGetMethod, membersGetParamsSchema, membersGetResultSchema} from '../../src/messages/member-sync.ts';
import {newsDatagramSchema} from '../../src/messages/news-datagram.ts';
import {noticeDatagramSchema} from '../../src/messages/notice-datagram.ts';
import {
	directoryGetMethod, directoryRevisionsSchema, manifestGetMethod, manifestGetParamsSchema, peersExchangeMethod, peersExchangeSchema,
} from '../../src/messages/peers-exchange.ts';
import {rolloutHaveMethod, rolloutHaveParamsSchema} from '../../src/messages/rollout-have.ts';
import {syncDatagramSchema, syncedDatagramSchema} from '../../src/messages/sync-datagram.ts';

const address = '127.0.0.1:8000';
const state = {
	configurationVersion: 3, lastInstanceChange: 40, era: 1, earlier: [[0, 150]],
};
const notice = {
	vm: 'v', bitmap: Buffer.from([255, 1]).toString('base64'), reading: '', imported: 100, uploaded: 0.5,
};
const exchange = {
	self: {
		vm: 'v', startedAtMs: 1, role: 'gateway', zone: 'z', region: 'r', address,
	},
	groupDigest: 'd',
	group: [{
		vm: 'w', startedAtMs: 2, role: 'stager', zone: 'z', region: 'r', address, service: 's',
	}],
	directory: state,
	versions: [{
		model: 'm', version: 2, minAgeMs: 5, maxAgeMs: 9.5,
	}],
	watchers: [['v', 12.5]],
};
const work = {
	kind: 'generate', model: 'm', version: 'v1', adapter: null, prompt: 'p', maxTokens: 5, resumeFrom: 0,
};
const ticket = {nonce: 'n', incarnation: 'i', expiresAtMs: 1e12};
const call = {
	attempt: 'a-1', requestId: 'r', workspace: 'w', service: 's', priority: 'normal', remainingMs: 900, agentDeadline: {incarnation: 'i', atMs: 5.5}, ticket, work,
};
const offer = {
	revision: 4, digest: 'd', vm: 'v', address, serviceAgeMs: 1.5, list: {digest: 'l', ageMs: 2},
};

/** The datagrams; the first element of each names its kind. */
export const datagramMessages: ReadonlyArray<{readonly schema: ZodType; readonly message: readonly unknown[]}> = [
	{schema: syncDatagramSchema, message: ['sync', exchange, 1]},
	{schema: syncedDatagramSchema, message: ['synced', exchange, 1]},
	{schema: countDatagramSchema, message: ['count', 'g', 7, [3, 900]]},
	{schema: askDatagramSchema, message: ['ask', 'g', 'i-1']},
	{schema: loadDatagramSchema, message: ['load', 'i-1', [3, 900.5]]},
	{schema: crashDatagramSchema, message: ['crash', [['c', 5, [['p1', 'p2']]]], [['p3', 1]], [['p4', ['p5'], 6, 2, -5]]]},
	{schema: noticeDatagramSchema, message: ['notice', 'd', notice, false]},
	{schema: newsDatagramSchema, message: ['news', address, state, exchange.versions]},
	{schema: checkDatagramSchema, message: ['check', address, state, 5]},
	{schema: checkedDatagramSchema, message: ['checked', address, state, {directoryMs: 5, outageMs: null}, 5]},
	{
		schema: heldModelDatagramSchema, message: ['held', address, 5, {
			model: 'm', version: 2, fromLayer: 0, toLayer: 16,
		}],
	},
	{schema: changingDatagramSchema, message: ['changing', address, 5]},
];

const vm = {
	vm: 'v', role: 'entry', state: 'live', zone: 'z', region: 'r', address, services: ['s'],
};
const report = {
	vm: 'v', incarnation: 'i', clockMs: 5.5, state: 'ready', service: 's', configRevision: 4,
	served: [{
		model: 'm', version: 'v1', manifest: 'd', adapters: ['a'],
	}],
	running: 1, queued: 0, capacity: 8, prefixes: ['p'],
};

/** The parameters of each method, and the other messages that are exchanged over connections. */
export const rpcMessages: ReadonlyArray<{readonly method: string; readonly schema: ZodType; readonly params: unknown}> = [
	{method: agentReportMethod, schema: agentReportParamsSchema, params: {address}},
	{method: agentLeavingMethod, schema: agentReportSchema, params: report},
	{method: callsPath, schema: callRequestSchema, params: call},
	{
		method: callsCancelMethod, schema: callsCancelParamsSchema, params: {
			attempt: 'a-1', workspace: 'w', ticket, abortRunning: true,
		},
	},
	{method: 'calls.cancel result', schema: callsCancelResultSchema, params: {state: 'finished', status: 200, body: {a: 1}}},
	{method: configOfferMethod, schema: configOfferSchema, params: offer},
	{method: configDigestMethod, schema: configOfferSchema, params: offer},
	{method: configGetMethod, schema: configGetParamsSchema, params: {after: 3, onlyFallbacks: true}},
	{
		method: 'config.get result', schema: configGetResultSchema, params: {
			revision: 4, digest: 'd', whole: false, entries: [{
				path: '/a', revision: 4, value: {a: [1]}, fallback: {revision: 3, value: null},
			}],
		},
	},
	{method: membersGetMethod, schema: membersGetParamsSchema, params: {have: 'd'}},
	{
		method: 'members.get result', schema: membersGetResultSchema, params: {
			digest: 'd', ageMs: 5, whole: true, changed: [vm], removed: ['w'],
		},
	},
	{method: directoryGetMethod, schema: directoryRevisionsSchema, params: {configurationVersion: 3, instancesRevision: 9}},
	{method: peersExchangeMethod, schema: peersExchangeSchema, params: exchange},
	{method: manifestGetMethod, schema: manifestGetParamsSchema, params: {model: 'm', version: 2, includesUnconfirmed: true}},
	{method: rolloutHaveMethod, schema: rolloutHaveParamsSchema, params: {manifest: 'd', notice}},
];

/** The frames of one answer, and one of another attempt, which is dropped. */
export const frames: readonly unknown[] = [
	{
		attempt: 'a-1', seq: 0, kind: 'head', version: 'v1',
	},
	{attempt: 'a-1', seq: 1, kind: 'progress'},
	{
		attempt: 'a-0', seq: 7, kind: 'failed', code: 'c', message: 'm',
	},
	{
		attempt: 'a-1', seq: 2, kind: 'tokens', version: 'v1', tokens: ['a', 'b', 'c'],
	},
	{
		attempt: 'a-1', seq: 3, kind: 'tokens', version: 'v1', tokens: ['d'],
	},
	{
		attempt: 'a-1', seq: 4, kind: 'end', tokens: 4,
	},
];
