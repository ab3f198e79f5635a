/** Loads that the weight store begins in a second. */
const loadsPerSecond = 4;
/** Time of a load while the store is not crowded. */
const loadMs = 250;
/** Loads in flight beyond which each takes longer. */
const uncrowdedInFlight = 8;

/** Works out how long each load from the weight store takes. */
export class WeightPacer {
	static create(rate = loadsPerSecond): WeightPacer {
		return new WeightPacer(rate);
	}

	private readonly _gapMs: number;
	private _nextStartAt = 0;
	private _inFlight = 0;

	private constructor(rate: number) {
		this._gapMs = 1000 / rate;
	}

	/** Takes a load in and returns the milliseconds until it ends. */
	begin(now: number): number {
		this._inFlight++;
		const startAt = Math.max(now, this._nextStartAt);
		this._nextStartAt = startAt + this._gapMs;
		const crowding = Math.max(1, this._inFlight / uncrowdedInFlight);
		return startAt - now + loadMs * crowding;
	}

	end(): void {
		this._inFlight--;
	}
}
