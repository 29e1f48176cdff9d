/** The number of a question for the load, in the name by which a gateway asks for an instance: stagers of all versions repeat the name in the answer. */

const separator = '#';

/** The base in which the number is written, since each question carries it. */
const radix = 36;

/**
 * Returns the name for one question.
 *
 * @param id - the instance ID
 * @param question - the number of the question, an integer
 */
export function numberInstance(id: string, question: number): string {
	return `${id}${separator}${question.toString(radix)}`;
}

/**
 * Returns the instance ID and the number of the question that an answer names. An answer without a number counts as one to the last question.
 *
 * @param name - the name in the answer
 */
export function splitNumbered(name: string): readonly [id: string, question: number] {
	const at = name.lastIndexOf(separator);
	return at === -1 ? [name, Number.POSITIVE_INFINITY] : [name.slice(0, at), Number.parseInt(name.slice(at + 1), radix)];
}
