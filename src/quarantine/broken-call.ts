/**
 * A call that a crash broke off, as gateways tell each other of it: the list of its shared prompt parts.
 *
 * A long list is told in pieces that begin with a marker, the same for all pieces of a call, since a datagram has room for a few parts only.
 * No ID that a caller chooses has the form of a marker, because IDs end at a colon on the wire.
 */
import {digestOf} from '../ids/digest.ts';
import {createPromptPartId, type PromptPartId} from '../ids/prompt-part-id.ts';

/** Maximum number of IDs in one list of a message, with the marker. */
export const maxListedParts = 16;

const markerPrefix = 'call:';

/** Number of characters of the digest in a marker. */
const markerDigestLength = 16;

/** A broken call, or a piece of one. */
export type BrokenCall = {
	/** The same for all pieces of a call, and for calls with the same parts. */
	readonly key: string;
	readonly parts: readonly PromptPartId[];
};

/** Reads a list: all parts of a call, or a piece of them. */
export function readBrokenCall(list: readonly PromptPartId[]): BrokenCall {
	const [first] = list;
	if (first?.startsWith(markerPrefix)) {
		return {key: first, parts: list.slice(1)};
	}

	return {key: list.length > maxListedParts ? createMarker(list) : list.join(' '), parts: list};
}

/** Returns the lists that tell of a call, each short enough for a message. */
export function listBrokenCall({key, parts}: BrokenCall): PromptPartId[][] {
	if (!key.startsWith(markerPrefix)) {
		return [[...parts]];
	}

	const marker = createPromptPartId(key);
	const size = maxListedParts - 1;
	return Array.from({length: Math.ceil(parts.length / size)}, (_, at) => [marker, ...parts.slice(at * size, (at + 1) * size)]);
}

function createMarker(parts: readonly PromptPartId[]): PromptPartId {
	return createPromptPartId(`${markerPrefix}${digestOf(parts.join(' ')).slice(0, markerDigestLength)}`);
}
