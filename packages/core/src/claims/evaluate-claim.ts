import type {ClaimAnswer, VersionedClaimRow} from './types.js';
import {claimLifetimeMs, inProgressRetryMs} from './constants.js';

/** A claim on a key that already has a row. */
export type ClaimAttempt = {
	readonly claimId: string;
	readonly entryId: string;
	readonly bodyDigest: string;
};

/** How to proceed with a claim on a key that already has a row. */
export type ClaimDecision =
	/** The row is the claim's own: an earlier write took effect. */
	| {readonly kind: 'own'}
	/** The row is released: claim it on the condition of its current version. */
	| {readonly kind: 'free'}
	| {readonly kind: 'answered'; readonly answer: ClaimAnswer};

/**
 * Decides a claim by the existing row of its key.
 *
 * @param isOpen returns whether a claim of this entry is still open
 */
export function evaluateClaim(
	attempt: ClaimAttempt,
	current: VersionedClaimRow,
	isOpen: (claimId: string) => boolean,
	now: number,
): ClaimDecision {
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
		(row.entryId !== attempt.entryId || isOpen(row.claimId));
	const answer: ClaimAnswer = isRunning
		? {kind: 'inProgress', retryAfterMs: inProgressRetryMs}
		: {kind: 'unknownOutcome'};
	return {kind: 'answered', answer};
}
