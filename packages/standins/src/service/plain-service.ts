import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import type {FastifyReply, FastifyRequest} from 'fastify';
import type {BackendProcess} from '../common/backend-process.js';
import type {BackendRecorder} from '../common/backend-recorder.js';
import type {FaultInjector} from '../common/fault-injector.js';
import {bodyTextOf, requestIdOf} from '../common/request-parts.js';
import type {ServiceFaults} from '../common/fault-schemas.js';

/** Settings and dependencies of a plain service. */
export type PlainServiceOptions = {
	readonly name: string;
	/** Time that each request takes, in milliseconds. */
	readonly serviceMs: number;
	readonly process: BackendProcess;
	readonly faults: FaultInjector<ServiceFaults>;
	readonly recorder: BackendRecorder;
};

/** Simulates a plain service: each request takes a fixed time, and its response echoes the request. */
export class PlainService {
	static create(options: PlainServiceOptions): PlainService {
		return new PlainService(options);
	}

	private readonly _options: PlainServiceOptions;
	private _running = 0;
	private _lastRequestId: string | undefined;

	private constructor(options: PlainServiceOptions) {
		this._options = options;
	}

	get running(): number {
		return this._running;
	}

	reset(): void {
		this._running = 0;
	}

	async call(req: FastifyRequest, res: FastifyReply): Promise<FastifyReply> {
		const {name, serviceMs, process, faults, recorder} = this._options;
		const text = bodyTextOf(req);
		const requestId = requestIdOf(req);
		const {bootId} = process;
		this._running++;
		recorder.checkForKeys(req.url, req.headers, text);
		recorder.recordStart(
			{requestId, servedName: req.url, bootId},
			text,
			this._running,
		);
		const {crashMarker} = faults.switches;
		if (crashMarker !== undefined && text.includes(crashMarker)) {
			process.crash();
		}

		await sleep(serviceMs);
		await faults.waitWhileFrozen();
		if (bootId !== process.bootId) {
			res.hijack();
			res.raw.destroy();
			return res;
		}

		this._running--;
		recorder.count('completed');
		return this._respond(res, requestId, {
			service: name,
			method: req.method,
			path: req.url,
			requestId,
			received: text,
		});
	}

	private _respond(
		res: FastifyReply,
		requestId: string,
		response: Readonly<Record<string, string>>,
	): FastifyReply {
		const {faults} = this._options;
		const responseId = faults.consume('lateAnswers')
			? (this._lastRequestId ?? 'earlier')
			: requestId;
		this._lastRequestId = requestId;
		const body = JSON.stringify(response);
		if (faults.consume('cutAnswers')) {
			res.hijack();
			res.raw.writeHead(200, {
				'content-type': 'application/json',
				'content-length': Buffer.byteLength(body),
				'x-request-id': responseId,
			});
			res.raw.write(body.slice(0, body.length / 2), () => {
				res.raw.destroy();
			});
			return res;
		}

		return res
			.header('x-request-id', responseId)
			.type('application/json')
			.send(body);
	}
}
