/** Subset of undici without fetch, WebSocket and caches, which would take 8 MB per process. */

import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import sendRequest from 'undici/lib/api/api-request.js';
import {getGlobalDispatcher} from 'undici/lib/global.js';

Dispatcher.prototype.request = sendRequest;

/** Sends a request as undici's `request` does. Takes the path from the URL and does not support the `path` option. */
export function request(url, options = {}) {
	const {origin, pathname, search} = new URL(url);
	const dispatcher = options.dispatcher ?? getGlobalDispatcher();
	return sendRequest.call(dispatcher, {
		...options, origin, path: `${pathname}${search}`, method: options.method ?? (options.body ? 'PUT' : 'GET'),
	});
}

export {default as Agent} from 'undici/lib/dispatcher/agent.js';
export {default as DecoratorHandler} from 'undici/lib/handler/decorator-handler.js';
export {default as Dispatcher} from 'undici/lib/dispatcher/dispatcher.js';
export {default as buildConnector} from 'undici/lib/core/connect.js';
