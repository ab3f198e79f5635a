import type {AdapterState} from './types.js';

/** State of an adapter version that occupies a slot. */
export type SlotState = 'loading' | 'resident' | 'unloading';

/** One occupied adapter slot of the backend server. */
export type Slot = {
	readonly servedName: string;
	readonly state: SlotState;
	/** ID of the current or last load or unload operation. Empty for an adopted adapter version. */
	readonly operationId: string;
	/** Number of requests that run on the adapter version. */
	readonly activeRequests: number;
	readonly lastUsedAt: number;
	readonly loadedAt: number;
	/** Whether the backend server no longer reports the adapter version although requests run on it. */
	readonly isMissing: boolean;
};

type MutableSlot = {-readonly [K in keyof Slot]: Slot[K]};

/**
 * Tracks the adapter slots of one backend server from the agent's own operations.
 * A slot counts as occupied from the start of the load until the unload is confirmed.
 */
export class AdapterSlots {
	static create(capacity: number): AdapterSlots {
		return new AdapterSlots(capacity);
	}

	private readonly _slots = new Map<string, MutableSlot>();
	private readonly _counts = {loading: 0, resident: 0, unloading: 0};

	private constructor(private readonly _capacity: number) {}

	get free(): number {
		return Math.max(0, this._capacity - this._slots.size);
	}

	get loading(): number {
		return this._counts.loading;
	}

	get unloading(): number {
		return this._counts.unloading;
	}

	/** Returns the state of an adapter version for a new request. Unloading and missing versions count as absent. */
	stateOf(servedName: string): AdapterState {
		const slot = this._slots.get(servedName);
		return !slot || slot.state === 'unloading' || slot.isMissing
			? 'absent'
			: slot.state;
	}

	has(servedName: string): boolean {
		return this._slots.has(servedName);
	}

	get(servedName: string): Slot | undefined {
		return this._slots.get(servedName);
	}

	all(): Iterable<Slot> {
		return this._slots.values();
	}

	beginLoad(servedName: string, operationId: string, now: number): void {
		if (this._slots.has(servedName) || this.free === 0) {
			throw new Error(`no free slot to load ${servedName}`);
		}

		this._slots.set(servedName, {
			servedName,
			state: 'loading',
			operationId,
			activeRequests: 0,
			lastUsedAt: now,
			loadedAt: now,
			isMissing: false,
		});
		this._counts.loading++;
	}

	/** Returns the slot that became resident, or undefined if no load with this ID is in progress. */
	completeLoad(operationId: string, now: number): Slot | undefined {
		const slot = this._findOperation(operationId, 'loading');
		if (slot) {
			this._setState(slot, 'resident');
			slot.loadedAt = now;
			slot.lastUsedAt = now;
		}

		return slot;
	}

	/** Adds a slot for an adapter version that the backend server reports without a known load. */
	adopt(servedName: string, now: number): void {
		this._slots.set(servedName, {
			servedName,
			state: 'resident',
			operationId: '',
			activeRequests: 0,
			lastUsedAt: now,
			loadedAt: now,
			isMissing: false,
		});
		this._counts.resident++;
	}

	/** Starts an unload. Throws if the adapter version is absent or in use. */
	beginUnload(servedName: string, operationId: string): void {
		const slot = this._slots.get(servedName);
		if (!slot || slot.activeRequests > 0) {
			throw new Error(`can't unload ${servedName}: absent or in use`);
		}

		this._setState(slot, 'unloading');
		slot.operationId = operationId;
	}

	/** Keeps the slot occupied until an unload is confirmed, since a failed load may still take effect. */
	failLoad(operationId: string, unloadOperationId: string): Slot | undefined {
		const slot = this._findOperation(operationId, 'loading');
		if (slot) {
			this._setState(slot, 'unloading');
			slot.operationId = unloadOperationId;
		}

		return slot;
	}

	findUnload(operationId: string): Slot | undefined {
		return this._findOperation(operationId, 'unloading');
	}

	completeUnload(operationId: string): Slot | undefined {
		const slot = this._findOperation(operationId, 'unloading');
		if (slot) {
			this._deleteSlot(slot.servedName);
		}

		return slot;
	}

	/**
	 * Marks a resident adapter version that the backend server does not report. Its slot is freed once no request runs
	 * on it, because running requests may belong to a newer boot of the backend server than the report.
	 */
	markMissing(servedName: string): void {
		const slot = this._slots.get(servedName);
		if (slot && slot.activeRequests > 0) {
			slot.isMissing = true;
		} else {
			this._deleteSlot(servedName);
		}
	}

	/** Marks an adapter version that the backend server reports. */
	markPresent(servedName: string): void {
		const slot = this._slots.get(servedName);
		if (slot) {
			slot.isMissing = false;
		}
	}

	/** Counts a running request on a slot until `release` is called with it. Throws if the version is not resident. */
	acquire(servedName: string, now: number): Slot {
		const slot = this._slots.get(servedName);
		if (slot?.state !== 'resident' || slot.isMissing) {
			throw new Error(`${servedName} is not resident`);
		}

		slot.activeRequests++;
		slot.lastUsedAt = now;
		return slot;
	}

	/** Ends a use, given the slot that `acquire` returned. Ignores a slot that has been replaced since. */
	release(slot: Slot, now: number): void {
		const own = this._slots.get(slot.servedName);
		if (!own || own !== slot) {
			return;
		}

		own.activeRequests--;
		own.lastUsedAt = now;
		if (own.activeRequests === 0 && own.isMissing) {
			this._deleteSlot(own.servedName);
		}
	}

	/** Returns the resident adapter versions without running requests. */
	idle(): readonly Slot[] {
		return [...this._slots.values()].filter(
			slot => slot.state === 'resident' && slot.activeRequests === 0,
		);
	}

	private _deleteSlot(servedName: string): void {
		const slot = this._slots.get(servedName);
		if (slot) {
			this._counts[slot.state]--;
			this._slots.delete(servedName);
		}
	}

	private _findOperation(
		operationId: string,
		state: SlotState,
	): MutableSlot | undefined {
		for (const slot of this._slots.values()) {
			if (slot.operationId === operationId && slot.state === state) {
				return slot;
			}
		}

		return undefined;
	}

	private _setState(slot: MutableSlot, state: SlotState): void {
		this._counts[slot.state]--;
		slot.state = state;
		this._counts[state]++;
	}
}
