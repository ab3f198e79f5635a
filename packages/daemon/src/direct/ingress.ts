import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {CallerLimits} from '@balsamtray/core';
import type {CallContext} from './call-context.js';
import {ProxiedCall} from './proxied-call.js';
import type {Endpoint} from './types.js';

/** Bytes of a request's head that are read. Smaller limits of the configuration are checked on the head. */
const maxHeadBytes = 64 * 1024;

/** Time between two looks for requests that take too long to arrive, in milliseconds. */
const timeoutCheckMs = 500;

/** Limits until a configuration is known. */
const startLimits: CallerLimits = {
	maxHeaderBytes: 16 * 1024,
	maxBodyBytes: 1024 * 1024,
	headerTimeoutMs: 5000,
	idleTimeoutMs: 15_000,
};

/** Takes callers' connections and reads their requests, within the configuration's limits. */
export class Ingress {
	static create(context: CallContext): Ingress {
		return new Ingress(context);
	}

	private readonly _server: Server;
	private readonly _sockets = new Map<Socket, number>();
	/** Connections that this side has closed: a request that crossed the close can't be answered and must not run. */
	private readonly _closing = new WeakSet<Socket>();
	private _limits = startLimits;
	private _running = 0;

	private constructor(private readonly _context: CallContext) {
		this._server = createServer(
			{
				maxHeaderSize: maxHeadBytes,
				connectionsCheckingInterval: timeoutCheckMs,
				noDelay: true,
			},
			(req, res) => {
				void this._onRequest(req, res);
			},
		);
		this._server.on('connection', socket => {
			this._sockets.set(socket, 0);
			socket.once('close', () => {
				this._sockets.delete(socket);
			});
		});
		this.setLimits(startLimits);
	}

	/** Requests that have not ended. */
	get running(): number {
		return this._running;
	}

	/** Connections that are open to this side. Callers may keep theirs half open after this side has closed. */
	get connections(): number {
		return [...this._sockets.keys()].filter(
			socket => !this._closing.has(socket),
		).length;
	}

	async listen({host, port}: Endpoint): Promise<void> {
		return new Promise((resolve, reject) => {
			this._server.once('error', reject);
			this._server.listen(port, host, 1024, resolve);
		});
	}

	setLimits(limits: CallerLimits): void {
		this._limits = limits;
		this._server.headersTimeout = limits.headerTimeoutMs;
		this._server.requestTimeout = limits.headerTimeoutMs + limits.idleTimeoutMs;
		this._server.keepAliveTimeout = limits.idleTimeoutMs;
	}

	/** Takes no more connections. Those that are there go on. */
	stopListening(): void {
		if (this._server.listening) {
			this._server.close();
		}
	}

	/** Closes the connections that no request uses. */
	closeIdle(): void {
		for (const [socket, running] of this._sockets) {
			if (running === 0 && !this._closing.has(socket)) {
				this._closing.add(socket);
				socket.end();
			}
		}
	}

	dispose(): void {
		this._server.close();
		this._server.closeAllConnections();
	}

	private async _onRequest(
		req: IncomingMessage,
		res: ServerResponse,
	): Promise<void> {
		const {clock, codec} = this._context;
		const {socket} = req;
		if (this._closing.has(socket)) {
			socket.destroy();
			return;
		}

		this._running++;
		this._sockets.set(socket, (this._sockets.get(socket) ?? 0) + 1);
		res.once('close', () => {
			this._running--;
			const running = (this._sockets.get(socket) ?? 1) - 1;
			if (this._sockets.has(socket)) {
				this._sockets.set(socket, running);
			}
		});
		const facts = codec.decodeCall(req.headers);
		const call = ProxiedCall.create(this._context, {
			req,
			res,
			facts: facts ?? unknownCall,
			arrivedAt: clock(),
		});
		if (facts === undefined) {
			call.refuse({status: 400, reason: 'malformed', isNotRun: true});
			return;
		}

		if (headBytesOf(req) > this._limits.maxHeaderBytes) {
			call.refuse({status: 431, reason: 'headTooLarge', isNotRun: true});
			return;
		}

		if (!call.admit()) {
			return;
		}

		const body = await readBody(req, this._limits.maxBodyBytes);
		if (body === 'tooLarge') {
			call.refuse({status: 413, reason: 'bodyTooLarge', isNotRun: true});
		} else if (body !== undefined) {
			await call.run(body);
		}
	}
}

const unknownCall = {
	callId: undefined,
	host: '',
	deadlineMs: undefined,
	key: undefined,
	model: undefined,
	adapter: undefined,
	promptTokens: undefined,
	tokens: undefined,
	session: undefined,
	lastEventId: undefined,
};

function headBytesOf(req: IncomingMessage): number {
	// Each header line has a colon, a space and a line end beside its name and value.
	return req.rawHeaders.reduce(
		(sum, text) => sum + text.length + 2,
		(req.url?.length ?? 0) + (req.method?.length ?? 0),
	);
}

/** Reads a whole body; undefined where the caller left before its end. */
async function readBody(
	req: IncomingMessage,
	maxBytes: number,
): Promise<Uint8Array | 'tooLarge' | undefined> {
	const announced = Number(req.headers['content-length'] ?? 0);
	if (announced > maxBytes) {
		return 'tooLarge';
	}

	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		let bytes = 0;
		req.on('data', (chunk: Uint8Array) => {
			bytes += chunk.length;
			if (bytes > maxBytes) {
				chunks.length = 0;
				resolve('tooLarge');
			} else {
				chunks.push(chunk);
			}
		});
		req.once('end', () => {
			resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
		});
		req.once('close', () => {
			resolve(undefined);
		});
		req.once('error', () => {
			resolve(undefined);
		});
	});
}
