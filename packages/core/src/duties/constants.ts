import {suspensionThresholdMs} from '../freshness/constants.js';

/** Interval of renewals, in milliseconds. Each is a billed call to the store. */
export const dutyRenewalMs = 1000;

/** Renewals within a lease of the shortest kind: one may be lost, and one may be late. */
const renewalsPerLease = 3;

/** Interval at which an entry that does not hold the lease reads its row, in milliseconds. */
export const leaseWatchMs = 1000;

/** Pause before a row is read after a write without an answer, in milliseconds: some transactions. */
export const leaseSettleMs = 50;

/** Minimum pause between such reads, in milliseconds, while the store does not answer. */
export const leaseSettleRetryMs = 200;

/**
 * Entries at the head of the order that watch the row. If both end at once, those entries take over that read the store for
 * their zones: they notice each other's end by heartbeats.
 */
export const leaseWatchers = 2;

/** Time by which each entry in the order tries to take a free lease later than the one before it, in milliseconds: many transactions. */
export const takeStepMs = 200;

/** The same for an entry that goes last, in milliseconds: all others that watch have read the row once and tried. */
export const takeLastMs = 1500;

/** Difference in the rate of two monotonic clocks, as a share. Clocks of computers differ by less than a thousandth. */
const maxDriftShare = 0.01;

/**
 * Time for a call from the check of the right until the platform has it, in milliseconds. Calls end this long before the
 * right does; a call that has ended is not sent again by the system, as its connection is reset.
 */
export const callDeliveryMs = 200;

/** Time without an answer of the platform to due calls after which the holder gives the lease back, in milliseconds. */
export const maxUnansweredMs = 2000;

/** Time for which an entry goes last after it gave the lease back for this reason, in milliseconds. */
export const cutOffPenaltyMs = 10_000;

/** Leases between two such releases over all holders. The platform may be down for all of them. */
export const leasesPerCutOff = 2;

/**
 * Margin by which the holder's right ends before the lease and by which others wait longer, in milliseconds. A suspension
 * below the threshold of the detector is not noticed, so the margin covers one besides the drift.
 */
export function leaseMarginMs(leaseMs: number): number {
	return suspensionThresholdMs + leaseMs * maxDriftShare;
}

/** Time between two renewals, in milliseconds. */
export function renewalIntervalMs(leaseMs: number): number {
	return Math.min(dutyRenewalMs, leaseMs / renewalsPerLease);
}

/** Timeout of a call to the platform, in milliseconds, unless the right to act ends before: many times a usual response. */
const maxCallMs = 1000;

/** Shortest timeout with which a call is sent, in milliseconds: some round trips between zones. */
const minCallMs = 50;

/** Returns the timeout of a call to the platform, in milliseconds; undefined if the right ends too soon to send one. */
export function callTimeoutMs(rightLeftMs: number): number | undefined {
	const timeoutMs = Math.min(maxCallMs, rightLeftMs - callDeliveryMs);
	return timeoutMs >= minCallMs ? timeoutMs : undefined;
}
