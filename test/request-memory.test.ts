/** What requests may make a listener keep: their heads, parsed bodies, places behind other requests, and responses that are not read. */
import {expect} from 'chai';
import {BodyBudget, smallBodyBytes} from '../src/limits/body-budget.ts';
import {takeHead} from '../src/limits/grow-body.ts';
import {estimateHeadBytes} from '../src/limits/head-memory.ts';
import {IncompleteBodies} from '../src/limits/incomplete-bodies.ts';

const manyFields = Array.from({length: 1600}, (_, at) => [at.toString(36).padStart(2, '0'), 'ab']).flat();
const fewFields = ['host', 'a.example', 'attempt-id', 'id-1', 'api-key', 'k1'];

it('guards against large heads that take the room of ordinary ones: while they have used up theirs, ordinary requests get room', () => {
	const heads = new BodyBudget({large: 1_000_000, small: 1_000_000});
	const incomplete = new IncompleteBodies();
	const large = Array.from({length: 10}, () => takeHead(heads, incomplete, estimateHeadBytes(manyFields)));
	expect(large.filter(Boolean).length).to.equal(4);
	expect(takeHead(heads, incomplete, estimateHeadBytes(fewFields))).not.to.equal(undefined);
});

it('guards against heads whose room is held by bodies that do not end: the slowest such body ends for the next request', () => {
	const heads = new BodyBudget({large: 300_000, small: smallBodyBytes});
	const incomplete = new IncompleteBodies();
	const first = takeHead(heads, incomplete, estimateHeadBytes(manyFields))!;
	const ended: string[] = [];
	incomplete.add(reason => {
		ended.push(reason);
		first.release();
	}, performance.now() - 1000).isHeadLarge = true;
	expect(takeHead(heads, incomplete, estimateHeadBytes(manyFields))).not.to.equal(undefined);
	expect(ended).to.deep.equal(['room_needed']);
});
