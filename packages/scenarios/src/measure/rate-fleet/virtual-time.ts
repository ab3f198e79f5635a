type Scheduled = {
	readonly at: number;
	readonly order: number;
	readonly run: () => void;
};

/** Event queue that runs callbacks in the order of their virtual times, in milliseconds. */
export class VirtualTime {
	static create(): VirtualTime {
		return new VirtualTime();
	}

	private _now = 0;
	private _count = 0;
	/** Binary min-heap by time, then by order of scheduling. */
	private readonly _heap: Scheduled[] = [];

	private constructor() {
		// Instances come from `create`.
	}

	get now(): number {
		return this._now;
	}

	after(delayMs: number, run: () => void): void {
		this.at(this._now + delayMs, run);
	}

	at(time: number, run: () => void): void {
		const at = Math.max(time, this._now);
		this._heap.push({at, order: this._count++, run});
		this._siftUp(this._heap.length - 1);
	}

	/** Runs all callbacks that are due up to the given time, including those that they schedule. */
	runUntil(end: number): void {
		for (;;) {
			const next = this._heap[0];
			if (next === undefined || next.at > end) {
				break;
			}

			this._removeFirst();
			this._now = next.at;
			next.run();
		}

		this._now = end;
	}

	private _removeFirst(): void {
		const last = this._heap.pop();
		if (last !== undefined && this._heap.length > 0) {
			this._heap[0] = last;
			this._siftDown();
		}
	}

	private _siftUp(start: number): void {
		let i = start;
		while (i > 0) {
			const parent = Math.floor((i - 1) / 2);
			if (this._isBefore(parent, i)) {
				return;
			}

			this._swap(i, parent);
			i = parent;
		}
	}

	private _siftDown(): void {
		let i = 0;
		for (;;) {
			const left = 2 * i + 1;
			const right = left + 1;
			if (left >= this._heap.length) {
				return;
			}

			const child =
				right < this._heap.length && this._isBefore(right, left) ? right : left;
			if (this._isBefore(i, child)) {
				return;
			}

			this._swap(i, child);
			i = child;
		}
	}

	private _isBefore(i: number, j: number): boolean {
		const a = this._heap[i];
		const b = this._heap[j];
		if (a === undefined || b === undefined) {
			return true;
		}

		return a.at < b.at || (a.at === b.at && a.order < b.order);
	}

	private _swap(i: number, j: number): void {
		const a = this._heap[i];
		const b = this._heap[j];
		if (a !== undefined && b !== undefined) {
			this._heap[i] = b;
			this._heap[j] = a;
		}
	}
}
