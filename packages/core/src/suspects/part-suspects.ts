import {hashString} from '../common/rendezvous.js';
import {
	endTtlMs,
	jointTrialDelayMs,
	maxPartLength,
	maxPartsPerRequest,
	maxTrackedParts,
	minRetryAfterMs,
	momentsUntilNoRepeat,
	partsAfterEviction,
} from './constants.js';
import {PartEvidence} from './part-evidence.js';
import type {
	PartCheckOptions,
	PartEnd,
	PartSuspectEntry,
	PartVerdict,
} from './types.js';

/**
 * Finds parts of prompts under which servers end, whatever else the requests hold. A part is quarantined when servers
 * ended under it at several moments and no answer with it has gone on since.
 */
export class PartSuspects {
	static create(): PartSuspects {
		return new PartSuspects();
	}

	private readonly _evidence = new Map<string, PartEvidence>();
	/** When the newest answer began that went on, by part. The least recently noted part comes first. */
	private readonly _progress = new Map<string, number>();

	private constructor() {}

	/** Returns the ends that were not known before, to be told to other entries. */
	noteEnds(
		parts: readonly string[],
		start: string,
		at: number,
		now: number,
	): readonly PartEnd[] {
		const noted = Math.min(at, now);
		if (now - noted > endTtlMs || start.length > maxPartLength) {
			return [];
		}

		const ends: PartEnd[] = [];
		for (const part of usedParts(parts)) {
			if (
				noted >= (this._progress.get(part) ?? -Infinity) &&
				this._obtain(part).noteEnd(start, noted)
			) {
				ends.push({part, start, at: noted});
			}
		}

		this._evict(now);
		return ends;
	}

	/** Returns the parts of which ends were cleared, to be told to other entries. Called for every answer. */
	noteProgress(
		parts: readonly string[],
		begunAt: number,
		now: number,
	): readonly string[] {
		const begun = Math.min(begunAt, now);
		return usedParts(parts).filter(part => {
			const before = this._progress.get(part) ?? -Infinity;
			this._progress.delete(part);
			this._progress.set(part, Math.max(before, begun));
			if (this._progress.size > maxTrackedParts) {
				const [oldest] = this._progress.keys();
				this._progress.delete(oldest!);
			}

			return this._evidence.get(part)?.clear(begun) ?? false;
		});
	}

	/** Another entry's answer went on: clears ends before `begunAt`. */
	noteCleared(part: string, begunAt: number, now: number): void {
		this.noteProgress([part], begunAt, now);
	}

	/** Decides on one send of a request. Of a verdict `trial`, `startTrial` must follow before the next check. */
	check(
		parts: readonly string[],
		{isRepeat, isOwner}: PartCheckOptions,
		now: number,
	): PartVerdict {
		if (this._evidence.size === 0) {
			return {kind: 'allowed'};
		}

		const refused: Array<{part: string; evidence: PartEvidence}> = [];
		let suspectCount = 0;
		for (const part of usedParts(parts)) {
			const evidence = this._evidence.get(part);
			if (evidence === undefined) {
				continue;
			}

			const moments = evidence.countMoments(now);
			suspectCount += moments > 0 ? 1 : 0;
			if (evidence.isQuarantined(now)) {
				refused.push({part, evidence});
			} else if (isRepeat && moments >= momentsUntilNoRepeat) {
				refused.push({part, evidence});
			}
		}

		const [first] = refused;
		if (first === undefined) {
			return {kind: 'allowed'};
		}

		const dueAt = Math.max(...refused.map(({evidence}) => evidence.dueAt));
		const trialAt = dueAt + (suspectCount - 1) * jointTrialDelayMs;
		if (!isRepeat && now >= trialAt && isOwner(first.part)) {
			first.evidence.trialPartners = refused.slice(1).map(({part}) => part);
			return {kind: 'trial', part: first.part};
		}

		const last = refused.find(({evidence}) => evidence.dueAt === dueAt)!;
		return {
			kind: 'quarantined',
			part: last.part,
			retryAfterMs: Math.max(minRetryAfterMs, trialAt - now),
		};
	}

	/** The request that `check` let through as a trial is sent. It is a trial of all its quarantined parts. */
	startTrial(part: string, now: number): void {
		const evidence = this._evidence.get(part);
		if (evidence === undefined) {
			return;
		}

		for (const partner of evidence.trialPartners) {
			this._evidence.get(partner)?.startTrial(now);
		}

		evidence.trialPartners = [];
		evidence.startTrial(now);
	}

	isQuarantined(part: string, now: number): boolean {
		return this._evidence.get(part)?.isQuarantined(now) ?? false;
	}

	/** The quarantined parts, sorted. */
	quarantined(now: number): readonly string[] {
		return [...this._evidence]
			.filter(([, evidence]) => evidence.isQuarantined(now))
			.map(([part]) => part)
			.toSorted();
	}

	/** The evidence on one part, with ages; undefined without any. */
	entryOf(part: string, now: number): PartSuspectEntry | undefined {
		return this._evidence.get(part)?.toEntry(part, now);
	}

	/** All evidence, with ages, for an entry that starts or was cut off; at most `maxTrackedParts`. */
	entries(now: number): readonly PartSuspectEntry[] {
		return [...this._evidence]
			.filter(([, evidence]) => !evidence.isForgotten(now))
			.map(([part, evidence]) => evidence.toEntry(part, now));
	}

	/** Merges another entry's evidence, in any order and repeatedly. Returns newly quarantined parts. */
	merge(entries: readonly PartSuspectEntry[], now: number): readonly string[] {
		const quarantined: string[] = [];
		for (const entry of entries) {
			const {part} = entry;
			if (part.length > maxPartLength) {
				continue;
			}

			const evidence = this._obtain(part);
			const isKnown = evidence.isQuarantined(now);
			evidence.merge(entry, now);
			const progressAt = this._progress.get(part);
			if (progressAt !== undefined) {
				evidence.clear(progressAt);
			}

			if (!isKnown && evidence.isQuarantined(now)) {
				quarantined.push(part);
			}
		}

		this._evict(now);
		return quarantined;
	}

	/** Text that differs if the set of quarantined parts or their trials differ; '' if there are none. */
	digest(now: number): string {
		const parts = this.quarantined(now);
		return parts.length === 0
			? ''
			: hashString(
					parts
						.map(part => `${part} ${this._evidence.get(part)!.trials}`)
						.join('\n'),
				).toString(36);
	}

	/** An operator lifts a quarantine: forgets the part's evidence up to now. Returns whether there was any. */
	lift(part: string, now: number): boolean {
		return this._evidence.get(part)?.clear(now + 1) ?? false;
	}

	private _obtain(part: string): PartEvidence {
		const known = this._evidence.get(part);
		if (known !== undefined) {
			return known;
		}

		const evidence = PartEvidence.create();
		this._evidence.set(part, evidence);
		return evidence;
	}

	/** Evicts parts with the fewest moments first, of these the oldest. Several at once, as it looks at all. */
	private _evict(now: number): void {
		if (this._evidence.size <= maxTrackedParts) {
			return;
		}

		const ranked = [...this._evidence]
			.map(([part, evidence]) => ({
				part,
				rank: evidence.isQuarantined(now)
					? Infinity
					: evidence.countMoments(now),
				changedAt: evidence.changedAt,
			}))
			.toSorted((a, b) =>
				a.rank === b.rank ? a.changedAt - b.changedAt : a.rank - b.rank,
			);
		for (const {part} of ranked.slice(0, -partsAfterEviction)) {
			this._evidence.delete(part);
		}
	}
}

function usedParts(parts: readonly string[]): readonly string[] {
	return parts
		.slice(0, maxPartsPerRequest)
		.filter(({length}) => length > 0 && length <= maxPartLength);
}
