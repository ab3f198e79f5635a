import type {ClaimResult, RecordedOutcome} from '../entry/types.js';

/** The row of one claim in the table service, under customer and idempotency key. */
export type ClaimRow = {
	/** Identifier of the request that claimed, to recognise it after a lost answer. */
	readonly claimId: string;
	readonly entryId: string;
	readonly bodyDigest: string;
	/** Milliseconds since the epoch. */
	readonly claimedAt: number;
	/** A released row is free for a new claim. It stays, so that a late insert finds it. */
	readonly state: 'claimed' | 'done' | 'unknown' | 'released';
	readonly outcome?: RecordedOutcome;
	/** Object that holds the outcome where it is too large for the row. */
	readonly outcomeObject?: string;
};

/** A claim's row with the version under which the store has it. */
export type VersionedClaimRow = {
	readonly row: ClaimRow;
	readonly version: number;
};

/** What is kept of the end of a claimed call. */
export type ClaimRecord =
	| {readonly kind: 'outcome'; readonly outcome: RecordedOutcome}
	| {readonly kind: 'object'; readonly name: string}
	/** The call ended, but how could not be kept. */
	| {readonly kind: 'unknown'};

/** One conditional write of a batch. */
export type ClaimWrite = {
	readonly key: string;
	readonly row: ClaimRow;
	/** Absent: only where there is no row yet. */
	readonly version?: number;
};

/** How a batch of conditional writes ended. All of it took effect or nothing. */
export type ClaimBatchResult =
	| {readonly kind: 'committed'; readonly versions: readonly number[]}
	| {
			readonly kind: 'conflict';
			readonly conflicts: ReadonlyArray<{
				readonly index: number;
				readonly current?: VersionedClaimRow;
			}>;
	  }
	/** Surely without effect. */
	| {readonly kind: 'unavailable'}
	/** May have taken effect, or may still. */
	| {readonly kind: 'lost'};

/** Input of the decisions over claims. Times are milliseconds since the epoch. */
export type ClaimEvent =
	| {
			readonly type: 'claimRequested';
			readonly claimId: string;
			/** Key of the row: customer and idempotency key. */
			readonly key: string;
			readonly bodyDigest: string;
	  }
	| {
			readonly type: 'recordRequested';
			readonly claimId: string;
			readonly record: ClaimRecord;
	  }
	/** The claimed call surely did not run. */
	| {readonly type: 'releaseRequested'; readonly claimId: string}
	| {
			readonly type: 'batchSettled';
			readonly batchId: number;
			readonly result: ClaimBatchResult;
	  }
	/** Time to send what was collected. */
	| {readonly type: 'tick'};

/** Answer to a claim, with the name of the object where the outcome is kept apart. */
export type ClaimAnswer =
	ClaimResult | {readonly kind: 'recordedInObject'; readonly name: string};

/** Output of the decisions over claims. */
export type ClaimCommand =
	| {
			readonly type: 'writeBatch';
			readonly batchId: number;
			readonly writes: readonly ClaimWrite[];
	  }
	| {
			readonly type: 'settleClaim';
			readonly claimId: string;
			readonly answer: ClaimAnswer;
	  }
	/** The record or release is in the store, or was given up. */
	| {
			readonly type: 'settleEnd';
			readonly claimId: string;
			readonly isKept: boolean;
	  };
