/**
 * What Node.js accepts in the messages that it writes. Its parser passes more than that, such as a space in the name of a header, so that
 * a message which is passed on has to be checked where it comes in. No I/O.
 */

/** Range of the final statuses of a response. */
const finalStatuses = {first: 200, last: 599};

const headerName = /^[\w!#$%&'*+\-.^`|~]+$/;

const headerValue = /^[\t\u0020-\u007E\u0080-\u00FF]*$/;

const requestTarget = /^[\u0021-\u00FF]+$/;

/** Returns whether a status may end an exchange: neither an interim status nor one of no known class. */
export function isFinalStatus(status: number): boolean {
	return status >= finalStatuses.first && status <= finalStatuses.last;
}

/**
 * Returns whether headers can be passed on.
 *
 * @param rawHeaders - alternating names and values
 */
export function areHeadersValid(rawHeaders: readonly string[]): boolean {
	return rawHeaders.every((text, at) => (at % 2 === 0 ? headerName : headerValue).test(text));
}

/** Returns whether a text can be the value of a header. */
export function isHeaderValue(text: string): boolean {
	return headerValue.test(text);
}

/** Returns whether a request can be sent on with this target. */
export function isTargetValid(target: string): boolean {
	return requestTarget.test(target);
}
