import {createServer} from 'node:http';
import {text} from 'node:stream/consumers';

/** Interval of a server's check-ins, in milliseconds. */
const heartbeatMs = 1200;

/** Check-ins that are missed until the platform removes the entry of a server that crashed. */
const missedCheckIns = 3;

/** A server of a plain service. It registers itself in the store. */
export class Server {
	/**
	 * @param options.answer called for each request that the server begins to run; it answers or does something else
	 */
	static async start(options) {
		const server = new Server(options);
		await new Promise((resolve, reject) => {
			server._server.once('error', reject);
			server._server.listen(options.port, options.host, resolve);
		});
		server.register('ready');
		return server;
	}

	constructor(options) {
		this.id = options.id;
		this.hasCrashed = false;
		this._options = options;
		this._sockets = new Set();
		this._server = createServer(async (req, res) => this._handle(req, res));
		this._server.keepAliveTimeout = 60_000;
		this._server.on('connection', socket => {
			this._sockets.add(socket);
			socket.on('error', () => undefined);
			socket.once('close', () => {
				this._sockets.delete(socket);
			});
		});
	}

	register(state) {
		const {store, id, host, port, service, zone, slots = 6} = this._options;
		store.put('servers', id, {
			service,
			address: `${host}:${port}`,
			zone,
			version: 'v1',
			slots,
			state,
			coldLeftMs: 0,
			seq: 0,
			born: this._options.born,
		});
	}

	/**
	 * The server ends. Its entry is removed after the check-ins that it misses.
	 *
	 * @param how `reset`: the system resets its channels; `dark`: they go silent, and are reset if something is sent on them
	 */
	crash(how = 'reset') {
		if (this.hasCrashed) {
			return;
		}

		this.hasCrashed = true;
		this._server.close();
		for (const socket of this._sockets) {
			if (how === 'reset') {
				socket.resetAndDestroy();
			} else {
				socket.prependListener('data', () => {
					socket.resetAndDestroy();
				});
			}
		}

		this._expiry = setTimeout(() => {
			this._options.store.remove('servers', this.id);
		}, missedCheckIns * heartbeatMs);
	}

	dispose() {
		clearTimeout(this._expiry);
		this._server.close();
		this._server.closeAllConnections();
	}

	async _handle(req, res) {
		let body;
		try {
			body = await text(req);
		} catch {
			return;
		}

		const {headers, method, url} = req;
		const id = headers['balsamtray-attempt-id'];
		const expected = headers['balsamtray-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			res.writeHead(421, {'balsamtray-instance-id': this.id});
			res.end();
			return;
		}

		if (this.hasCrashed) {
			return;
		}

		this._options.answer({
			server: this,
			req,
			res,
			id,
			method,
			url,
			headers,
			body,
		});
	}
}

/** Answers a request with success. */
export function answerWith(res, id, body, headers = {}) {
	res.writeHead(200, {
		'balsamtray-attempt-id': id,
		'balsamtray-server-seal': `seal.${id}`,
		'content-length': body.length,
		...headers,
	});
	res.end(body);
}
