/** Default half-life of the counts, in milliseconds. */
const defaultHalfLifeMs = 20_000;

/** Maximum number of names to keep. The one with the oldest last event is dropped first. */
const maxNames = 1024;

type Count = {
	readonly count: number;
	readonly at: number;
};

/** Exponentially decaying event counts by name, such as uses of adapter versions or loads for customers. */
export class DecayingCounts {
	static create(halfLifeMs = defaultHalfLifeMs): DecayingCounts {
		return new DecayingCounts(halfLifeMs);
	}

	/** In the order of the last event, oldest first. */
	private readonly _counts = new Map<string, Count>();

	private constructor(private readonly _halfLifeMs: number) {}

	add(name: string, now: number): void {
		const count = this.recent(name, now) + 1;
		this._counts.delete(name);
		this._counts.set(name, {count, at: now});
		const [oldest] = this._counts.keys();
		if (this._counts.size > maxNames && oldest !== undefined) {
			this._counts.delete(oldest);
		}
	}

	/** Returns the decayed number of events of a name. */
	recent(name: string, now: number): number {
		const known = this._counts.get(name);
		return known
			? known.count * 0.5 ** ((now - known.at) / this._halfLifeMs)
			: 0;
	}

	/** Returns the largest decayed count of any name. */
	largest(now: number): number {
		let largest = 0;
		for (const name of this._counts.keys()) {
			largest = Math.max(largest, this.recent(name, now));
		}

		return largest;
	}
}
