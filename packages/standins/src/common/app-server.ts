import type {Server} from 'node:http';
import process from 'node:process';
import fastify, {type FastifyInstance} from 'fastify';

const host = '127.0.0.1';
const bodyLimitBytes = 64 * 1024 * 1024;

/** A Fastify server on the loopback interface that can refuse connections for a time, like a crashed process. */
export class AppServer {
	/** Creates a server that passes bodies of every content type on as bytes. */
	static create(): AppServer {
		const app = fastify({
			logger: false,
			bodyLimit: bodyLimitBytes,
			forceCloseConnections: true,
		});
		app.removeAllContentTypeParsers();
		app.addContentTypeParser('*', {parseAs: 'buffer'}, (_req, body, done) => {
			done(null, body);
		});
		return new AppServer(app);
	}

	readonly app: FastifyInstance;
	private _port = 0;

	private constructor(app: FastifyInstance) {
		this.app = app;
	}

	get port(): number {
		return this._port;
	}

	/** Listens on the port, or on a free one if it is 0, and prints the address as one line of JSON. */
	async start(port: number): Promise<void> {
		await this.app.ready();
		await this._listen(port);
		process.stdout.write(
			`${JSON.stringify({listening: `${host}:${this._port}`})}\n`,
		);
	}

	/** Closes all connections but keeps accepting new ones. */
	dropConnections(): void {
		this._server.closeAllConnections();
	}

	/** Closes all connections and refuses new ones until `resume`. */
	suspend(): void {
		this._server.close();
		this._server.closeAllConnections();
	}

	/** Listens again on the same port after `suspend`. */
	async resume(): Promise<void> {
		await this._listen(this._port);
	}

	private get _server(): Server {
		return this.app.server;
	}

	private async _listen(port: number): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this._server.once('error', reject);
			this._server.listen(port, host, () => {
				this._server.off('error', reject);
				resolve();
			});
		});
		const address = this._server.address();
		if (address !== null && typeof address === 'object') {
			this._port = address.port;
		}
	}
}
