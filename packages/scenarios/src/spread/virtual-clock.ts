/** Events of virtual time in the order of their times, whole milliseconds. */
export class VirtualClock {
	static create(): VirtualClock {
		return new VirtualClock();
	}

	private readonly _due = new Map<number, Array<() => void>>();
	private _now = 0;

	private constructor() {
		// Made by `create` only.
	}

	get now(): number {
		return this._now;
	}

	/** Calls the function after the time, at least one millisecond from now. */
	after(delayMs: number, call: () => void): void {
		const at = this._now + Math.max(1, Math.round(delayMs));
		const calls = this._due.get(at);
		if (calls) {
			calls.push(call);
		} else {
			this._due.set(at, [call]);
		}
	}

	/** Lets time pass. */
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
