import type {VirtualTime} from '../rate-fleet/virtual-time.js';

/** Wakes a core at the earliest time that it asked for. */
export class WakeTimer {
	/** @param onWake handles the core's tick, and schedules the next one */
	static create(time: VirtualTime, onWake: () => void): WakeTimer {
		return new WakeTimer(time, onWake);
	}

	private _wakeAt = Infinity;

	private constructor(
		private readonly _time: VirtualTime,
		private readonly _onWake: () => void,
	) {}

	/** @param at time at which the core wants to be woken; undefined if it needs no wake */
	schedule(at: number | undefined): void {
		if (at === undefined || at >= this._wakeAt) {
			return;
		}

		this._wakeAt = at;
		this._time.at(at, () => {
			if (this._wakeAt === at) {
				this._wakeAt = Infinity;
				this._onWake();
			}
		});
	}
}
