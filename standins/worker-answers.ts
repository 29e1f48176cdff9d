/** The answers of `fault-worker.ts`, which are made of the attempt ID. */

/** Returns the text of one event of a stream. */
export function eventText(id: string, event: number, version: number): string {
	return `id: ${event}\ndata: ${id} ${event} v${version}\n\n`;
}

/** Returns the text of a plain answer. */
export function plainText(id: string, bytes: number): string {
	return `${id}:${'x'.repeat(bytes)}`;
}
