import {setTimeout as sleep} from 'node:timers/promises';
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import type {z} from 'zod';
import type {FaultSwitches} from './fault-schemas.js';

const controlPaths: ReadonlySet<string> = new Set([
	'/faults',
	'/record',
	'/control',
]);

/** Holds a stand-in's fault switches and applies the common ones to all requests except on the control paths. */
export class FaultInjector<T extends FaultSwitches = FaultSwitches> {
	static create<T extends FaultSwitches>(
		schema: z.ZodType<T>,
		random: () => number = Math.random,
	): FaultInjector<T> {
		return new FaultInjector<T>(schema, random);
	}

	private _switches: T;
	private readonly _schema: z.ZodType<T>;
	private readonly _remainingCounts = new Map<string, number>();
	private readonly _random: () => number;
	private _frozenWaiters: Array<() => void> = [];

	private constructor(schema: z.ZodType<T>, random: () => number) {
		this._schema = schema;
		this._switches = schema.parse({});
		this._random = random;
	}

	get switches(): T {
		return this._switches;
	}

	/** Replaces all switches and resets the counted faults to their new numbers. */
	set(switches: T): void {
		this._switches = switches;
		this._remainingCounts.clear();
		for (const [name, value] of Object.entries(switches)) {
			if (typeof value === 'number') {
				this._remainingCounts.set(name, value);
			}
		}

		if (!switches.isFrozen) {
			const waiters = this._frozenWaiters;
			this._frozenWaiters = [];
			for (const resume of waiters) {
				resume();
			}
		}
	}

	/** Consumes one occurrence of a counted fault. Returns false if none remains. */
	consume(name: keyof T & string): boolean {
		const remaining = this._remainingCounts.get(name) ?? 0;
		if (remaining < 1) {
			return false;
		}

		this._remainingCounts.set(name, remaining - 1);
		return true;
	}

	/** Serves the switches at `/faults` and applies them to all requests except those on the control paths. */
	register(app: FastifyInstance): void {
		app.get('/faults', () => this._switches);
		app.put('/faults', req => {
			this.set(this._schema.parse(readJson(req.body)));
			return this._switches;
		});
		app.addHook('onRequest', async (req, res) => this._onRequest(req, res));
		app.addHook('onSend', async (req, res) => this._onSend(req, res));
	}

	/** Resolves immediately, or if the stand-in is frozen, when the `isFrozen` switch is turned off. */
	async waitWhileFrozen(): Promise<void> {
		if (!this._switches.isFrozen) {
			return;
		}

		await new Promise<void>(resolve => {
			this._frozenWaiters.push(resolve);
		});
	}

	/** Decides at random whether to inject a fault that has this probability. */
	private _shouldInject(probability: number): boolean {
		return probability > 0 && this._random() < probability;
	}

	private async _onRequest(
		req: FastifyRequest,
		res: FastifyReply,
	): Promise<unknown> {
		if (isControlRequest(req)) {
			return undefined;
		}

		await this.waitWhileFrozen();
		const {delayMs = 0, errorShare = 0, isDown, isCut} = this._switches;
		if (delayMs > 0) {
			await sleep(delayMs);
		}

		if (isCut) {
			res.hijack();
			req.raw.destroy();
			return res;
		}

		if (isDown === true || this._shouldInject(errorShare)) {
			return res.code(503).send({error: 'unavailable'});
		}

		return undefined;
	}

	private async _onSend(req: FastifyRequest, res: FastifyReply): Promise<void> {
		if (
			isControlRequest(req) ||
			req.method === 'GET' ||
			res.statusCode >= 500
		) {
			return;
		}

		const {loseAnswerShare = 0} = this._switches;
		const isNextLost = this.consume('loseNextAnswers');
		if (isNextLost || this._shouldInject(loseAnswerShare)) {
			res.hijack();
			req.raw.socket.destroy();
		}
	}
}

/** Returns a JSON body, parsed if it arrived as bytes. Throws a SyntaxError if the bytes are not valid JSON. */
export function readJson(body: unknown): unknown {
	return body instanceof Uint8Array
		? JSON.parse(new TextDecoder().decode(body))
		: body;
}

function isControlRequest(req: FastifyRequest): boolean {
	return controlPaths.has(req.url);
}
