/** Runs callbacks in the order of their virtual times, in whole milliseconds. */
export class VirtualClock {
	static create(): VirtualClock {
		return new VirtualClock();
	}

	private readonly _due = new Map<number, Array<() => void>>();
	private _now = 0;

	private constructor() {
		// Instances come from `create`.
	}

	get now(): number {
		return this._now;
	}

	/** Schedules the function after the delay, which is rounded to at least one millisecond. */
	after(delayMs: number, call: () => void): void {
		const at = this._now + Math.max(1, Math.round(delayMs));
		const calls = this._due.get(at);
		if (calls) {
			calls.push(call);
		} else {
			this._due.set(at, [call]);
		}
	}

	/** Advances time and runs all callbacks that become due. */
	advance(durationMs: number): void {
		const end = this._now + durationMs;
		while (this._now < end) {
			this._now++;
			const calls = this._due.get(this._now) ?? [];
			this._due.delete(this._now);
			for (const call of calls) {
				call();
			}
		}
	}
}
