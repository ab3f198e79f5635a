import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import type {BackendProcess} from '../common/backend-process.js';
import type {BackendRecorder} from '../common/backend-recorder.js';
import type {FaultInjector} from '../common/fault-injector.js';
import {bodyTextOf, requestIdOf} from '../common/request-parts.js';
import type {EngineFaults} from '../common/fault-schemas.js';
import {sendError} from './adapter-routes.js';
import {CompletionWriter} from './completion-writer.js';
import {parseCompletion} from './completion-request.js';
import type {Engine} from './engine.js';

/** Dependencies of the completion routes. */
export type CompletionRoutesOptions = {
	readonly engine: Engine;
	readonly process: BackendProcess;
	readonly faults: FaultInjector<EngineFaults>;
	readonly recorder: BackendRecorder;
	readonly baseModel: string;
};

/** Serves the completion routes and the list of models. */
export class CompletionRoutes {
	static create(options: CompletionRoutesOptions): CompletionRoutes {
		return new CompletionRoutes(options);
	}

	private readonly _options: CompletionRoutesOptions;

	private constructor(options: CompletionRoutesOptions) {
		this._options = options;
	}

	register(app: FastifyInstance): void {
		app.post('/v1/chat/completions', (req, res) =>
			this._complete('chat', req, res),
		);
		app.post('/v1/completions', (req, res) => this._complete('text', req, res));
		app.get('/v1/models', () => ({
			object: 'list',
			data: this._models().map(id => ({id, object: 'model'})),
		}));
	}

	private _models(): readonly string[] {
		return [this._options.baseModel, ...this._options.engine.slots.loaded()];
	}

	private _complete(
		kind: 'chat' | 'text',
		req: FastifyRequest,
		res: FastifyReply,
	): FastifyReply {
		const {engine, process, faults, recorder, baseModel} = this._options;
		const text = bodyTextOf(req);
		recorder.checkForKeys(req.url, req.headers, text);
		const request = parseCompletion(kind, text);
		if (request === undefined) {
			return sendError(res, 400, 'malformed request');
		}

		const {servedName, prompt} = request;
		const weights =
			servedName === baseModel ? baseModel : engine.slots.weightsOf(servedName);
		if (weights === undefined) {
			return sendError(res, 404, `${servedName} is not loaded`);
		}

		res.hijack();
		const identity = {requestId: requestIdOf(req), servedName, weights, prompt};
		const writer = CompletionWriter.create(request, res.raw, faults);
		const cancel = engine.begin({
			bootId: process.bootId,
			request,
			identity,
			bodyText: text,
			sink: writer,
		});
		res.raw.once('close', cancel);
		const {crashMarker} = faults.switches;
		if (crashMarker !== undefined && text.includes(crashMarker)) {
			process.crash();
		}

		return res;
	}
}
