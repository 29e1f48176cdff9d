import {expect} from 'chai';
import type {Branded} from '../src/runtime/branded.ts';

it('branded ids are plain strings at run time', () => {
	const id = 'vm-1' as Branded<string, 'VmId'>;
	expect(JSON.stringify({id})).to.equal('{"id":"vm-1"}');
});
