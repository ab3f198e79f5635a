import {ClockGuard, FreshnessLease} from '@balsamtray/core';

export type FreshnessKeeperOptions = {
	readonly clock: () => number;
	/** Time of day in milliseconds. */
	readonly timeOfDay: () => number;
	/** Time after which a withdrawn key must not be used, in milliseconds; undefined without a bound. */
	readonly boundMs: () => number | undefined;
	/** The steady clock may have stood still, so that what was timed by it no longer counts. */
	readonly onSuspended: (epoch: number, now: number) => void;
};

/** Whether an entry may act on what it knows of the authority, by its proofs and its clocks. */
export class FreshnessKeeper {
	static create(options: FreshnessKeeperOptions): FreshnessKeeper {
		return new FreshnessKeeper(options);
	}

	private readonly _guard: ClockGuard;
	private readonly _lease: FreshnessLease;

	private constructor(private readonly _options: FreshnessKeeperOptions) {
		const {clock, timeOfDay, boundMs} = _options;
		this._guard = ClockGuard.create(clock(), timeOfDay());
		this._lease = FreshnessLease.create(boundMs);
	}

	/** Grows whenever the steady clock may have stood still. */
	get epoch(): number {
		return this._guard.epoch;
	}

	/** Time of the newest proof, minus infinity without one. */
	get provenAt(): number {
		return this._lease.provenAt;
	}

	/** Takes in a proof. Times of it come from the steady clock in the epoch. */
	prove(provenAt: number, epoch: number): void {
		this._lease.prove(provenAt, epoch);
	}

	/** Looks for a suspension, which should be done at each event. */
	look(): void {
		const {clock, timeOfDay, onSuspended} = this._options;
		const now = clock();
		if (this._guard.look(now, timeOfDay())) {
			this._lease.invalidate(this._guard.epoch);
			onSuspended(this._guard.epoch, now);
		}
	}

	isFresh(): boolean {
		this.look();
		return this._lease.isFresh(this._options.clock());
	}

	/** Age of the newest proof in milliseconds, undefined without one. */
	proofAgeMs(): number | undefined {
		const age = this._lease.ageMs(this._options.clock());
		return Number.isFinite(age) ? age : undefined;
	}
}
