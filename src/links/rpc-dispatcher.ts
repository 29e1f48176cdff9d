/** The server side of JSON-RPC 2.0 over `POST /rpc`. */
import {JSONRPCServer} from 'json-rpc-2.0';
import type {ZodType} from 'zod';
import {type HttpHandler, readBody, sendJson} from './http-listener.ts';

/** The path of the JSON-RPC endpoint. */
export const rpcPath = '/rpc';

/** Answers JSON-RPC requests with methods whose parameters are checked against a schema. */
export class RpcDispatcher {
	private readonly server = new JSONRPCServer({
		errorListener() {
		// The error goes back to the peer, which logs it with the method and its own context.
		},
	});

	/**
	 * Adds a method.
	 *
	 * @param name - the method's name
	 * @param schema - checks the parameters; a mismatch answers with a JSON-RPC error
	 * @param handler - computes the result
	 */
	method<Params>(name: string, schema: ZodType<Params>, handler: (params: Params) => unknown): void {
		this.server.addMethod(name, async (params: unknown) => handler(schema.parse(params)));
	}

	/** The handler to mount at {@link rpcPath}. */
	readonly handle: HttpHandler = async (req, res) => {
		const answer = await this.server.receiveJSON(await readBody(req));
		if (answer === null) {
			res.writeHead(204).end();
			return;
		}

		sendJson(res, 200, answer);
	};
}
