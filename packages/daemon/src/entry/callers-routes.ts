import {randomUUID} from 'node:crypto';
import {
	refuseNotRun,
	type ConfigView,
	type Credential,
	type Refusal,
	type RefusalCode,
	type RequestedWork,
} from '@balsamtray/core';
import type {
	FastifyError,
	FastifyInstance,
	FastifyReply,
	FastifyRequest,
} from 'fastify';
import {IntakeError} from '../intake/server-guard.js';
import {CallerResponse} from './caller-response.js';
import {requestTimeoutMs} from './constants.js';
import type {EntryTask} from './entry-task.js';
import {errorResponse} from './error-body.js';
import {containsKey} from './contains-key.js';
import {listModels} from './list-models.js';
import {parseModelCall, type ModelCallKind} from './parse-model-call.js';
import {
	forwardableHeader,
	isForwardablePath,
	keyTextOf,
	readHeaders,
} from './request-headers.js';
import type {EntryTaskOptions} from './types.js';

/** Dependencies of the callers' HTTP routes. */
export type CallersRoutesOptions = Pick<
	EntryTaskOptions,
	'hostId' | 'config' | 'checkKey' | 'telemetry'
> & {readonly entry: EntryTask};

type ServiceCall = {readonly Params: {readonly route: string}};

/** Methods that are forwarded to plain services. */
const serviceMethods = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'];

const allMethods = [...serviceMethods, 'OPTIONS'];

/** HTTP routes for callers: OpenAI-compatible calls, plain services, and health checks for load balancers. */
export class CallersRoutes {
	static create(options: CallersRoutesOptions): CallersRoutes {
		return new CallersRoutes(options);
	}

	private constructor(private readonly _options: CallersRoutesOptions) {}

	/** Whether the body of a request is read. It is not if the request is refused whatever it holds. */
	readsBody(req: FastifyRequest): boolean {
		const {entry, config} = this._options;
		if (!entry.isServing) {
			return false;
		}

		const credential = this._credentialOf(req);
		return credential.kind === 'none'
			? isOpen(req.raw.url ?? '', config.view())
			: credential.kind === 'key';
	}

	register(app: FastifyInstance): void {
		app.server.requestTimeout = requestTimeoutMs;
		this._setUpParsing(app);
		this._setUpErrors(app);
		this._route(app, 'GET', '/livez', async (_req, reply) =>
			reply.send({status: 'ok'}),
		);
		this._route(app, 'GET', '/readyz', async (_req, reply) =>
			this._sendReadiness(reply),
		);
		this._route(app, 'GET', '/v1/models', async (req, reply) =>
			this._sendModels(req, reply),
		);
		this._route(app, 'POST', '/v1/chat/completions', async (req, reply) =>
			this._submitModelCall('chat', req, reply),
		);
		this._route(app, 'POST', '/v1/completions', async (req, reply) =>
			this._submitModelCall('completion', req, reply),
		);
		for (const url of ['/services/:route', '/services/:route/*']) {
			app.route<ServiceCall>({
				method: serviceMethods,
				url,
				exposeHeadRoute: false,
				handler: async (req, reply) => this._submitServiceCall(req, reply),
			});
			app.options(url, async (req, reply) =>
				this._refuse(
					req,
					reply.header('allow', serviceMethods.join(', ')),
					'method_not_allowed',
				),
			);
		}
	}

	/** Keeps bodies as bytes, because those of plain services are forwarded unchanged. */
	private _setUpParsing(app: FastifyInstance): void {
		app.removeAllContentTypeParsers();
		app.addContentTypeParser('*', {parseAs: 'buffer'}, (_req, body, done) => {
			done(null, body);
		});
	}

	private _setUpErrors(app: FastifyInstance): void {
		app.setNotFoundHandler(async (req, reply) =>
			this._refuse(req, reply, 'unknown_route'),
		);
		app.setErrorHandler<FastifyError>(async (err, req, reply) => {
			const status = err.statusCode ?? 500;
			if (err instanceof IntakeError && status === 503) {
				return this._refuse(req, reply, 'overloaded');
			}

			if (status === 413) {
				return this._refuse(req, reply, 'body_too_large');
			}

			if (status < 500) {
				return this._refuse(req, reply, 'invalid_request');
			}

			this._options.telemetry.logger.error('entry.request_failed', {
				message: err.message,
			});
			return this._refuse(req, reply, 'shutting_down', 'Internal error.');
		});
	}

	/** Serves one method of a path and refuses the others with `method_not_allowed`. */
	private _route(
		app: FastifyInstance,
		method: 'GET' | 'POST',
		url: string,
		handler: (req: FastifyRequest, reply: FastifyReply) => Promise<unknown>,
	): void {
		app.route({method, url, handler, exposeHeadRoute: false});
		app.route({
			method: allMethods.filter(other => other !== method),
			url,
			exposeHeadRoute: false,
			handler: async (req, reply) =>
				this._refuse(req, reply.header('allow', method), 'method_not_allowed'),
		});
	}

	private async _sendReadiness(reply: FastifyReply): Promise<unknown> {
		return this._options.entry.isReady
			? reply.send({status: 'ready'})
			: reply.code(503).send({status: 'not ready'});
	}

	private async _sendModels(
		req: FastifyRequest,
		reply: FastifyReply,
	): Promise<unknown> {
		const {config} = this._options;
		if (!config.isReady()) {
			return this._refuse(req, reply, 'configuration_unavailable');
		}

		const credential = this._credentialOf(req);
		return credential.kind === 'key'
			? reply.send({
					object: 'list',
					data: listModels(config.view(), credential.customer),
				})
			: this._refuse(req, reply, 'unauthorized');
	}

	private async _submitModelCall(
		kind: ModelCallKind,
		req: FastifyRequest,
		reply: FastifyReply,
	): Promise<unknown> {
		if (this._options.entry.isServing && !this.readsBody(req)) {
			return this._refuse(req, reply, 'unauthorized');
		}

		const result = parseModelCall(kind, bodyOf(req));
		if (result.kind === 'malformed') {
			return this._refuse(req, reply, 'invalid_request', result.message);
		}

		const {work, body, isStreamed} = result.call;
		const path = kind === 'chat' ? '/v1/chat/completions' : '/v1/completions';
		const forwarded = {path, contentType: 'application/json'};
		return this._submit(req, reply, {work, body, isStreamed, forwarded});
	}

	private async _submitServiceCall(
		req: FastifyRequest<ServiceCall>,
		reply: FastifyReply,
	): Promise<unknown> {
		const {route} = req.params;
		const path = servicePathOf(req.raw.url ?? '');
		if (!isForwardablePath(path)) {
			return this._refuse(
				req,
				reply,
				'invalid_request',
				'The path is too long or holds characters that it must not hold.',
			);
		}

		const contentType = forwardableHeader(req.headers['content-type']);
		const accept = forwardableHeader(req.headers.accept);
		return this._submit(req, reply, {
			work: {kind: 'service', route},
			body: bodyOf(req),
			isStreamed: true,
			forwarded: {
				path,
				...(contentType === undefined ? {} : {contentType}),
				...(accept === undefined ? {} : {accept}),
			},
		});
	}

	private async _submit(
		req: FastifyRequest,
		reply: FastifyReply,
		{work, body, isStreamed, forwarded}: ParsedCall,
	): Promise<unknown> {
		if (!this._options.entry.isServing) {
			return this._refuse(req, reply, 'configuration_unavailable');
		}

		const headers = readHeaders(req.headers);
		if (headers.kind === 'malformed') {
			return this._refuse(req, reply, 'invalid_request', headers.message);
		}

		const {path, contentType, accept} = forwarded;
		const {idempotencyKey} = headers.headers;
		const texts = [path, req.raw.url, contentType, accept, idempotencyKey];
		if (containsKey({body, texts}, keyTextOf(req.headers))) {
			return this._refuse(
				req,
				reply,
				'invalid_request',
				'A key may stand in the Authorization header only.',
			);
		}

		const requestId = randomUUID();
		reply.hijack();
		this._options.entry.submit({
			requestId,
			credential: this._credentialOf(req),
			work,
			body,
			isStreamed,
			call: {method: req.method, ...forwarded},
			response: CallerResponse.create(reply.raw, requestId),
			...headers.headers,
		});
		return reply;
	}

	private _credentialOf(req: FastifyRequest): Credential {
		const {checkKey, config} = this._options;
		return checkKey(config.view(), keyTextOf(req.headers));
	}

	/** Refuses a request that was not submitted to the entry task. */
	private async _refuse(
		req: FastifyRequest,
		reply: FastifyReply,
		code: RefusalCode,
		message?: string,
	): Promise<unknown> {
		const refusal: Refusal = refuseNotRun(code, {
			step: code === 'unauthorized' ? 'authorize' : 'accept',
			peer: this._options.hostId,
			...(message === undefined ? {} : {message}),
			...(retryableCodes.has(code)
				? {retryAfterMs: earlyRefusalRetryAfterMs}
				: {}),
		});
		this._options.entry.countOutcome(code);
		this._options.telemetry.metrics.increment('entry.refused', {
			code,
			step: refusal.step,
		});
		const {status, headers, body} = errorResponse(refusal, randomUUID());
		return reply.code(status).headers(headers).send(body);
	}
}

type ParsedCall = {
	readonly work: RequestedWork;
	readonly body: Uint8Array;
	readonly isStreamed: boolean;
	readonly forwarded: {
		readonly path: string;
		readonly contentType?: string;
		readonly accept?: string;
	};
};

/** `Retry-After` of retryable refusals that are sent before a request is submitted. */
const earlyRefusalRetryAfterMs = 1000;

const retryableCodes: ReadonlySet<RefusalCode> = new Set([
	'configuration_unavailable',
	'shutting_down',
]);

function bodyOf(req: FastifyRequest): Uint8Array {
	return req.body instanceof Uint8Array ? req.body : new Uint8Array();
}

/** Whether a call without a key may be allowed: that of an open route. The route of a model call is named in its body. */
function isOpen(url: string, view: ConfigView): boolean {
	const name = /^\/services\/(?<name>[^\/?]+)/v.exec(url)?.groups?.name;
	if (name !== undefined) {
		return view.route(name)?.openCustomer !== undefined;
	}

	return [...view.routes()].some(
		({target, openCustomer}) =>
			target.kind === 'adapter' && openCustomer !== undefined,
	);
}

/** Path and query that the service receives: the part after `/services/{route}`. */
function servicePathOf(url: string): string {
	const rest = url.replace(/^\/services\/[^\/?]*/v, '');
	return rest.startsWith('/') ? rest : `/${rest}`;
}
