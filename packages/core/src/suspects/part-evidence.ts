import {
	ageToleranceMs,
	briefQuarantineMs,
	endTtlMs,
	maxEndsPerPart,
	maxMomentsPerPart,
	maxPartLength,
	maxQuarantineMs,
	momentGapMs,
	momentsUntilQuarantine,
	noProgressMs,
	startsUntilQuarantine,
	trialBaseMs,
	trialFactor,
} from './constants.js';
import type {PartSuspectEntry} from './types.js';

type End = {readonly start: string; readonly at: number};

/** The evidence on one part of prompts. */
export class PartEvidence {
	static create(): PartEvidence {
		return new PartEvidence();
	}

	/** Parts of the last request that was let through as a trial of several quarantined parts. */
	trialPartners: readonly string[] = [];

	/** Sorted by time. */
	private _ends: readonly End[] = [];
	/** The ends at most `endTtlMs` before the last one, and the number of their moments. */
	private _recent: readonly End[] = [];
	private _moments = 0;
	private _clearedAt = -Infinity;
	private _trials = 0;
	private _trialAt = -Infinity;

	private constructor() {}

	/** The newest end, clearance or trial. */
	get changedAt(): number {
		return Math.max(this._lastEndAt, this._clearedAt, this._trialAt);
	}

	get hasEnds(): boolean {
		return this._ends.length > 0;
	}

	/** Number of trials since the part was last cleared. A trial without an earlier end belongs to cleared evidence. */
	get trials(): number {
		const first = this._ends[0];
		return first !== undefined && first.at <= this._trialAt ? this._trials : 0;
	}

	/**
	 * When the next trial may start. A trial of which no end is known tells nothing if it never began, such as at a server
	 * that was gone; the next one comes earlier then.
	 */
	get dueAt(): number {
		const {trials} = this;
		const lastEndAt = this._lastEndAt;
		return trials === 0 || lastEndAt >= this._trialAt - ageToleranceMs
			? lastEndAt + this._quarantineMs(trials)
			: this._trialAt + this._quarantineMs(trials - 1);
	}

	/** Returns whether the end is new evidence. Of several reports of one end, the earliest time holds. */
	noteEnd(start: string, at: number): boolean {
		if (at < this._clearedAt) {
			return false;
		}

		const known = this._ends.find(end => end.start === start);
		if (known !== undefined && known.at <= at) {
			return false;
		}

		const ends = this._ends.filter(end => end !== known);
		ends.push({start, at});
		ends.sort(compareEnds);
		this._setEnds(boundEnds(ends));
		return known === undefined;
	}

	/** An answer that began at `begunAt` went on. Returns whether that voids evidence. */
	clear(begunAt: number): boolean {
		const left = this._ends.filter(({at}) => at >= begunAt);
		const isCleared = left.length < this._ends.length;
		if (isCleared) {
			this._setEnds(left);
		}

		this._clearedAt = Math.max(this._clearedAt, begunAt);
		return isCleared;
	}

	startTrial(now: number): void {
		this._trials = this.trials + 1;
		this._trialAt = now;
	}

	/** Number of moments at which servers ended, at most `endTtlMs` before the newest of them. */
	countMoments(now: number): number {
		return now - this._lastEndAt > endTtlMs ? 0 : this._moments;
	}

	/** A part stays quarantined with its trials, although its early ends are forgotten. */
	isQuarantined(now: number): boolean {
		const moments = this.countMoments(now);
		return (
			moments >= momentsUntilQuarantine ||
			(moments > 0 &&
				(this.trials > 0 ||
					(this._recent.length >= startsUntilQuarantine &&
						now - this._recent[0]!.at >= noProgressMs)))
		);
	}

	isForgotten(now: number): boolean {
		return now - this.changedAt > endTtlMs;
	}

	toEntry(part: string, now: number): PartSuspectEntry {
		const {trials} = this;
		return {
			part,
			ends: this._ends.map(({start, at}) => ({
				start,
				agoMs: Math.max(0, now - at),
			})),
			...(this._clearedAt > -Infinity && {
				clearedAgoMs: Math.max(0, now - this._clearedAt),
			}),
			trials,
			...(trials > 0 && {trialAgoMs: Math.max(0, now - this._trialAt)}),
		};
	}

	merge(entry: PartSuspectEntry, now: number): void {
		const clearedAt = now - (entry.clearedAgoMs ?? Infinity);
		if (clearedAt > this._clearedAt + ageToleranceMs) {
			this.clear(clearedAt);
		}

		for (const {start, agoMs} of entry.ends.slice(0, maxEndsPerPart)) {
			const at = now - Math.max(0, agoMs);
			if (now - at <= 2 * endTtlMs && start.length <= maxPartLength) {
				this.noteEnd(start, at);
			}
		}

		const trialAt = now - (entry.trialAgoMs ?? Infinity);
		if (entry.trials > 0 && trialAt >= this._clearedAt) {
			this._trials = Math.max(this.trials, entry.trials);
			if (trialAt > this._trialAt + ageToleranceMs) {
				this._trialAt = trialAt;
			}
		}
	}

	private get _lastEndAt(): number {
		return this._ends.at(-1)?.at ?? -Infinity;
	}

	private _setEnds(ends: readonly End[]): void {
		const lastEndAt = ends.at(-1)?.at ?? -Infinity;
		this._ends = ends;
		this._recent = ends.filter(({at}) => lastEndAt - at <= endTtlMs);
		this._moments = groupMoments(this._recent).length;
	}

	private _quarantineMs(trials: number): number {
		return trials === 0 && this._moments < momentsUntilQuarantine
			? briefQuarantineMs
			: Math.min(trialBaseMs * trialFactor ** trials, maxQuarantineMs);
	}
}

function compareEnds(a: End, b: End): number {
	return a.at - b.at || (a.start < b.start ? -1 : 1);
}

/** Ends within `momentGapMs` of the first end of a moment have one cause, such as the loss of a rack. */
function groupMoments(ends: readonly End[]): End[][] {
	const moments: End[][] = [];
	for (const end of ends) {
		const moment = moments.at(-1);
		if (moment !== undefined && end.at - moment[0]!.at <= momentGapMs) {
			moment.push(end);
		} else {
			moments.push([end]);
		}
	}

	return moments;
}

/** Keeps the newest moments. If servers of one moment are too many, drops some of these rather than other moments. */
function boundEnds(ends: readonly End[]): readonly End[] {
	const moments = groupMoments(ends).slice(-maxMomentsPerPart);
	for (let count = moments.flat().length; count > maxEndsPerPart; count--) {
		const mostEnds = Math.max(...moments.map(({length}) => length));
		moments.find(({length}) => length === mostEnds)!.pop();
	}

	return moments.flat();
}
