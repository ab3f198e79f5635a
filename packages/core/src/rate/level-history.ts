import {
	historyDropShare,
	historySegmentMs,
	maxHistorySegments,
} from './constants.js';

/** Point of a level history: the number of a segment. */
export type HistoryMark = number;

/**
 * The highest levels that a token bucket reached, by segments of time.
 *
 * Tokens that come back from a reservation are credited as though they had never been reserved. That is exact only
 * as far as the bucket would not have overflowed in between, so the highest level since the reservation limits the
 * credit. Segments are coarse, which only makes the highest level too high and so the credit too low.
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

	/** Notes the level at present. */
	note(level: number): void {
		const last = this._maxima.length - 1;
		this._maxima[last] = Math.max(this._maxima[last] ?? 0, level);
		this._lastLevel = level;
	}

	/** Notes that the level dropped, and returns the mark from which on that drop may be undone. */
	drop(level: number, burst: number, now: number): HistoryMark {
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

	/** The highest level since the mark, or infinity where that is forgotten. */
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

	/** Raises all levels since the mark, as a credit for that time does. */
	raiseSince(mark: HistoryMark, by: number): void {
		for (let i = mark - this._firstMark; i < this._maxima.length; i++) {
			this._maxima[i] = (this._maxima[i] ?? 0) + by;
		}

		this._lastLevel += by;
	}

	private _trim(): void {
		if (this._maxima.length > 2 * maxHistorySegments) {
			const surplus = this._maxima.length - maxHistorySegments;
			this._maxima = this._maxima.slice(surplus);
			this._firstMark += surplus;
		}
	}
}
