/** Number of loads that the weight store starts per second. */
const loadsPerSecond = 4;
/** Duration of a load while the store is not congested, in milliseconds. */
const loadMs = 250;
/** Number of loads in flight above which each load takes longer. */
const maxInFlightAtFullSpeed = 8;

/** Simulates the throughput of the weight store: starts loads at a limited rate and slows them under congestion. */
export class WeightPacer {
	static create(rate = loadsPerSecond): WeightPacer {
		return new WeightPacer(rate);
	}

	private readonly _intervalMs: number;
	private _nextStartAt = 0;
	private _inFlight = 0;

	private constructor(rate: number) {
		this._intervalMs = 1000 / rate;
	}

	/** Registers a load and returns the time until it completes, in milliseconds. */
	begin(now: number): number {
		this._inFlight++;
		const startAt = Math.max(now, this._nextStartAt);
		this._nextStartAt = startAt + this._intervalMs;
		const slowdown = Math.max(1, this._inFlight / maxInFlightAtFullSpeed);
		return startAt - now + loadMs * slowdown;
	}

	end(): void {
		this._inFlight--;
	}
}
