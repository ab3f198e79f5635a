import {createServer, type Server, type ServerResponse} from 'node:http';
import {ListenerGuard} from '../intake/listener-guard.js';
import {maxToolConnections} from './constants.js';
import type {Endpoint} from './types.js';

/** A complete response with a text body. */
export type TextResponse = {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
};

/** HTTP server for the load balancer, peers and operators: one handler maps each path to a text. */
export class TextServer {
	static async listen(
		{host, port}: Endpoint,
		handle: (
			path: string,
			method: string,
		) => TextResponse | Promise<TextResponse>,
		maxConnections = maxToolConnections,
	): Promise<TextServer> {
		const server = createServer((req, res) => {
			void respond(handle(req.url ?? '/', req.method ?? 'GET'), res);
		});
		ListenerGuard.attach(server, maxConnections);
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, host, resolve);
		});
		return new TextServer(server);
	}

	private constructor(private readonly _server: Server) {}

	dispose(): void {
		this._server.close();
		this._server.closeAllConnections();
	}
}

async function respond(
	pending: TextResponse | Promise<TextResponse>,
	res: ServerResponse,
): Promise<void> {
	const {status, contentType, body} = await pending;
	res.writeHead(status, {'content-type': contentType});
	res.end(body);
}

export function plainText(status: number, body: string): TextResponse {
	return {status, contentType: 'text/plain', body};
}
