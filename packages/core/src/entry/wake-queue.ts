type Wake = {readonly at: number; readonly id: string};

/** Binary min-heap of the wake-up times of requests. Those of ended requests stay until they are due or compacted. */
export class WakeQueue {
	static create(): WakeQueue {
		return new WakeQueue();
	}

	private readonly _heap: Wake[] = [];

	get nextAt(): number | undefined {
		return this._heap[0]?.at;
	}

	add(at: number, id: string): void {
		this._heap.push({at, id});
		this._siftUp(this._heap.length - 1);
	}

	/** Removes and returns the request IDs that are due. */
	takeDue(now: number): readonly string[] {
		const due: string[] = [];
		while (this._heap.length > 0 && this._heap[0]!.at <= now) {
			due.push(this._popFirst());
		}

		return due;
	}

	/** Removes wake-ups of ended requests once the heap has at least 64 wake-ups and at least 4 per live request. */
	compact(isLive: (id: string) => boolean, liveCount: number): void {
		if (this._heap.length < 64 || this._heap.length < liveCount * 4) {
			return;
		}

		const kept = this._heap.filter(({id}) => isLive(id));
		kept.sort((a, b) => a.at - b.at);
		this._heap.splice(0, this._heap.length, ...kept);
	}

	private _popFirst(): string {
		const [first] = this._heap;
		const last = this._heap.pop()!;
		if (this._heap.length > 0) {
			this._heap[0] = last;
			this._siftDown(0);
		}

		return first!.id;
	}

	private _siftUp(start: number): void {
		let index = start;
		while (index > 0) {
			const parent = (index - 1) >> 1; // eslint-disable-line no-bitwise -- parent index in a binary heap
			if (this._heap[parent]!.at <= this._heap[index]!.at) {
				return;
			}

			this._swap(parent, index);
			index = parent;
		}
	}

	private _siftDown(start: number): void {
		let index = start;
		for (;;) {
			const left = 2 * index + 1;
			const right = left + 1;
			let least = index;
			if (left < this._heap.length && this._isBefore(left, least)) {
				least = left;
			}

			if (right < this._heap.length && this._isBefore(right, least)) {
				least = right;
			}

			if (least === index) {
				return;
			}

			this._swap(least, index);
			index = least;
		}
	}

	private _isBefore(a: number, b: number): boolean {
		return this._heap[a]!.at < this._heap[b]!.at;
	}

	private _swap(a: number, b: number): void {
		const swapped = this._heap[a]!;
		this._heap[a] = this._heap[b]!;
		this._heap[b] = swapped;
	}
}
