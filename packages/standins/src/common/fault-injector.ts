import {setTimeout as sleep} from 'node:timers/promises';
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import type {z} from 'zod';
import type {FaultSwitches} from './fault-schemas.js';

const controlPaths: ReadonlySet<string> = new Set([
	'/faults',
	'/record',
	'/control',
]);

/** Holds a stand-in's fault switches and applies the common ones to each call. */
export class FaultGate<T extends FaultSwitches = FaultSwitches> {
	static create<T extends FaultSwitches>(
		schema: z.ZodType<T>,
		random: () => number = Math.random,
	): FaultGate<T> {
		return new FaultGate<T>(schema, random);
	}

	private _switches: T;
	private readonly _schema: z.ZodType<T>;
	private readonly _counts = new Map<string, number>();
	private readonly _random: () => number;
	private _onThawed: Array<() => void> = [];

	private constructor(schema: z.ZodType<T>, random: () => number) {
		this._schema = schema;
		this._switches = schema.parse({});
		this._random = random;
	}

	get switches(): T {
		return this._switches;
	}

	set(switches: T): void {
		this._switches = switches;
		this._counts.clear();
		for (const [name, value] of Object.entries(switches)) {
			if (typeof value === 'number') {
				this._counts.set(name, value);
			}
		}

		if (!switches.isFrozen) {
			const waiting = this._onThawed;
			this._onThawed = [];
			for (const wake of waiting) {
				wake();
			}
		}
	}

	/** Uses up one occurrence of a counted fault. Returns whether it is due. */
	take(name: keyof T & string): boolean {
		const left = this._counts.get(name) ?? 0;
		if (left < 1) {
			return false;
		}

		this._counts.set(name, left - 1);
		return true;
	}

	/** Serves the switches and applies them to every other call. */
	register(app: FastifyInstance): void {
		app.get('/faults', () => this._switches);
		app.put('/faults', req => {
			this.set(this._schema.parse(readJson(req.body)));
			return this._switches;
		});
		app.addHook('onRequest', async (req, res) => this._beforeCall(req, res));
		app.addHook('onSend', async (req, res) => this._beforeAnswer(req, res));
	}

	/** Resolves at once unless the stand-in is frozen, else when it thaws. */
	async thawed(): Promise<void> {
		if (!this._switches.isFrozen) {
			return;
		}

		await new Promise<void>(resolve => {
			this._onThawed.push(resolve);
		});
	}

	/** Draws whether a fault with this share is due. */
	private _isDue(share: number): boolean {
		return share > 0 && this._random() < share;
	}

	private async _beforeCall(
		req: FastifyRequest,
		res: FastifyReply,
	): Promise<unknown> {
		if (isControl(req)) {
			return undefined;
		}

		await this.thawed();
		const {delayMs = 0, errorShare = 0, isDown, isCut} = this._switches;
		if (delayMs > 0) {
			await sleep(delayMs);
		}

		if (isCut) {
			res.hijack();
			req.raw.destroy();
			return res;
		}

		if (isDown === true || this._isDue(errorShare)) {
			return res.code(503).send({error: 'unavailable'});
		}

		return undefined;
	}

	private async _beforeAnswer(
		req: FastifyRequest,
		res: FastifyReply,
	): Promise<void> {
		if (isControl(req) || req.method === 'GET' || res.statusCode >= 500) {
			return;
		}

		const {loseAnswerShare = 0} = this._switches;
		const isNextLost = this.take('loseNextAnswers');
		if (isNextLost || this._isDue(loseAnswerShare)) {
			res.hijack();
			req.raw.socket.destroy();
		}
	}
}

/** Reads a JSON body that arrived as bytes or was parsed already. */
export function readJson(body: unknown): unknown {
	return body instanceof Uint8Array
		? JSON.parse(new TextDecoder().decode(body))
		: body;
}

function isControl(req: FastifyRequest): boolean {
	return controlPaths.has(req.url);
}
