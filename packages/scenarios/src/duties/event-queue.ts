type Event = {
	readonly at: number;
	readonly order: number;
	readonly run: () => void;
};

/** Runs callbacks in the order of their virtual times, in milliseconds. A binary heap, as the times are far apart. */
export class EventQueue {
	static create(): EventQueue {
		return new EventQueue();
	}

	private readonly _heap: Event[] = [];
	private _now = 0;
	private _count = 0;

	private constructor() {
		// Instances come from `create`.
	}

	get now(): number {
		return this._now;
	}

	after(delayMs: number, run: () => void): void {
		const event = {
			at: this._now + Math.max(0, delayMs),
			order: this._count++,
			run,
		};
		const heap = this._heap;
		let index = heap.length;
		heap.push(event);
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(event, heap[parent]!)) {
				break;
			}

			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = event;
	}

	/** Runs all callbacks that are due until a time, and goes on to it. */
	runUntil(end: number): void {
		for (;;) {
			const first = this._heap[0];
			if (first === undefined || first.at > end) {
				break;
			}

			this._removeFirst();
			this._now = first.at;
			first.run();
		}

		this._now = end;
	}

	private _removeFirst(): void {
		const heap = this._heap;
		const last = heap.pop()!;
		if (heap.length === 0) {
			return;
		}

		let index = 0;
		for (;;) {
			let child = 2 * index + 1;
			const right = heap[child + 1];
			if (right !== undefined && isBefore(right, heap[child]!)) {
				child++;
			}

			const next = heap[child];
			if (next === undefined || !isBefore(next, last)) {
				break;
			}

			heap[index] = next;
			index = child;
		}

		heap[index] = last;
	}
}

function isBefore(a: Event, b: Event): boolean {
	return a.at < b.at || (a.at === b.at && a.order < b.order);
}
