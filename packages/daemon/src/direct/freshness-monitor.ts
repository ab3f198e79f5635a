import {
	freshnessMarginMs,
	FreshnessLease,
	SuspensionDetector,
} from '@balsamtray/core';

export type FreshnessMonitorOptions = {
	/** Monotonic clock, in milliseconds. */
	readonly clock: () => number;
	/** Wall clock, in milliseconds. */
	readonly wallClock: () => number;
	/** Time after which a withdrawn key must not be accepted, in milliseconds; undefined without such a bound. */
	readonly revokeMs: () => number | undefined;
	/** Called when the monotonic clock may have stopped during a suspension, which invalidates times taken before. */
	readonly onSuspended: (epoch: number, now: number) => void;
};

/** Decides whether an entry's authority statements are fresh enough to act on, from freshness proofs and clocks. */
export class FreshnessMonitor {
	static create(options: FreshnessMonitorOptions): FreshnessMonitor {
		return new FreshnessMonitor(options);
	}

	private readonly _suspensionDetector: SuspensionDetector;
	private readonly _lease: FreshnessLease;

	private constructor(private readonly _options: FreshnessMonitorOptions) {
		const {clock, wallClock, revokeMs} = _options;
		this._suspensionDetector = SuspensionDetector.create(clock(), wallClock());
		this._lease = FreshnessLease.create(revokeMs);
	}

	/** Clock epoch. Increases whenever the monotonic clock may have stopped. */
	get epoch(): number {
		return this._suspensionDetector.epoch;
	}

	/** Monotonic time of the newest proof; negative infinity without a proof. */
	get provenAt(): number {
		return this._lease.provenAt;
	}

	/** Time of the newest proof if it applies to the era of the store; negative infinity otherwise. */
	provenAtIn(era: number): number {
		return this._lease.provenAtIn(era);
	}

	/** Adds a proof of an era of the store. `provenAt` is monotonic time taken in the given epoch. */
	prove(provenAt: number, epoch: number, era: number): void {
		this._lease.prove(provenAt, epoch, era);
	}

	/** Checks the clocks for a suspension. Called on each event. */
	checkForSuspension(): void {
		const {clock, wallClock, onSuspended} = this._options;
		const now = clock();
		if (this._suspensionDetector.check(now, wallClock())) {
			this._lease.invalidate(this._suspensionDetector.epoch);
			onSuspended(this._suspensionDetector.epoch, now);
		}
	}

	isFresh(): boolean {
		this.checkForSuspension();
		return this._lease.isFresh(this._options.clock());
	}

	/** Whether the newest proof is younger than the bound, in milliseconds. True without a bound. */
	isProvenWithin(boundMs: number | undefined): boolean {
		return (
			boundMs === undefined ||
			this._lease.ageMs(this._options.clock()) < boundMs - freshnessMarginMs
		);
	}

	/** Age of the newest proof, in milliseconds; undefined without a proof. */
	proofAgeMs(): number | undefined {
		const age = this._lease.ageMs(this._options.clock());
		return Number.isFinite(age) ? age : undefined;
	}
}
