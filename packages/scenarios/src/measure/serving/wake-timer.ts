import type {VirtualTime} from '../rate-fleet/virtual-time.js';

/** Wakes a core at the earliest time that it has requested. */
export class WakeTimer {
	/** @param onWake passes a tick to the core and schedules the next wake */
	static create(time: VirtualTime, onWake: () => void): WakeTimer {
		return new WakeTimer(time, onWake);
	}

	private _wakeAt = Infinity;

	private constructor(
		private readonly _time: VirtualTime,
		private readonly _onWake: () => void,
	) {}

	/** @param at virtual time of the wake; undefined if the core needs none */
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
