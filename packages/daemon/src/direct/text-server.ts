import {createServer, type Server, type ServerResponse} from 'node:http';
import type {Endpoint} from './types.js';

/** What a small server answers. */
export type TextAnswer = {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
};

/** Answers questions of the balancer, of peers or of operators by path. */
export class TextServer {
	static async listen(
		{host, port}: Endpoint,
		answer: (path: string) => TextAnswer | Promise<TextAnswer>,
	): Promise<TextServer> {
		const server = createServer((req, res) => {
			void write(answer(req.url ?? '/'), res);
		});
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

async function write(
	pending: TextAnswer | Promise<TextAnswer>,
	res: ServerResponse,
): Promise<void> {
	const {status, contentType, body} = await pending;
	res.writeHead(status, {'content-type': contentType});
	res.end(body);
}
