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

	private constructor(private readonly _options: CallerMemoryOptions) {
		this._kept = KeptMemory.create({
			maxBytes: _options.maxBytes,
			stateOf: keeper => keeper.keptFor(),
		});
	}

	get bytes(): number {
		return this._kept.bytes;
	}

	/** Sets what is kept for a keeper, in bytes. It may have to yield in this call. */
	set(keeper: MemoryKeeper, bytes: number): void {
		const now = this._options.clock();
		for (const yielding of this._kept.set(keeper, bytes, now)) {
			yielding.yieldMemory(this._kept.retryAfterMs(bytes, now));
			this._kept.set(yielding, 0, now);
		}
	}

	/** Time after which a request of an announced size may come back; undefined if it is taken now. */
	refusedForMs(bytes: number): number | undefined {
		return this._kept.isRefused(bytes)
			? this._kept.retryAfterMs(bytes, this._options.clock())
			: undefined;
	}
}
