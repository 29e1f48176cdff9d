/** JSON-RPC 2.0 server over `POST /rpc`. */
import {JSONRPCServer} from 'json-rpc-2.0';
import type {ZodType} from 'zod';
import {type HttpHandler, sendJson} from './http-listener.ts';
import {readBody} from './read-body.ts';

/** Path of the JSON-RPC endpoint. */
export const rpcPath = '/rpc';

/** Dispatches JSON-RPC requests to methods and validates their parameters. */
export class RpcDispatcher {
	private readonly server = new JSONRPCServer({
		errorListener() {
		// Not logged here: the error is returned to the peer, which logs it with the method and its own context.
		},
	});

	/**
	 * Registers a method.
	 *
	 * @param schema - validates the parameters; invalid ones are answered with a JSON-RPC error
	 * @param handler - returns the result
	 */
	method<Params>(name: string, schema: ZodType<Params>, handler: (params: Params) => unknown): void {
		this.server.addMethod(name, async (params: unknown) => handler(schema.parse(params)));
	}

	/** HTTP handler of the endpoint at {@link rpcPath}. */
	readonly handle: HttpHandler = async (req, res) => {
		const response = await this.server.receiveJSON(await readBody(req));
		if (response === null) {
			res.writeHead(204).end();
			return;
		}

		sendJson(res, 200, response);
	};
}
