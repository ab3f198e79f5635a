import {
	claimLifetimeMs,
	claimTimeoutMs,
	failuresUntilDown,
	maxBatchesInFlight,
	storeProbeIntervalMs,
	completionTimeoutMs,
	completionRetryMs,
	inProgressRetryMs,
	maxBatchWrites,
	maxStoreRetryMs,
	minStoreRetryMs,
} from './constants.js';
import {evaluateClaim} from './evaluate-claim.js';
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

/** A claim of this entry that is not completed yet, or that was refused although a write may still take effect. */
type OpenClaim = {
	readonly claimId: string;
	readonly key: string;
	readonly requestedAt: number;
	/** The row for the next write. */
	row: ClaimRow;
	/** Required row version of the next write. Undefined: there must be no row. */
	version: number | undefined;
	state: 'claiming' | 'granted' | 'recording' | 'releasing';
	/** Whether a write whose answer was lost may have taken effect or may still do so. */
	isUncertain: boolean;
	completionRequestedAt: number;
	retryAt: number;
	record: ClaimRecord | undefined;
};

/**
 * Manages claims on idempotency keys on one entry.
 *
 * A claim is granted once its row has been written on the condition that the key was free. Writes are collected and
 * sent in batches, each one transaction, on every tick. A write whose answer was lost is retried under the same
 * condition: if that conflicts, the existing row shows whether the first write took effect.
 *
 * The completion of a granted claim records its outcome or releases its key.
 */
export class ClaimCore {
	static create(entryId: string): ClaimCore {
		return new ClaimCore(entryId);
	}

	private _batchCount = 0;
	private _downSince: number | undefined;
	private _failures = 0;
	private _failedAt = 0;
	private readonly _claims = new Map<string, OpenClaim>();
	private readonly _byKey = new Map<string, OpenClaim>();
	private readonly _batches = new Map<number, readonly OpenClaim[]>();
	/** Claims whose next write is due. */
	private readonly _queue = new Set<OpenClaim>();
	/** Claims whose next write is delayed until `retryAt`. */
	private readonly _delayed = new Set<OpenClaim>();

	private constructor(private readonly _entryId: string) {}

	/** Number of claims that are not completed yet. */
	get size(): number {
		return this._claims.size;
	}

	/** Handles an event and returns the commands to execute. */
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
			const answer = this._answerFromOpenClaim(known, bodyDigest, now);
			return [{type: 'settleClaim', claimId, answer}];
		}

		if (this._isStoreDown(now)) {
			const retryAfterMs = this._storeRetryMs(now);
			const answer: ClaimAnswer = {kind: 'unavailable', retryAfterMs};
			return [{type: 'settleClaim', claimId, answer}];
		}

		const claim: OpenClaim = {
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
			completionRequestedAt: now,
			retryAt: now,
			record: undefined,
		};
		this._claims.set(claimId, claim);
		this._byKey.set(key, claim);
		this._queue.add(claim);
		return [];
	}

	/** Answers a claim on a key that this entry itself has an open claim on. */
	private _answerFromOpenClaim(
		known: OpenClaim,
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
			return [{type: 'settleEnd', claimId, isStored: false}];
		}

		claim.state = 'recording';
		claim.record = record;
		claim.row = rowWithRecord(claim.row, record);
		this._enqueueCompletion(claim, now);
		return [];
	}

	private _release(claimId: string, now: number): readonly ClaimCommand[] {
		const claim = this._claims.get(claimId);
		if (claim?.state !== 'granted') {
			return [{type: 'settleEnd', claimId, isStored: false}];
		}

		this._startRelease(claim, now);
		return [];
	}

	private _startRelease(claim: OpenClaim, now: number): void {
		claim.state = 'releasing';
		claim.row = {...claim.row, state: 'released'};
		this._enqueueCompletion(claim, now);
	}

	private _enqueueCompletion(claim: OpenClaim, now: number): void {
		claim.completionRequestedAt = now;
		claim.retryAt = now;
		this._queue.add(claim);
	}

	/** Sends the due writes in batches of limited size and refuses claims that have waited too long. */
	private _flush(now: number): readonly ClaimCommand[] {
		for (const claim of this._delayed) {
			if (now >= claim.retryAt) {
				this._delayed.delete(claim);
				this._queue.add(claim);
			}
		}

		this._removeExpired(now);
		const commands: ClaimCommand[] = [];
		while (this._queue.size > 0 && this._batches.size < maxBatchesInFlight) {
			commands.push(this._send([...this._queue].slice(0, maxBatchWrites)));
		}

		for (const claim of this._queue) {
			const waitedMs = now - claim.requestedAt;
			if (claim.state === 'claiming' && waitedMs >= claimTimeoutMs) {
				commands.push(...this._abandonClaim(claim, now));
			}
		}

		return commands;
	}

	/** Drops claims that are older than any call can be. Their rows stay in the store. */
	private _removeExpired(now: number): void {
		for (const claim of this._claims.values()) {
			if (now - claim.requestedAt < 2 * claimLifetimeMs) {
				return;
			}

			this._remove(claim);
		}
	}

	private _send(claims: readonly OpenClaim[]): ClaimCommand {
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
		this._noteStoreResult(result.kind, now);
		switch (result.kind) {
			case 'committed': {
				return claims.flatMap((claim, i) =>
					this._handleCommitted(claim, result.versions[i] ?? 0),
				);
			}

			case 'conflict': {
				return this._handleConflicts(claims, result.conflicts, now);
			}

			case 'unavailable': {
				return claims.flatMap(claim => this._handleFailed(claim, now));
			}

			case 'lost': {
				return claims.flatMap(claim => {
					claim.isUncertain = true;
					return this._retry(claim, now);
				});
			}
		}
	}

	private _noteStoreResult(kind: ClaimBatchResult['kind'], now: number): void {
		if (kind === 'committed' || kind === 'conflict') {
			this._downSince = undefined;
			this._failures = 0;
			return;
		}

		this._downSince ??= now;
		this._failures++;
		this._failedAt = now;
	}

	/** Whether the store has failed repeatedly and recently, so that a claim is refused without trying it. */
	private _isStoreDown(now: number): boolean {
		return (
			this._failures >= failuresUntilDown &&
			now - this._failedAt < storeProbeIntervalMs
		);
	}

	/** No write of the batch took effect. Writes without a conflict of their own are sent again. */
	private _handleConflicts(
		claims: readonly OpenClaim[],
		conflicts: Extract<ClaimBatchResult, {kind: 'conflict'}>['conflicts'],
		now: number,
	): readonly ClaimCommand[] {
		if (conflicts.length === 0) {
			return claims.flatMap(claim => this._handleFailed(claim, now));
		}

		const currentOf = new Map(
			conflicts.map(({index, current}) => [index, current]),
		);
		const commands: ClaimCommand[] = [];
		for (const [i, claim] of claims.entries()) {
			if (currentOf.has(i)) {
				commands.push(...this._handleConflict(claim, currentOf.get(i), now));
			} else {
				this._queue.add(claim);
			}
		}

		return [...commands, ...this._flush(now)];
	}

	/** Handles a write whose condition did not hold. `current` is the existing row. */
	private _handleConflict(
		claim: OpenClaim,
		current: VersionedClaimRow | undefined,
		now: number,
	): readonly ClaimCommand[] {
		if (current === undefined) {
			claim.version = undefined;
			this._queue.add(claim);
			return [];
		}

		return claim.state === 'claiming'
			? this._handleClaimConflict(claim, current, now)
			: this._handleCompletionConflict(claim, current);
	}

	private _handleClaimConflict(
		claim: OpenClaim,
		current: VersionedClaimRow,
		now: number,
	): readonly ClaimCommand[] {
		const {claimId, row} = claim;
		const decision = evaluateClaim(
			{claimId, entryId: this._entryId, bodyDigest: row.bodyDigest},
			current,
			id => this._claims.has(id),
			now,
		);
		switch (decision.kind) {
			case 'own': {
				return this._handleCommitted(claim, current.version);
			}

			case 'free': {
				claim.version = current.version;
				this._queue.add(claim);
				return [];
			}

			case 'answered': {
				this._remove(claim);
				const {answer} = decision;
				return [{type: 'settleClaim', claimId, answer}];
			}
		}
	}

	/** The conflicting row is the claim's own, an earlier write of its completion, or the row of another claim. */
	private _handleCompletionConflict(
		claim: OpenClaim,
		current: VersionedClaimRow,
	): readonly ClaimCommand[] {
		const isOwn = current.row.claimId === claim.claimId;
		if (isOwn && current.row.state === 'claimed') {
			claim.version = current.version;
			this._queue.add(claim);
			return [];
		}

		return this._finish(claim, isOwn);
	}

	private _handleCommitted(
		claim: OpenClaim,
		version: number,
	): readonly ClaimCommand[] {
		claim.isUncertain = false;
		claim.version = version;
		if (claim.state !== 'claiming') {
			return this._finish(claim, true);
		}

		claim.state = 'granted';
		const {claimId} = claim;
		return [{type: 'settleClaim', claimId, answer: {kind: 'granted'}}];
	}

	/** Handles a write that definitely took no effect. */
	private _handleFailed(
		claim: OpenClaim,
		now: number,
	): readonly ClaimCommand[] {
		return claim.state === 'claiming'
			? this._abandonClaim(claim, now)
			: this._delayCompletion(claim, now);
	}

	/** Retries a write whose answer was lost. */
	private _retry(claim: OpenClaim, now: number): readonly ClaimCommand[] {
		if (claim.state !== 'claiming') {
			return this._delayCompletion(claim, now);
		}

		if (now - claim.requestedAt >= claimTimeoutMs) {
			return this._abandonClaim(claim, now);
		}

		this._queue.add(claim);
		return [];
	}

	/** Refuses a claim, so that its call does not run. If a write may still take effect, the row is released as soon as possible. */
	private _abandonClaim(
		claim: OpenClaim,
		now: number,
	): readonly ClaimCommand[] {
		const {claimId} = claim;
		if (claim.isUncertain) {
			this._startRelease(claim, now);
			this._queue.delete(claim);
			this._delayCompletion(claim, now);
		} else {
			this._remove(claim);
		}

		const retryAfterMs = this._storeRetryMs(now);
		const answer: ClaimAnswer = {kind: 'unavailable', retryAfterMs};
		return [{type: 'settleClaim', claimId, answer}];
	}

	private _delayCompletion(
		claim: OpenClaim,
		now: number,
	): readonly ClaimCommand[] {
		if (now - claim.completionRequestedAt >= completionTimeoutMs) {
			return this._finish(claim, false);
		}

		claim.retryAt = now + completionRetryMs;
		this._delayed.add(claim);
		return [];
	}

	private _finish(
		claim: OpenClaim,
		isStored: boolean,
	): readonly ClaimCommand[] {
		this._remove(claim);
		return [{type: 'settleEnd', claimId: claim.claimId, isStored}];
	}

	private _remove(claim: OpenClaim): void {
		this._claims.delete(claim.claimId);
		this._byKey.delete(claim.key);
		this._queue.delete(claim);
		this._delayed.delete(claim);
	}

	/** Retry delay for callers while the store is down. It grows with the outage, as long outages tend to last longer. */
	private _storeRetryMs(now: number): number {
		const downMs = now - (this._downSince ?? now);
		return Math.min(maxStoreRetryMs, Math.max(minStoreRetryMs, downMs));
	}
}

function rowWithRecord(row: ClaimRow, record: ClaimRecord): ClaimRow {
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
