/** Counts the occurrences of each key. */
export class KeyCounts {
	static create(): KeyCounts {
		return new KeyCounts();
	}

	private readonly _counts = new Map<string, number>();

	private constructor() {}

	count(key: string): number {
		return this._counts.get(key) ?? 0;
	}

	/** Adds one occurrence; an undefined key is ignored. */
	add(key: string | undefined): void {
		if (key !== undefined) {
			this._counts.set(key, this.count(key) + 1);
		}
	}

	remove(key: string | undefined): void {
		if (key === undefined) {
			return;
		}

		const remaining = this.count(key) - 1;
		if (remaining > 0) {
			this._counts.set(key, remaining);
		} else {
			this._counts.delete(key);
		}
	}
}
