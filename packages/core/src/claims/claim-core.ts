import {
	claimLifetimeMs,
	claimPatienceMs,
	failuresUntilDown,
	maxOpenBatches,
	storeProbeMs,
	endPatienceMs,
	endRetryMs,
	inProgressRetryMs,
	maxBatchWrites,
	maxStoreRetryMs,
	minStoreRetryMs,
} from './constants.js';
import {judgeClaim} from './judge-claim.js';
import type {
	ClaimAnswer,
	ClaimBatchResult,
	ClaimCommand,
	ClaimEvent,
	ClaimRecord,
	ClaimRow,
	ClaimWrite,
	VersionedClaimRow,
} from './types.js';

type EventOf<T extends ClaimEvent['type']> = Extract<
	ClaimEvent,
	{readonly type: T}
>;

/** A claim that this entry answers for. */
type LiveClaim = {
	readonly claimId: string;
	readonly key: string;
	readonly requestedAt: number;
	/** The row as it is to be written next. */
	row: ClaimRow;
	/** Condition of the next write. Undefined: there must be no row. */
	version: number | undefined;
	state: 'claiming' | 'granted' | 'recording' | 'releasing';
	/** Whether a write may have taken effect or may still. */
	isUncertain: boolean;
	endRequestedAt: number;
	retryAt: number;
	record: ClaimRecord | undefined;
};

/**
 * Decides over claims on idempotency keys on one entry.
 *
 * A claim is granted when its row was written on the condition that the key was free. Writes are collected and go in
 * one transaction at a time for each short interval. A write whose answer was lost is sent again under the same
 * condition: the row that then stands in its way tells whether the first one took effect.
 */
export class ClaimCore {
	static create(entryId: string): ClaimCore {
		return new ClaimCore(entryId);
	}

	private _batchCount = 0;
	private _downSince: number | undefined;
	private _failures = 0;
	private _failedAt = 0;
	private readonly _claims = new Map<string, LiveClaim>();
	private readonly _byKey = new Map<string, LiveClaim>();
	private readonly _batches = new Map<number, readonly LiveClaim[]>();
	/** Claims whose next write is due. */
	private readonly _queue = new Set<LiveClaim>();
	/** Claims whose next write waits until the store is tried again. */
	private readonly _delayed = new Set<LiveClaim>();

	private constructor(private readonly _entryId: string) {}

	/** Number of claims that have no kept end yet. */
	get size(): number {
		return this._claims.size;
	}

	/** Takes an event and returns what is to be done. */
	handle(event: ClaimEvent, now: number): readonly ClaimCommand[] {
		switch (event.type) {
			case 'claimRequested': {
				return this._claim(event, now);
			}

			case 'recordRequested': {
				return this._record(event, now);
			}

			case 'releaseRequested': {
				return this._release(event.claimId, now);
			}

			case 'batchSettled': {
				return this._settleBatch(event.batchId, event.result, now);
			}

			case 'tick': {
				return this._flush(now);
			}
		}
	}

	private _claim(
		event: EventOf<'claimRequested'>,
		now: number,
	): readonly ClaimCommand[] {
		const {claimId, key, bodyDigest} = event;
		const known = this._byKey.get(key);
		if (known !== undefined) {
			const answer = this._answerFromMemory(known, bodyDigest, now);
			return [{type: 'settleClaim', claimId, answer}];
		}

		if (this._isStoreDown(now)) {
			const retryAfterMs = this._storeRetryMs(now);
			const answer: ClaimAnswer = {kind: 'unavailable', retryAfterMs};
			return [{type: 'settleClaim', claimId, answer}];
		}

		const claim: LiveClaim = {
			claimId,
			key,
			requestedAt: now,
			row: {
				claimId,
				entryId: this._entryId,
				bodyDigest,
				claimedAt: now,
				state: 'claimed',
			},
			version: undefined,
			state: 'claiming',
			isUncertain: false,
			endRequestedAt: now,
			retryAt: now,
			record: undefined,
		};
		this._claims.set(claimId, claim);
		this._byKey.set(key, claim);
		this._queue.add(claim);
		return [];
	}

	/** Answers for a key that this entry has a claim on. */
	private _answerFromMemory(
		known: LiveClaim,
		bodyDigest: string,
		now: number,
	): ClaimAnswer {
		if (known.row.bodyDigest !== bodyDigest) {
			return {kind: 'mismatch'};
		}

		if (known.state === 'recording' && known.record !== undefined) {
			return answerOf(known.record);
		}

		return known.state === 'releasing'
			? {kind: 'unavailable', retryAfterMs: this._storeRetryMs(now)}
			: {kind: 'inProgress', retryAfterMs: inProgressRetryMs};
	}

	private _record(
		event: EventOf<'recordRequested'>,
		now: number,
	): readonly ClaimCommand[] {
		const {claimId, record} = event;
		const claim = this._claims.get(claimId);
		if (claim?.state !== 'granted') {
			return [{type: 'settleEnd', claimId, isKept: false}];
		}

		claim.state = 'recording';
		claim.record = record;
		claim.row = rowWith(claim.row, record);
		this._enqueueEnd(claim, now);
		return [];
	}

	private _release(claimId: string, now: number): readonly ClaimCommand[] {
		const claim = this._claims.get(claimId);
		if (claim?.state !== 'granted') {
			return [{type: 'settleEnd', claimId, isKept: false}];
		}

		this._startRelease(claim, now);
		return [];
	}

	private _startRelease(claim: LiveClaim, now: number): void {
		claim.state = 'releasing';
		claim.row = {...claim.row, state: 'released'};
		this._enqueueEnd(claim, now);
	}

	private _enqueueEnd(claim: LiveClaim, now: number): void {
		claim.endRequestedAt = now;
		claim.retryAt = now;
		this._queue.add(claim);
	}

	/** Sends what is due, in transactions of bounded size. */
	private _flush(now: number): readonly ClaimCommand[] {
		for (const claim of this._delayed) {
			if (now >= claim.retryAt) {
				this._delayed.delete(claim);
				this._queue.add(claim);
			}
		}

		this._forgetOld(now);
		const commands: ClaimCommand[] = [];
		while (this._queue.size > 0 && this._batches.size < maxOpenBatches) {
			commands.push(this._send([...this._queue].slice(0, maxBatchWrites)));
		}

		for (const claim of this._queue) {
			const waitedMs = now - claim.requestedAt;
			if (claim.state === 'claiming' && waitedMs >= claimPatienceMs) {
				commands.push(...this._giveUpClaim(claim, now));
			}
		}

		return commands;
	}

	/** A claim of which nothing was heard for longer than any call takes is left to the row in the store. */
	private _forgetOld(now: number): void {
		for (const claim of this._claims.values()) {
			if (now - claim.requestedAt < 2 * claimLifetimeMs) {
				return;
			}

			this._forget(claim);
		}
	}

	private _send(claims: readonly LiveClaim[]): ClaimCommand {
		const batchId = this._batchCount++;
		this._batches.set(batchId, claims);
		const writes = claims.map((claim): ClaimWrite => {
			const {key, row, version} = claim;
			this._queue.delete(claim);
			return {key, row, ...(version === undefined ? {} : {version})};
		});
		return {type: 'writeBatch', batchId, writes};
	}

	private _settleBatch(
		batchId: number,
		result: ClaimBatchResult,
		now: number,
	): readonly ClaimCommand[] {
		const claims = this._batches.get(batchId);
		if (claims === undefined) {
			return [];
		}

		this._batches.delete(batchId);
		this._noteStore(result.kind, now);
		switch (result.kind) {
			case 'committed': {
				return claims.flatMap((claim, i) =>
					this._committed(claim, result.versions[i] ?? 0),
				);
			}

			case 'conflict': {
				return this._settleConflicts(claims, result.conflicts, now);
			}

			case 'unavailable': {
				return claims.flatMap(claim => this._failed(claim, now));
			}

			case 'lost': {
				return claims.flatMap(claim => {
					claim.isUncertain = true;
					return this._retry(claim, now);
				});
			}
		}
	}

	private _noteStore(kind: ClaimBatchResult['kind'], now: number): void {
		if (kind === 'committed' || kind === 'conflict') {
			this._downSince = undefined;
			this._failures = 0;
			return;
		}

		this._downSince ??= now;
		this._failures++;
		this._failedAt = now;
	}

	/** Whether the store has just failed again, so that a claim need not wait for its next failure. */
	private _isStoreDown(now: number): boolean {
		return (
			this._failures >= failuresUntilDown && now - this._failedAt < storeProbeMs
		);
	}

	/** Nothing of the batch took effect. The writes that met no other row go again. */
	private _settleConflicts(
		claims: readonly LiveClaim[],
		conflicts: Extract<ClaimBatchResult, {kind: 'conflict'}>['conflicts'],
		now: number,
	): readonly ClaimCommand[] {
		if (conflicts.length === 0) {
			return claims.flatMap(claim => this._failed(claim, now));
		}

		const currentOf = new Map(
			conflicts.map(({index, current}) => [index, current]),
		);
		const commands: ClaimCommand[] = [];
		for (const [i, claim] of claims.entries()) {
			if (currentOf.has(i)) {
				commands.push(...this._meet(claim, currentOf.get(i), now));
			} else {
				this._queue.add(claim);
			}
		}

		return [...commands, ...this._flush(now)];
	}

	/** The row was not as the claim's write required. */
	private _meet(
		claim: LiveClaim,
		current: VersionedClaimRow | undefined,
		now: number,
	): readonly ClaimCommand[] {
		if (current === undefined) {
			claim.version = undefined;
			this._queue.add(claim);
			return [];
		}

		return claim.state === 'claiming'
			? this._meetAsClaim(claim, current, now)
			: this._meetAsEnd(claim, current);
	}

	private _meetAsClaim(
		claim: LiveClaim,
		current: VersionedClaimRow,
		now: number,
	): readonly ClaimCommand[] {
		const {claimId, row} = claim;
		const verdict = judgeClaim(
			{claimId, entryId: this._entryId, bodyDigest: row.bodyDigest},
			current,
			id => this._claims.has(id),
			now,
		);
		switch (verdict.kind) {
			case 'own': {
				return this._committed(claim, current.version);
			}

			case 'free': {
				claim.version = current.version;
				this._queue.add(claim);
				return [];
			}

			case 'answered': {
				this._forget(claim);
				const {answer} = verdict;
				return [{type: 'settleClaim', claimId, answer}];
			}
		}
	}

	/** An end meets its own claim, or its own earlier write, or a row that is none of its business. */
	private _meetAsEnd(
		claim: LiveClaim,
		current: VersionedClaimRow,
	): readonly ClaimCommand[] {
		const isOwn = current.row.claimId === claim.claimId;
		if (isOwn && current.row.state === 'claimed') {
			claim.version = current.version;
			this._queue.add(claim);
			return [];
		}

		return this._end(claim, isOwn);
	}

	private _committed(
		claim: LiveClaim,
		version: number,
	): readonly ClaimCommand[] {
		claim.isUncertain = false;
		claim.version = version;
		if (claim.state !== 'claiming') {
			return this._end(claim, true);
		}

		claim.state = 'granted';
		const {claimId} = claim;
		return [{type: 'settleClaim', claimId, answer: {kind: 'granted'}}];
	}

	/** The write surely took no effect. */
	private _failed(claim: LiveClaim, now: number): readonly ClaimCommand[] {
		return claim.state === 'claiming'
			? this._giveUpClaim(claim, now)
			: this._delayEnd(claim, now);
	}

	/** Sends a write again whose answer was lost. */
	private _retry(claim: LiveClaim, now: number): readonly ClaimCommand[] {
		if (claim.state !== 'claiming') {
			return this._delayEnd(claim, now);
		}

		if (now - claim.requestedAt >= claimPatienceMs) {
			return this._giveUpClaim(claim, now);
		}

		this._queue.add(claim);
		return [];
	}

	/** Refuses a claim without running anything. If its row may still appear, it is released as soon as possible. */
	private _giveUpClaim(claim: LiveClaim, now: number): readonly ClaimCommand[] {
		const {claimId} = claim;
		if (claim.isUncertain) {
			this._startRelease(claim, now);
			this._queue.delete(claim);
			this._delayEnd(claim, now);
		} else {
			this._forget(claim);
		}

		const retryAfterMs = this._storeRetryMs(now);
		const answer: ClaimAnswer = {kind: 'unavailable', retryAfterMs};
		return [{type: 'settleClaim', claimId, answer}];
	}

	private _delayEnd(claim: LiveClaim, now: number): readonly ClaimCommand[] {
		if (now - claim.endRequestedAt >= endPatienceMs) {
			return this._end(claim, false);
		}

		claim.retryAt = now + endRetryMs;
		this._delayed.add(claim);
		return [];
	}

	private _end(claim: LiveClaim, isKept: boolean): readonly ClaimCommand[] {
		this._forget(claim);
		return [{type: 'settleEnd', claimId: claim.claimId, isKept}];
	}

	private _forget(claim: LiveClaim): void {
		this._claims.delete(claim.claimId);
		this._byKey.delete(claim.key);
		this._queue.delete(claim);
		this._delayed.delete(claim);
	}

	/** When to come back while the store is down: outages that have lasted long tend to last on. */
	private _storeRetryMs(now: number): number {
		const downMs = now - (this._downSince ?? now);
		return Math.min(maxStoreRetryMs, Math.max(minStoreRetryMs, downMs));
	}
}

function rowWith(row: ClaimRow, record: ClaimRecord): ClaimRow {
	switch (record.kind) {
		case 'outcome': {
			return {...row, state: 'done', outcome: record.outcome};
		}

		case 'object': {
			return {...row, state: 'done', outcomeObject: record.name};
		}

		case 'unknown': {
			return {...row, state: 'unknown'};
		}
	}
}

function answerOf(record: ClaimRecord): ClaimAnswer {
	switch (record.kind) {
		case 'outcome': {
			return {kind: 'recorded', outcome: record.outcome};
		}

		case 'object': {
			return {kind: 'recordedInObject', name: record.name};
		}

		case 'unknown': {
			return {kind: 'unknownOutcome'};
		}
	}
}
