import {expect} from 'chai';
import fc from 'fast-check';
import {BrokenAnswerError, FrameChecker} from '../src/calls/frame-checker.ts';
import type {CallFrame} from '../src/messages/call-frame.ts';
import {completeAnswer, generateCall} from './support/call-samples.ts';

const answers = fc.array(fc.array(fc.string({minLength: 1, maxLength: 2}), {minLength: 1, maxLength: 3}), {maxLength: 6});

type Fault = {readonly kind: string; readonly at: number};

/** Faults of a link or of mixed-up connections; the agent's sequence numbers stay unchanged. */
const linkFaults = fc.array(fc.record({kind: fc.constantFrom('drop', 'repeat', 'swap', 'foreign', 'version'), at: fc.nat(7)}), {maxLength: 3});

/** Faults of an agent before it numbers the frames. */
const agentFaults = fc.option(fc.record({kind: fc.constantFrom('loss', 'second-head', 'version'), at: fc.nat(7)}), {nil: undefined});

function applyFault(frames: CallFrame[], {kind, at}: Fault): CallFrame[] {
	const index = at % Math.max(1, frames.length);
	const frame = frames[index];
	if (!frame) {
		return frames;
	}

	const handlers: Record<string, () => CallFrame[]> = {
		drop: () => frames.toSpliced(index, 1),
		repeat: () => frames.toSpliced(index, 0, frame),
		swap: () => frames.toSpliced(index, 2, ...frames.slice(index, index + 2).toReversed()),
		foreign: () => frames.toSpliced(index, 0, {...frame, attempt: 'b'}),
		version: () => frames.with(index, 'version' in frame ? {...frame, version: 'v2'} : frame),
		loss: () => renumber(frames.toSpliced(index, 1)),
		'second-head': () => renumber(frames.toSpliced(index, 0, {
			attempt: 'a', seq: 0, kind: 'head', version: 'v2',
		})),
	};
	return handlers[kind]?.() ?? frames;
}

function renumber(frames: CallFrame[]): CallFrame[] {
	return frames.map((frame, seq) => ({...frame, seq}));
}

/** Returns the frames that the checker accepts as a complete answer, or undefined if it rejects the answer. */
function readCompleteAnswer(frames: readonly CallFrame[]): CallFrame[] | undefined {
	const checker = new FrameChecker(generateCall);
	const accepted: CallFrame[] = [];
	try {
		for (const frame of frames) {
			if (checker.accept(frame)) {
				accepted.push(frame);
			}

			if (checker.isComplete) {
				return accepted;
			}
		}
	} catch (err) {
		expect(err).to.be.instanceOf(BrokenAnswerError);
	}

	return undefined;
}

// Guards against accepting an answer as complete when its tokens were lost, repeated, reordered, of another attempt or of another
// version (H1, H2).
it('corrupted frames are never accepted as a different answer', () => {
	fc.assert(fc.property(answers, agentFaults, linkFaults, (tokenBatches, agentFault, appliedLinkFaults) => {
		let frames = completeAnswer(tokenBatches);
		for (const fault of agentFault ? [agentFault, ...appliedLinkFaults] : appliedLinkFaults) {
			frames = applyFault(frames, fault);
		}

		const accepted = readCompleteAnswer(frames);
		if (accepted) {
			expect(accepted).to.deep.equal(completeAnswer(tokenBatches));
		}
	}), {seed: 61, numRuns: 5000});
});

// Guards against a checker that is stricter than the protocol and rejects correct answers.
it('a complete answer is accepted', () => {
	fc.assert(fc.property(answers, tokenBatches => {
		expect(readCompleteAnswer(completeAnswer(tokenBatches))).to.deep.equal(completeAnswer(tokenBatches));
	}), {seed: 62, numRuns: 300});
});
