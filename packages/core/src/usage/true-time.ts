import {
	clockSampleLifetimeMs,
	maxClockSources,
	maxWrongClockShare,
	minClockSources,
} from './constants.js';

/** What the clocks of several hosts say of true time. */
export type TrueTimeEstimate = {
	/** True time less the own monotonic clock, in milliseconds. */
	readonly offsetMs: number;
	/**
	 * Maximum error if at most a third of the clocks are off and the others agree, apart from the latency of messages;
	 * undefined if the estimate is only the own clock.
	 */
	readonly errorMs: number | undefined;
	/** Number of clocks, the own one included. */
	readonly sources: number;
};

type Source = {
	/** Largest offsets of the last two spans of half the lifetime: those of the messages with the least delay. */
	readonly current: number;
	readonly previous: number;
	readonly since: number;
	readonly heardAt: number;
};

/**
 * Estimates true time from the wall clocks of several hosts, as some may be off by seconds: the median of their offsets to the
 * own monotonic clock. A message's delay makes its sender's clock seem slow, so the largest offset of each source counts.
 */
export class TrueTime {
	static create(): TrueTime {
		return new TrueTime();
	}

	private readonly _sources = new Map<string, Source>();
	private _epoch = 0;

	private constructor() {}

	/**
	 * Notes the wall clock of another host, told in a message that has just arrived.
	 *
	 * @param now monotonic time in milliseconds
	 * @param epoch clock epoch; a new one discards all samples, as the monotonic clock may have stopped
	 */
	note(source: string, wallMs: number, now: number, epoch: number): void {
		this._setEpoch(epoch);
		if (!Number.isFinite(wallMs)) {
			return;
		}

		const offset = wallMs - now;
		const known = this._sources.get(source);
		if (known === undefined || isOld(known, now)) {
			if (known === undefined && this._sources.size >= maxClockSources) {
				this._removeOld(now);
				if (this._sources.size >= maxClockSources) {
					return;
				}
			}

			this._sources.set(source, {
				current: offset,
				previous: Number.NEGATIVE_INFINITY,
				since: now,
				heardAt: now,
			});
			return;
		}

		const isNewSpan = now - known.since > clockSampleLifetimeMs / 2;
		this._sources.set(source, {
			current: isNewSpan ? offset : Math.max(known.current, offset),
			previous: isNewSpan ? known.current : known.previous,
			since: isNewSpan ? now : known.since,
			heardAt: now,
		});
	}

	/** @param ownWallMs the own wall clock, in milliseconds since the epoch */
	estimate(now: number, ownWallMs: number, epoch: number): TrueTimeEstimate {
		this._setEpoch(epoch);
		this._removeOld(now);
		const own = ownWallMs - now;
		const offsets = [
			own,
			...[...this._sources.values()].map(({current, previous}) =>
				Math.max(current, previous),
			),
		].toSorted((a, b) => a - b);
		const sources = offsets.length;
		if (sources < minClockSources) {
			return {offsetMs: own, errorMs: undefined, sources};
		}

		const middle = (sources - 1) / 2;
		const low = offsets[Math.floor(middle)]!;
		const high = offsets[Math.ceil(middle)]!;
		return {
			offsetMs: (low + high) / 2,
			errorMs: spreadOfRight(offsets),
			sources,
		};
	}

	private _setEpoch(epoch: number): void {
		if (epoch !== this._epoch) {
			this._epoch = epoch;
			this._sources.clear();
		}
	}

	private _removeOld(now: number): void {
		for (const [id, source] of this._sources) {
			if (isOld(source, now)) {
				this._sources.delete(id);
			}
		}
	}
}

function isOld({heardAt}: Source, now: number): boolean {
	return now - heardAt > clockSampleLifetimeMs;
}

/**
 * Width of the narrowest range that contains two thirds of the offsets. The median of all lies between two offsets of any such
 * majority, so it is within the range of those that agree.
 */
function spreadOfRight(sorted: readonly number[]): number {
	const right = sorted.length - Math.floor(sorted.length * maxWrongClockShare);
	return Math.min(
		...sorted
			.slice(0, sorted.length - right + 1)
			.map((low, i) => sorted[i + right - 1]! - low),
	);
}
