/** How often each key is present. */
export class KeyCounts {
	static create(): KeyCounts {
		return new KeyCounts();
	}

	private readonly _counts = new Map<string, number>();

	private constructor() {}

	count(key: string): number {
		return this._counts.get(key) ?? 0;
	}

	/** A request without a key counts nowhere. */
	add(key: string | undefined): void {
		if (key !== undefined) {
			this._counts.set(key, this.count(key) + 1);
		}
	}

	remove(key: string | undefined): void {
		if (key === undefined) {
			return;
		}

		const left = this.count(key) - 1;
		if (left > 0) {
			this._counts.set(key, left);
		} else {
			this._counts.delete(key);
		}
	}
}
