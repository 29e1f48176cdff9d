/** Prompt parts that crash upstreams: how a crash is told from a broken connection, and which calls are refused. */
import {expect} from 'chai';
import {createPromptPartId, type PromptPartId} from '../src/ids/prompt-part-id.ts';
import {type Crash, CrashDetector} from '../src/quarantine/crash-detector.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {testInstance} from './support/direct-fixtures.ts';

const part = (text: string): PromptPartId => createPromptPartId(text);

async function sleep(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

it('guards against taking a reset connection for a crash: an upstream that still accepts connections has not crashed, one that refuses them has, with the parts of all its calls', async () => {
	const crashes: Crash[] = [];
	const detector = new CrashDetector({
		acceptsConnections: async ({id}) => id === 'i-alive', onCrash: crash => crashes.push(crash), log: createSilentLogger(),
	});
	for (const [id, name] of [['i-alive', 'a'], ['i-dead', 'b'], ['i-dead', 'c']] as const) {
		detector.recordBroken(testInstance({id}), [part(name)]);
	}

	await sleep(30);
	detector.recordBroken(testInstance({id: 'i-dead'}), [part('late')]);
	await sleep(30);
	expect(crashes.map(({id, parts}) => ({id, parts}))).to.deep.equal([
		{id: 'i-dead@1', parts: ['b', 'c']}, {id: 'i-dead@1', parts: ['b', 'c', 'late']},
	]);
});
