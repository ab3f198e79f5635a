/** Half-life with which a use loses weight, in milliseconds. */
const halfLifeMs = 20_000;

/** Adapter versions of which the uses are remembered. */
const rememberedCount = 1024;

type Uses = {
	readonly count: number;
	readonly at: number;
};

/** How often adapter versions were used of late, also those that are not resident at present. */
export class UseHistory {
	static create(lossHalfLifeMs = halfLifeMs): UseHistory {
		return new UseHistory(lossHalfLifeMs);
	}

	/** In order of last use. */
	private readonly _uses = new Map<string, Uses>();

	private constructor(private readonly _halfLifeMs: number) {}

	add(servedName: string, now: number): void {
		const count = this.recentUses(servedName, now) + 1;
		this._uses.delete(servedName);
		this._uses.set(servedName, {count, at: now});
		const [oldest] = this._uses.keys();
		if (this._uses.size > rememberedCount && oldest !== undefined) {
			this._uses.delete(oldest);
		}
	}

	/** Number of uses, those long ago counting less. */
	recentUses(servedName: string, now: number): number {
		const uses = this._uses.get(servedName);
		return uses ? uses.count * 0.5 ** ((now - uses.at) / this._halfLifeMs) : 0;
	}

	/** The most recent uses that one name has. */
	mostUses(now: number): number {
		let most = 0;
		for (const name of this._uses.keys()) {
			most = Math.max(most, this.recentUses(name, now));
		}

		return most;
	}
}
