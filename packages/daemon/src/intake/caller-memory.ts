import {KeptMemory, type Holding} from '@balsamtray/core';

/** A request or connection for which memory is kept. */
export type MemoryKeeper = {
	readonly keptFor: () => Pick<Holding, 'stage' | 'since'>;
	/** Ends it, since the memory for callers is used up. */
	readonly yieldMemory: (retryAfterMs: number) => void;
};

/** Options of `CallerMemory`. */
export type CallerMemoryOptions = {
	readonly clock: () => number;
	readonly maxBytes: () => number;
};

/** Memory that a process keeps for all its callers. Ends the requests and connections that have to yield. */
export class CallerMemory {
	static create(options: CallerMemoryOptions): CallerMemory {
		return new CallerMemory(options);
	}

	private readonly _kept: KeptMemory<MemoryKeeper>;
	private _isYielding = false;

	private constructor(private readonly _options: CallerMemoryOptions) {
		this._kept = KeptMemory.create({
			maxBytes: _options.maxBytes,
			now: _options.clock(),
			stateOf: keeper => keeper.keptFor(),
		});
	}

	get bytes(): number {
		return this._kept.bytes;
	}

	/** Sets what is kept for a keeper, in bytes. It may have to yield in this call. */
	set(keeper: MemoryKeeper, bytes: number): void {
		const isOver = this._kept.set(keeper, bytes);
		// A keeper that yields has to be told only once. The next call sees whether that was enough.
		if (!isOver || this._isYielding) {
			return;
		}

		const now = this._options.clock();
		this._isYielding = true;
		for (const one of this._kept.chooseYielding(now)) {
			one.yieldMemory(this._kept.retryAfterMs(this._kept.bytesOf(one), now));
			this._kept.set(one, 0);
		}

		this._isYielding = false;
	}

	/** Time after which a request of an announced size may come back; undefined if it is taken now. */
	refusedForMs(bytes: number): number | undefined {
		return this._kept.isRefused(bytes)
			? this._kept.retryAfterMs(bytes, this._options.clock())
			: undefined;
	}
}
