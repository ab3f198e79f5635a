import type {ClaimAnswer, VersionedClaimRow} from './types.js';
import {claimLifetimeMs, inProgressRetryMs} from './constants.js';

/** A claim that met a row under its key. */
export type ClaimAttempt = {
	readonly claimId: string;
	readonly entryId: string;
	readonly bodyDigest: string;
};

/** What a claim that met a row may do. */
export type ClaimVerdict =
	/** The row is the claim's own: an earlier write took effect. */
	| {readonly kind: 'own'}
	/** The row is free: claim it under its version. */
	| {readonly kind: 'free'}
	| {readonly kind: 'answered'; readonly answer: ClaimAnswer};

/**
 * Judges a claim against the row that is there.
 *
 * @param isLive Whether a claim of this entry still runs.
 */
export function judgeClaim(
	attempt: ClaimAttempt,
	current: VersionedClaimRow,
	isLive: (claimId: string) => boolean,
	now: number,
): ClaimVerdict {
	const {row} = current;
	if (row.state === 'released') {
		return {kind: 'free'};
	}

	if (row.claimId === attempt.claimId && row.state === 'claimed') {
		return {kind: 'own'};
	}

	if (row.bodyDigest !== attempt.bodyDigest) {
		return {kind: 'answered', answer: {kind: 'mismatch'}};
	}

	if (row.state === 'done' && row.outcome !== undefined) {
		const {outcome} = row;
		return {kind: 'answered', answer: {kind: 'recorded', outcome}};
	}

	if (row.state === 'done' && row.outcomeObject !== undefined) {
		const name = row.outcomeObject;
		return {kind: 'answered', answer: {kind: 'recordedInObject', name}};
	}

	const isRunning =
		row.state === 'claimed' &&
		now - row.claimedAt < claimLifetimeMs &&
		(row.entryId !== attempt.entryId || isLive(row.claimId));
	const answer: ClaimAnswer = isRunning
		? {kind: 'inProgress', retryAfterMs: inProgressRetryMs}
		: {kind: 'unknownOutcome'};
	return {kind: 'answered', answer};
}
