import type {PartSuspectEntry} from '@balsamtray/core';
import type {PartNote} from '@balsamtray/protocol';
import {
	maxPartsPerNote,
	maxQueuedParts,
	partNoteIntervalMs,
} from './constants.js';

export type PartNoteQueueOptions = {
	readonly clock: () => number;
	/** Runs a function after a delay in milliseconds. */
	readonly schedule: (run: () => void, delayMs: number) => void;
	/** Parts with a higher rank are sent first. */
	readonly rank: (part: string) => number;
	readonly send: (note: Pick<PartNote, 'suspects' | 'cleared'>) => void;
};

type NewEvidence = {
	readonly ends: ReadonlyArray<{readonly start: string; readonly at: number}>;
	readonly trials: number;
	readonly trialAt: number | undefined;
};

/**
 * Collects new evidence on parts for the other entries. Sends one note at once and then one in each interval, so that the
 * number of notes has a bound whatever callers send and however many servers end.
 */
export class PartNoteQueue {
	static create(options: PartNoteQueueOptions): PartNoteQueue {
		return new PartNoteQueue(options);
	}

	private readonly _suspects = new Map<string, NewEvidence>();
	/** When the answers began that cleared parts, by part. */
	private readonly _cleared = new Map<string, number>();
	private _isWaiting = false;

	private constructor(private readonly _options: PartNoteQueueOptions) {}

	/** Adds ends of servers under a part. */
	addEnds(part: string, start: string, at: number): void {
		const known = this._suspects.get(part);
		this._suspects.set(part, {
			trials: known?.trials ?? 0,
			trialAt: known?.trialAt,
			ends: [...(known?.ends ?? []), {start, at}],
		});
		this._flush();
	}

	/** Adds the start of a trial of a part. */
	addTrial(part: string, trials: number, trialAt: number): void {
		const ends = this._suspects.get(part)?.ends ?? [];
		this._suspects.set(part, {ends, trials, trialAt});
		this._flush();
	}

	/** Adds parts that are cleared of what is older than `begunAt`. */
	addCleared(parts: readonly string[], begunAt: number): void {
		for (const part of parts) {
			this._cleared.set(part, Math.max(begunAt, this._cleared.get(part) ?? 0));
		}

		this._flush();
	}

	private _flush(): void {
		dropOldest(this._suspects);
		dropOldest(this._cleared);
		if (this._isWaiting || this._suspects.size + this._cleared.size === 0) {
			return;
		}

		const {clock, send, schedule} = this._options;
		const now = clock();
		this._isWaiting = true;
		send({suspects: this._takeSuspects(now), cleared: this._takeCleared(now)});
		schedule(() => {
			this._isWaiting = false;
			this._flush();
		}, partNoteIntervalMs);
	}

	private _takeSuspects(now: number): readonly PartSuspectEntry[] {
		const {rank} = this._options;
		const parts = [...this._suspects.keys()]
			.map(part => ({part, rank: rank(part)}))
			.toSorted((a, b) => b.rank - a.rank)
			.slice(0, maxPartsPerNote);
		return parts.map(({part}) => {
			const {ends, trials, trialAt} = this._suspects.get(part)!;
			this._suspects.delete(part);
			return {
				part,
				ends: ends.map(({start, at}) => ({start, agoMs: ageOf(at, now)})),
				trials,
				...(trialAt !== undefined && {trialAgoMs: ageOf(trialAt, now)}),
			};
		});
	}

	private _takeCleared(now: number): PartNote['cleared'] {
		const taken = [...this._cleared].slice(0, maxPartsPerNote);
		return taken.map(([part, begunAt]) => {
			this._cleared.delete(part);
			return {part, agoMs: ageOf(begunAt, now)};
		});
	}
}

function ageOf(at: number, now: number): number {
	return Math.max(0, Math.round(now - at));
}

function dropOldest(queued: Map<string, unknown>): void {
	for (const part of queued.keys()) {
		if (queued.size <= maxQueuedParts) {
			return;
		}

		queued.delete(part);
	}
}
