/** Outcome of reserving a slot for an adapter load. */
export type SlotResult = 'reserved' | 'alreadyLoaded' | 'full';

type Slot = {
	readonly weights: string;
	readonly isLoaded: boolean;
	readonly useCount: number;
};

/** The adapter slots of an engine. */
export class AdapterSlots {
	static create(count: number): AdapterSlots {
		return new AdapterSlots(count);
	}

	private readonly _slots = new Map<string, Slot>();
	private readonly _count: number;

	private constructor(count: number) {
		this._count = count;
	}

	/** Reserves a slot for an adapter before its load starts. */
	reserve(servedName: string, weights: string): SlotResult {
		if (this._slots.has(servedName)) {
			return 'alreadyLoaded';
		}

		if (this._slots.size >= this._count) {
			return 'full';
		}

		this._slots.set(servedName, {weights, isLoaded: false, useCount: 0});
		return 'reserved';
	}

	completeLoad(servedName: string): void {
		const slot = this._slots.get(servedName);
		if (slot !== undefined) {
			this._slots.set(servedName, {...slot, isLoaded: true});
		}
	}

	/** Frees the adapter's slot and returns whether a request was using it, or undefined if the adapter has no slot. */
	free(servedName: string): {readonly wasInUse: boolean} | undefined {
		const slot = this._slots.get(servedName);
		this._slots.delete(servedName);
		return slot === undefined ? undefined : {wasInUse: slot.useCount > 0};
	}

	/** Returns the weights of a loaded adapter, or undefined if it is not loaded. */
	weightsOf(servedName: string): string | undefined {
		const slot = this._slots.get(servedName);
		return slot?.isLoaded ? slot.weights : undefined;
	}

	beginUse(servedName: string): void {
		this._changeUseCount(servedName, 1);
	}

	endUse(servedName: string): void {
		this._changeUseCount(servedName, -1);
	}

	loaded(): readonly string[] {
		return [...this._slots].flatMap(([name, slot]) =>
			slot.isLoaded ? [name] : [],
		);
	}

	clear(): void {
		this._slots.clear();
	}

	private _changeUseCount(servedName: string, delta: number): void {
		const slot = this._slots.get(servedName);
		if (slot !== undefined) {
			const useCount = Math.max(0, slot.useCount + delta);
			this._slots.set(servedName, {...slot, useCount});
		}
	}
}
