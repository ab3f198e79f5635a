/** Half-life with which what was counted loses weight unless told otherwise, in milliseconds. */
const usualHalfLifeMs = 20_000;

/** Names of which the counts are remembered. */
const rememberedCount = 1024;

type Count = {
	readonly count: number;
	readonly at: number;
};

/** How often something happened to each name of late: uses of adapter versions, loads for customers. */
export class DecayingCounts {
	static create(halfLifeMs = usualHalfLifeMs): DecayingCounts {
		return new DecayingCounts(halfLifeMs);
	}

	/** In the order of the last event. */
	private readonly _counts = new Map<string, Count>();

	private constructor(private readonly _halfLifeMs: number) {}

	add(name: string, now: number): void {
		const count = this.recent(name, now) + 1;
		this._counts.delete(name);
		this._counts.set(name, {count, at: now});
		const [oldest] = this._counts.keys();
		if (this._counts.size > rememberedCount && oldest !== undefined) {
			this._counts.delete(oldest);
		}
	}

	/** Number of events, those long ago counting less. */
	recent(name: string, now: number): number {
		const known = this._counts.get(name);
		return known
			? known.count * 0.5 ** ((now - known.at) / this._halfLifeMs)
			: 0;
	}

	/** The most recent events that one name has. */
	most(now: number): number {
		let most = 0;
		for (const name of this._counts.keys()) {
			most = Math.max(most, this.recent(name, now));
		}

		return most;
	}
}
