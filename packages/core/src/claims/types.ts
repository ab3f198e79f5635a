import type {RecordedOutcome} from '../entry/types.js';

/** The row of one claim in the table service, under customer and idempotency key. */
export type ClaimRow = {
	/** Identifier of the request that claimed, to recognise it after a lost answer. */
	readonly claimId: string;
	readonly entryId: string;
	readonly bodyDigest: string;
	/** Milliseconds since the epoch. */
	readonly claimedAt: number;
	readonly state: 'claimed' | 'done' | 'unknown';
	readonly outcome?: RecordedOutcome;
};
