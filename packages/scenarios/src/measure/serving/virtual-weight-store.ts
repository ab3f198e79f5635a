import type {VirtualTime} from '../rate-fleet/virtual-time.js';
import {
	loadBurst,
	loadMs,
	loadsPerSecond,
	unhurriedLoads,
} from './constants.js';

const spacingMs = 1000 / loadsPerSecond;

/** Weight store that spaces loads beyond its rate and slows down with the loads in flight. */
export class VirtualWeightStore {
	static create(time: VirtualTime): VirtualWeightStore {
		return new VirtualWeightStore(time);
	}

	/** Factor by which each load takes longer. */
	slowness = 1;
	loads = 0;
	private _inFlight = 0;
	private _nextFreeAt = 0;

	private constructor(private readonly _time: VirtualTime) {}

	/** Loads one adapter and calls back when it is there. */
	load(onLoaded: () => void): void {
		const {now} = this._time;
		const earliest = now - (loadBurst - 1) * spacingMs;
		const slot = Math.max(this._nextFreeAt, earliest);
		this._nextFreeAt = slot + spacingMs;
		this._inFlight++;
		this.loads++;
		const crowding = Math.max(1, this._inFlight / unhurriedLoads);
		const delayMs = Math.max(0, slot - now) + loadMs * crowding * this.slowness;
		this._time.after(delayMs, () => {
			this._inFlight--;
			onLoaded();
		});
	}
}
