import {
	historyDropShare,
	historySegmentMs,
	maxHistorySegments,
} from './constants.js';

/** Position in a level history: the number of a segment. */
export type HistoryMark = number;

/**
 * Highest levels of a token bucket, by segments of time.
 *
 * Tokens returned from a reservation are credited as if they had never been reserved. That is only correct if the
 * bucket would not have overflowed since then, so the highest level since the reservation limits the credit. Segments
 * are coarse: the highest level can only be overestimated, and the credit underestimated.
 */
export class LevelHistory {
	static create(now: number, level: number): LevelHistory {
		return new LevelHistory(now, level);
	}

	private _maxima: number[];
	private _firstMark: HistoryMark = 0;
	private _segmentStart: number;
	private _lastLevel: number;

	private constructor(now: number, level: number) {
		this._maxima = [level];
		this._segmentStart = now;
		this._lastLevel = level;
	}

	/** Records the current level. */
	record(level: number): void {
		const last = this._maxima.length - 1;
		this._maxima[last] = Math.max(this._maxima[last] ?? 0, level);
		this._lastLevel = level;
	}

	/** Records a drop of the level. Returns the mark as of which the tokens of the drop can be credited again. */
	recordDrop(level: number, burst: number, now: number): HistoryMark {
		const isOld = now - this._segmentStart >= historySegmentMs;
		const highest = this._maxima.at(-1) ?? 0;
		const isDeep = highest - level >= burst * historyDropShare;
		if (isOld || isDeep) {
			this._maxima.push(level);
			this._segmentStart = now;
			this._trim();
		}

		this._lastLevel = level;
		return this._firstMark + this._maxima.length - 1;
	}

	/** The highest level since the mark, or infinity if the history no longer goes back that far. */
	maxSince(mark: HistoryMark): number {
		if (mark < this._firstMark) {
			return Number.POSITIVE_INFINITY;
		}

		let highest = this._lastLevel;
		for (let i = mark - this._firstMark; i < this._maxima.length; i++) {
			highest = Math.max(highest, this._maxima[i] ?? 0);
		}

		return highest;
	}

	/** Raises all levels since the mark by a credit made at that mark. */
	raiseSince(mark: HistoryMark, delta: number): void {
		for (let i = mark - this._firstMark; i < this._maxima.length; i++) {
			this._maxima[i] = (this._maxima[i] ?? 0) + delta;
		}

		this._lastLevel += delta;
	}

	private _trim(): void {
		if (this._maxima.length > 2 * maxHistorySegments) {
			const excess = this._maxima.length - maxHistorySegments;
			this._maxima = this._maxima.slice(excess);
			this._firstMark += excess;
		}
	}
}
