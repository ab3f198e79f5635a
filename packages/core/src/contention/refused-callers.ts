import {maxRefusedCallers, refusedCallerLifetimeMs} from './constants.js';

type Refusal = {
	/** Time at which the caller first asked. */
	readonly since: number;
	/** Time up to which its return is expected. */
	readonly until: number;
	/** Number of callers that were refused and have not returned. */
	readonly callers: number;
};

/**
 * Callers that were refused with `Retry-After`, by what they asked for. Their next attempts have new headers, so all that
 * tells them apart is that the same customer asks for the same adapter within the time.
 */
export class RefusedCallers {
	static create(): RefusedCallers {
		return new RefusedCallers();
	}

	/** The newest refusal comes last. */
	private readonly _refusals = new Map<string, Refusal>();

	private constructor() {}

	get size(): number {
		return this._refusals.size;
	}

	/** @param since time at which the caller first asked */
	note(key: string, since: number, retryAfterMs: number, now: number): void {
		const known = this._known(key, now);
		this._refusals.delete(key);
		this._refusals.set(key, {
			since: Math.min(since, known?.since ?? since),
			until: Math.max(
				now + retryAfterMs + refusedCallerLifetimeMs,
				known?.until ?? 0,
			),
			callers: (known?.callers ?? 0) + 1,
		});
		for (const oldest of this._refusals.keys()) {
			if (this._refusals.size <= maxRefusedCallers) {
				return;
			}

			this._refusals.delete(oldest);
		}
	}

	/** Counts a request as one of the refused callers that returns. Returns when it first asked; undefined if none is known. */
	take(key: string, now: number): number | undefined {
		const known = this._known(key, now);
		if (known === undefined || known.callers === 1) {
			this._refusals.delete(key);
		} else {
			this._refusals.set(key, {...known, callers: known.callers - 1});
		}

		return known?.since;
	}

	private _known(key: string, now: number): Refusal | undefined {
		const known = this._refusals.get(key);
		return known !== undefined && now <= known.until ? known : undefined;
	}
}
