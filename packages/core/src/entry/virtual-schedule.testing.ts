type Scheduled = {
	readonly at: number;
	readonly order: number;
	readonly run: () => void;
};

/** Runs functions in virtual time. Functions with the same time run in the order in which they were scheduled. */
export class VirtualSchedule {
	static create(): VirtualSchedule {
		return new VirtualSchedule();
	}

	now = 0;
	private readonly _queue: Scheduled[] = [];
	private _order = 0;

	/** Time of the next scheduled function, if any. */
	get nextAt(): number | undefined {
		return this._next()?.at;
	}

	at(at: number, run: () => void): void {
		this._queue.push({at, order: this._order++, run});
	}

	/** Advances to the time of the next scheduled function and runs it. */
	runNext(): void {
		const next = this._next();
		if (next !== undefined) {
			this._queue.splice(this._queue.indexOf(next), 1);
			this.now = Math.max(this.now, next.at);
			next.run();
		}
	}

	private _next(): Scheduled | undefined {
		let next: Scheduled | undefined;
		for (const item of this._queue) {
			if (
				next === undefined ||
				item.at < next.at ||
				(item.at === next.at && item.order < next.order)
			) {
				next = item;
			}
		}

		return next;
	}
}
