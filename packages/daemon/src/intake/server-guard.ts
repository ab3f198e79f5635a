import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {Readable} from 'node:stream';
import {headerFieldBytes, requestBytes, type Holding} from '@balsamtray/core';
import type {FastifyInstance, FastifyRequest} from 'fastify';
import {BodyBuffer} from './body-buffer.js';
import {hasBody} from './has-body.js';
import type {CallerConnection} from './caller-connection.js';
import type {CallerIntake} from './caller-intake.js';
import type {MemoryKeeper} from './caller-memory.js';
import {RequestMemory} from './request-memory.js';
import {
	memoryUsedUp,
	type ConnectionRequest,
	type IntakeRefusal,
} from './types.js';

/** Options of `ServerGuard`. */
export type ServerGuardOptions = {
	readonly intake: CallerIntake<GuardedRequest>;
	readonly clock: () => number;
	/** Response to a refused request: its headers and its body. */
	readonly response: (refusal: IntakeRefusal) => {
		readonly headers: Readonly<Record<string, string>>;
		readonly body: string;
	};
	/** Whether the body of a request is read. It is not if the request will be refused in any case. */
	readonly readsBody: (req: FastifyRequest) => boolean;
};

/** Status of a body that is larger than the limit of its route. */
const tooLargeStatus = 413;

/** Status for an `expect` header that names something else than `100-continue`. */
const expectationFailedStatus = 417;

/**
 * Bounds what a Fastify server keeps for its callers. Alone, the server keeps each chunk of a body as an object, begins all
 * requests in a row on a connection at once, and reads bodies of callers that it refuses.
 */
export class ServerGuard {
	/** Guards a server that does not listen yet. */
	static attach(app: FastifyInstance, options: ServerGuardOptions): void {
		const guard = new ServerGuard(options);
		guard._attach(app);
	}

	private readonly _requests = new WeakMap<IncomingMessage, GuardedRequest>();

	private constructor(private readonly _options: ServerGuardOptions) {}

	// False positive: `attach` calls this method.
	// eslint-disable-next-line @typescript-eslint/no-unused-private-class-members
	private _attach(app: FastifyInstance): void {
		const {intake, response} = this._options;
		const format = (refusal: IntakeRefusal) => {
			const {headers, body} = response(refusal);
			return formatResponse(refusal.status, headers, body);
		};

		const accept = (socket: Socket) => {
			intake.accept(socket, {format}, () => undefined);
		};

		// An HTTPS server parses what its TLS sockets decrypt.
		app.server.on(
			'setSecureContext' in app.server ? 'secureConnection' : 'connection',
			accept,
		);
		// Some requests are answered before the first hook.
		app.server.prependListener('request', (raw, res) => {
			this._onRequest(raw, res);
		});
		app.server.on('checkExpectation', (raw, res) => {
			this._onRequest(raw, res);
			this._requests.get(raw)?.end(expectationFailedStatus);
		});
		app.addHook('onRequest', async ({raw}) => {
			if (raw.headers.host === undefined && raw.httpVersion === '1.1') {
				this._requests.get(raw)?.announceClose();
				throw new IntakeError(400, 'host missing');
			}
		});
		app.addHook('preParsing', async (req, _reply, payload) =>
			hasBody(req.raw) ? this._readBody(req) : payload,
		);
	}

	private _onRequest(raw: IncomingMessage, res: ServerResponse): void {
		const {intake, clock, response} = this._options;
		const connection = intake.connectionOf(raw.socket);
		if (connection === undefined) {
			return;
		}

		connection.noteRequest(res, hasBody(raw));
		if (connection.isClosing || connection.isAnnounced) {
			raw.resume();
			return;
		}

		const request = GuardedRequest.create({
			intake,
			connection,
			res,
			response,
			now: clock(),
		});
		this._requests.set(raw, request);
		connection.add(res, request);
		res.once('close', () => {
			connection.remove(res);
			request.onClosed();
		});
		const fields = raw.rawHeaders.length / 2;
		const length = raw.rawHeaders.reduce((sum, text) => sum + text.length, 0);
		request.memory.noteHead(length + fields * headerFieldBytes);
		if (!hasBody(raw)) {
			request.onRead();
		}
	}

	/** Reads the body. Throws an error with the status of the refusal if it is too large or the memory is used up. */
	private async _readBody(req: FastifyRequest): Promise<BodyStream> {
		const {raw} = req;
		const request = this._requests.get(raw);
		const declaredBytes = Number(raw.headers['content-length'] ?? 0);
		if (request === undefined) {
			return BodyStream.create(new Uint8Array(0), declaredBytes);
		}

		if (!this._options.readsBody(req)) {
			request.announceClose();
			return BodyStream.create(new Uint8Array(0), declaredBytes);
		}

		const {memory} = this._options.intake;
		const maxBytes = req.routeOptions.bodyLimit ?? 0;
		if (declaredBytes > maxBytes) {
			request.announceClose();
			throw new IntakeError(tooLargeStatus, 'body too large');
		}

		const retryAfterMs = memory.refusedForMs(requestBytes + declaredBytes);
		if (retryAfterMs !== undefined) {
			request.refuse(memoryUsedUp(retryAfterMs));
			throw new IntakeError(503, 'memory used up');
		}

		return BodyStream.create(await request.readBody(raw, maxBytes));
	}
}

/** Options of `GuardedRequest`. */
type GuardedRequestOptions = {
	readonly intake: CallerIntake<GuardedRequest>;
	readonly connection: CallerConnection<GuardedRequest>;
	readonly res: ServerResponse;
	readonly response: ServerGuardOptions['response'];
	readonly now: number;
};

/** A request to a guarded server, until its response is written. */
export class GuardedRequest implements ConnectionRequest, MemoryKeeper {
	static create(options: GuardedRequestOptions): GuardedRequest {
		return new GuardedRequest(options);
	}

	readonly memory: RequestMemory;
	private _isReading = true;
	private _isRefused = false;

	private constructor(private readonly _options: GuardedRequestOptions) {
		this.memory = RequestMemory.create(_options.intake.memory, this);
	}

	get isReading(): boolean {
		return this._isReading && !this._isRefused;
	}

	get isEnded(): boolean {
		return this._isRefused || this._options.res.writableEnded;
	}

	/** A request that is read completely may run. Only what its caller leaves unread is given up after that. */
	keptFor(): Pick<Holding, 'stage' | 'since'> {
		const {now: since} = this._options;
		if (this.isReading) {
			return {stage: 'reading', since};
		}

		return {stage: this.isEnded ? 'unread' : 'running', since};
	}

	yieldMemory(retryAfterMs: number): void {
		if (this.isReading) {
			this.refuse(memoryUsedUp(retryAfterMs));
		} else {
			this._options.res.destroy();
		}
	}

	refuse(refusal: IntakeRefusal): void {
		const {res, response} = this._options;
		if (this._isRefused || res.headersSent) {
			return;
		}

		const {headers, body} = response(refusal);
		this.end(
			refusal.status,
			{'content-type': 'application/json; charset=utf-8', ...headers},
			body,
		);
	}

	/** Responds without a route, and closes the connection after that. */
	end(
		status: number,
		headers: Readonly<Record<string, string>> = {},
		body = '',
	): void {
		const {res} = this._options;
		this._isRefused = true;
		res.writeHead(status, {
			...headers,
			'content-length': Buffer.byteLength(body),
			connection: 'close',
		});
		this.announceClose();
		res.end(body);
	}

	/** The connection closes after the response, and no more of it is read. */
	announceClose(): void {
		const {connection, res} = this._options;
		connection.announceClose(this);
		if (!res.headersSent) {
			res.setHeader('connection', 'close');
		}
	}

	onRead(): void {
		const {intake, connection} = this._options;
		this._isReading = false;
		intake.noteWholeRequest(connection);
	}

	onClosed(): void {
		const {intake, connection} = this._options;
		if (!this._isReading) {
			intake.noteRequestEnd(connection);
		}

		this.memory.release();
	}

	/** Throws an `IntakeError` if the body is too large, the request was refused or its connection has closed. */
	async readBody(raw: IncomingMessage, maxBytes: number): Promise<Uint8Array> {
		const {connection} = this._options;
		const declaredBytes = Number(raw.headers['content-length'] ?? 0);
		return new Promise((resolve, reject) => {
			const body = BodyBuffer.create();
			let hasFailed = false;
			const fail = (status: number, reason: string) => {
				hasFailed = true;
				body.clear();
				this.memory.noteBody(0);
				reject(new IntakeError(status, reason));
			};

			raw.on('data', (chunk: Uint8Array) => {
				if (hasFailed) {
					return;
				}

				const bytes = body.bytes + chunk.length;
				connection.noteBody(declaredBytes - bytes);
				if (bytes > maxBytes) {
					this.announceClose();
					fail(tooLargeStatus, 'body too large');
					return;
				}

				const {keptBytes} = body;
				body.append(chunk);
				if (body.keptBytes !== keptBytes) {
					this.memory.noteBody(body.keptBytes);
				}

				if (this._isRefused) {
					fail(503, 'memory used up');
				}
			});
			connection.startBody();
			raw.once('end', () => {
				if (!hasFailed) {
					const whole = body.take();
					this.memory.noteBody(whole.length);
					this.onRead();
					resolve(whole);
				}
			});
			raw.once('close', () => {
				fail(400, 'connection closed');
			});
			raw.once('error', () => {
				fail(400, 'connection closed');
			});
		});
	}
}

/** Error with the status that Fastify responds with. */
export class IntakeError extends Error {
	constructor(
		readonly statusCode: number,
		message: string,
	) {
		super(message);
		this.name = 'IntakeError';
	}
}

/** A body that was read, as Fastify expects it from a hook. */
class BodyStream extends Readable {
	/** @param receivedBytes length that Fastify compares with the announced one */
	static create(body: Uint8Array, receivedBytes = body.length): BodyStream {
		return new BodyStream(body, receivedBytes);
	}

	private constructor(
		body: Uint8Array,
		readonly receivedEncodedLength: number,
	) {
		super();
		if (body.length > 0) {
			this.push(body);
		}

		this.push(null);
	}

	// All of it is pushed at once.
	override _read(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
}

function formatResponse(
	status: number,
	headers: Readonly<Record<string, string>>,
	body: string,
): string {
	return [
		`HTTP/1.1 ${status}`,
		...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
		'content-type: application/json; charset=utf-8',
		`content-length: ${Buffer.byteLength(body)}`,
		'connection: close',
		'',
		body,
	].join('\r\n');
}
