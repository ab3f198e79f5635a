import type {ClaimResult, RecordedOutcome} from '../entry/types.js';

/** The row of one claim in the table service, keyed by customer and idempotency key. */
export type ClaimRow = {
	/** Identifier of the request that made the claim. The entry recognizes its own row by it after a lost answer. */
	readonly claimId: string;
	readonly entryId: string;
	readonly bodyDigest: string;
	/** Milliseconds since the epoch. */
	readonly claimedAt: number;
	/** A released row is free for a new claim. It is not deleted, so that a delayed insert still fails its condition. */
	readonly state: 'claimed' | 'done' | 'unknown' | 'released';
	readonly outcome?: RecordedOutcome;
	/** Name of the object that holds the outcome if it is too large for the row. */
	readonly outcomeObject?: string;
};

/** A claim's row with its version in the store. */
export type VersionedClaimRow = {
	readonly row: ClaimRow;
	readonly version: number;
};

/** Record of how a claimed call ended. */
export type ClaimRecord =
	| {readonly kind: 'outcome'; readonly outcome: RecordedOutcome}
	| {readonly kind: 'object'; readonly name: string}
	/** The call ended, but its outcome could not be stored. */
	| {readonly kind: 'unknown'};

/** One conditional write of a batch. */
export type ClaimWrite = {
	readonly key: string;
	readonly row: ClaimRow;
	/** Required version of the row. Absent: there must be no row yet. */
	readonly version?: number;
};

/** Result of a batch of conditional writes. A batch is atomic. */
export type ClaimBatchResult =
	| {readonly kind: 'committed'; readonly versions: readonly number[]}
	| {
			readonly kind: 'conflict';
			readonly conflicts: ReadonlyArray<{
				readonly index: number;
				readonly current?: VersionedClaimRow;
			}>;
	  }
	/** The batch definitely took no effect. */
	| {readonly kind: 'unavailable'}
	/** The answer was lost: the batch may have taken effect or may still do so. */
	| {readonly kind: 'lost'};

/** Input of `ClaimCore`. Times are in milliseconds since the epoch. */
export type ClaimEvent =
	| {
			readonly type: 'claimRequested';
			readonly claimId: string;
			/** Key of the row, made of customer and idempotency key. */
			readonly key: string;
			readonly bodyDigest: string;
	  }
	| {
			readonly type: 'recordRequested';
			readonly claimId: string;
			readonly record: ClaimRecord;
	  }
	/** The claimed call definitely did not run. */
	| {readonly type: 'releaseRequested'; readonly claimId: string}
	| {
			readonly type: 'batchSettled';
			readonly batchId: number;
			readonly result: ClaimBatchResult;
	  }
	/** Sends the collected writes. */
	| {readonly type: 'tick'};

/** Answer to a claim. An outcome that is too large for the row is given by the name of its object. */
export type ClaimAnswer =
	ClaimResult | {readonly kind: 'recordedInObject'; readonly name: string};

/** Output of `ClaimCore`. */
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
	/** The record or release is in the store (`isStored`), or the attempts to store it have ended. */
	| {
			readonly type: 'settleEnd';
			readonly claimId: string;
			readonly isStored: boolean;
	  };
