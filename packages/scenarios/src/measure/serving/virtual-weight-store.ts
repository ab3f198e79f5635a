import type {VirtualTime} from '../rate-fleet/virtual-time.js';
import {
	loadBurst,
	loadMs,
	loadsPerSecond,
	maxUncontendedLoads,
} from './constants.js';

const spacingMs = 1000 / loadsPerSecond;

/** Simulated weight store that limits the rate of loads and slows down when many are in flight. */
export class VirtualWeightStore {
	static create(time: VirtualTime): VirtualWeightStore {
		return new VirtualWeightStore(time);
	}

	/** Factor on the duration of each load. */
	slowdown = 1;
	loads = 0;
	private _inFlight = 0;
	private _nextFreeAt = 0;

	private constructor(private readonly _time: VirtualTime) {}

	/** Loads one adapter and calls `onLoaded` when its weights have arrived. */
	load(onLoaded: () => void): void {
		const {now} = this._time;
		const earliest = now - (loadBurst - 1) * spacingMs;
		const slot = Math.max(this._nextFreeAt, earliest);
		this._nextFreeAt = slot + spacingMs;
		this._inFlight++;
		this.loads++;
		const contention = Math.max(1, this._inFlight / maxUncontendedLoads);
		const delayMs =
			Math.max(0, slot - now) + loadMs * contention * this.slowdown;
		this._time.after(delayMs, () => {
			this._inFlight--;
			onLoaded();
		});
	}
}
