import {
	demandDecayMs,
	maxTrackedDemands,
	minDemandRequests,
} from './constants.js';

type Demand = {
	readonly requests: number;
	readonly tokens: number;
	readonly at: number;
};

/** Demand of one entry for each adapter, by decaying counts of its requests and their prompt tokens. */
export class AdapterDemand {
	static create(): AdapterDemand {
		return new AdapterDemand();
	}

	/** Demands by adapter key, the least recently requested first. */
	private readonly _demands = new Map<string, Demand>();

	private constructor() {}

	/** Number of adapters whose demand is counted. */
	get size(): number {
		return this._demands.size;
	}

	/** @param key `adapterKey` of the adapter that a request is sent for */
	note(key: string, promptTokens: number, now: number): void {
		const {requests, tokens} = this._demandAt(key, now);
		this._demands.delete(key);
		this._demands.set(key, {
			requests: requests + 1,
			tokens: tokens + promptTokens,
			at: now,
		});
		for (const oldest of this._demands.keys()) {
			if (this._demands.size <= maxTrackedDemands) {
				return;
			}

			this._demands.delete(oldest);
		}
	}

	/** Prompt tokens per millisecond that this entry sends for the adapter; 0 while it had too few requests to tell. */
	tokensPerMs(key: string, now: number): number {
		const {requests, tokens} = this._demandAt(key, now);
		return requests < minDemandRequests ? 0 : tokens / demandDecayMs;
	}

	private _demandAt(key: string, now: number): Omit<Demand, 'at'> {
		const demand = this._demands.get(key);
		if (demand === undefined) {
			return {requests: 0, tokens: 0};
		}

		const rest = Math.exp((demand.at - now) / demandDecayMs);
		return {requests: demand.requests * rest, tokens: demand.tokens * rest};
	}
}
