import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import {z} from 'zod';
import type {BackendRecorder} from '../common/backend-recorder.js';
import {readJson, type FaultInjector} from '../common/fault-injector.js';
import type {BackendProcess} from '../common/backend-process.js';
import type {EngineFaults} from '../common/fault-schemas.js';
import {fetchWeights} from './adapter-loader.js';
import type {EngineSettings} from './engine-settings.js';
import type {Engine} from './engine.js';

const loadSchema = z.object({lora_name: z.string(), lora_path: z.string()});
const unloadSchema = z.object({lora_name: z.string()});

/** Dependencies of the adapter routes. */
export type AdapterRoutesOptions = {
	readonly engine: Engine;
	readonly process: BackendProcess;
	readonly settings: EngineSettings;
	readonly faults: FaultInjector<EngineFaults>;
	readonly recorder: BackendRecorder;
};

/** Serves the routes that load and unload adapters. */
export class AdapterRoutes {
	static create(options: AdapterRoutesOptions): AdapterRoutes {
		return new AdapterRoutes(options);
	}

	private readonly _options: AdapterRoutesOptions;
	private _highestFencingToken = 0;

	private constructor(options: AdapterRoutesOptions) {
		this._options = options;
	}

	register(app: FastifyInstance): void {
		app.post('/v1/load_lora_adapter', async (req, res) => this._load(req, res));
		app.post('/v1/unload_lora_adapter', (req, res) => this._unload(req, res));
	}

	private async _load(
		req: FastifyRequest,
		res: FastifyReply,
	): Promise<FastifyReply> {
		if (this._isFenced(req)) {
			return sendError(res, 412, 'stale fencing token');
		}

		const {engine, process, settings, faults, recorder} = this._options;
		const {bootId} = process;
		const {lora_name: name, lora_path: weights} = loadSchema.parse(
			readJson(req.body),
		);
		const reserved = engine.slots.reserve(name, weights);
		if (reserved === 'full') {
			recorder.count('failedLoads');
			return sendError(res, 409, 'no free adapter slot');
		}

		if (reserved === 'alreadyLoaded') {
			return sendError(res, 400, `${name} is already loaded`);
		}

		const fetched = await fetchWeights(settings, faults, weights);
		if (bootId !== process.bootId) {
			return sendError(res, 500, 'the engine restarted during the load');
		}

		if (fetched !== 'fetched') {
			engine.slots.free(name);
			recorder.count('failedLoads');
			return fetched === 'missing'
				? sendError(res, 404, 'weights not found')
				: sendError(res, 500, 'the adapter load failed');
		}

		engine.slots.completeLoad(name);
		recorder.count('loads');
		return res.send({loaded: name});
	}

	private _unload(req: FastifyRequest, res: FastifyReply): FastifyReply {
		if (this._isFenced(req)) {
			return sendError(res, 412, 'stale fencing token');
		}

		const {lora_name: name} = unloadSchema.parse(readJson(req.body));
		return this._options.engine.unload(name)
			? res.send({unloaded: name})
			: sendError(res, 404, `${name} is not loaded`);
	}

	/** Whether the fencing token is older than one received before. Requests without a numeric token pass. */
	private _isFenced(req: FastifyRequest): boolean {
		const {settings, recorder} = this._options;
		const fencingToken = Number(req.headers['x-fencing-token'] ?? Number.NaN);
		if (!settings.checksFencing || Number.isNaN(fencingToken)) {
			return false;
		}

		if (fencingToken < this._highestFencingToken) {
			recorder.count('fencedOrders');
			return true;
		}

		this._highestFencingToken = fencingToken;
		return false;
	}
}

/** Sends an error in the format of the OpenAI-compatible completion API. */
export function sendError(
	res: FastifyReply,
	status: number,
	message: string,
): FastifyReply {
	return res.code(status).send({error: {message, code: status}});
}
