import type {AdapterState} from './types.js';

/** State of an adapter version that takes up a slot. */
export type SlotState = 'loading' | 'resident' | 'unloading';

/** One occupied adapter slot of the backend server. */
export type Slot = {
	readonly servedName: string;
	readonly state: SlotState;
	/** Identifier of the load or unload order in progress, or of the last one. */
	readonly orderId: string;
	/** Requests that run on the adapter version. */
	readonly users: number;
	readonly lastUsedAt: number;
	readonly loadedAt: number;
	/** The backend server does not report the adapter version, while requests run on it. */
	readonly isMissing: boolean;
};

type MutableSlot = {-readonly [K in keyof Slot]: Slot[K]};

/**
 * The adapter slots of one backend server, counted from the agent's own orders.
 * A slot counts as taken from the load order until the unload order has been confirmed.
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

	/** State of an adapter version for a new request. One that is being unloaded or is missing counts as absent. */
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

	beginLoad(servedName: string, orderId: string, now: number): void {
		if (this._slots.has(servedName) || this.free === 0) {
			throw new Error(`no free slot to load ${servedName}`);
		}

		this._slots.set(servedName, {
			servedName,
			state: 'loading',
			orderId,
			users: 0,
			lastUsedAt: now,
			loadedAt: now,
			isMissing: false,
		});
		this._counts.loading++;
	}

	/** Returns the slot that became resident, or undefined where the order is not the present one. */
	completeLoad(orderId: string, now: number): Slot | undefined {
		const slot = this._findOrder(orderId, 'loading');
		if (slot) {
			this._setState(slot, 'resident');
			slot.loadedAt = now;
			slot.lastUsedAt = now;
		}

		return slot;
	}

	/** Takes note of an adapter version that the backend server holds without a known order. */
	adopt(servedName: string, now: number): void {
		this._slots.set(servedName, {
			servedName,
			state: 'resident',
			orderId: '',
			users: 0,
			lastUsedAt: now,
			loadedAt: now,
			isMissing: false,
		});
		this._counts.resident++;
	}

	/** Starts to give a slot up. An adapter version in use is never given up. */
	beginUnload(servedName: string, orderId: string): void {
		const slot = this._slots.get(servedName);
		if (!slot || slot.users > 0) {
			throw new Error(`can't unload ${servedName}: absent or in use`);
		}

		this._setState(slot, 'unloading');
		slot.orderId = orderId;
	}

	/** The failed load may still take effect, so that its slot stays taken until an unload was confirmed. */
	failLoad(orderId: string, unloadOrderId: string): Slot | undefined {
		const slot = this._findOrder(orderId, 'loading');
		if (slot) {
			this._setState(slot, 'unloading');
			slot.orderId = unloadOrderId;
		}

		return slot;
	}

	findUnload(orderId: string): Slot | undefined {
		return this._findOrder(orderId, 'unloading');
	}

	completeUnload(orderId: string): Slot | undefined {
		const slot = this._findOrder(orderId, 'unloading');
		if (slot) {
			this._forget(slot.servedName);
		}

		return slot;
	}

	/**
	 * The backend server does not report a resident adapter version. Its slot is dropped once nothing runs on it:
	 * what runs may do so on a boot of the backend server that is newer than the report.
	 */
	markMissing(servedName: string): void {
		const slot = this._slots.get(servedName);
		if (slot && slot.users > 0) {
			slot.isMissing = true;
		} else {
			this._forget(servedName);
		}
	}

	/** The backend server reports a resident adapter version. */
	markPresent(servedName: string): void {
		const slot = this._slots.get(servedName);
		if (slot) {
			slot.isMissing = false;
		}
	}

	/** Starts a use. It ends by `release` with the returned slot. */
	acquire(servedName: string, now: number): Slot {
		const slot = this._slots.get(servedName);
		if (slot?.state !== 'resident' || slot.isMissing) {
			throw new Error(`${servedName} is not resident`);
		}

		slot.users++;
		slot.lastUsedAt = now;
		return slot;
	}

	/** Ends one use, given the slot that `acquire` returned. */
	release(slot: Slot, now: number): void {
		const own = this._slots.get(slot.servedName);
		if (!own || own !== slot) {
			return;
		}

		own.users--;
		own.lastUsedAt = now;
		if (own.users === 0 && own.isMissing) {
			this._forget(own.servedName);
		}
	}

	/** Resident adapter versions that nothing runs on. */
	idle(): readonly Slot[] {
		return [...this._slots.values()].filter(
			slot => slot.state === 'resident' && slot.users === 0,
		);
	}

	private _forget(servedName: string): void {
		const slot = this._slots.get(servedName);
		if (slot) {
			this._counts[slot.state]--;
			this._slots.delete(servedName);
		}
	}

	private _findOrder(
		orderId: string,
		state: SlotState,
	): MutableSlot | undefined {
		for (const slot of this._slots.values()) {
			if (slot.orderId === orderId && slot.state === state) {
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
