/**
 * Advance of the wall clock over the monotonic clock that counts as a suspension, in milliseconds. Synchronized clocks
 * drift by less than a millisecond between two checks.
 */
export const suspensionThresholdMs = 100;

/** Part of the time limit on withdrawn keys that is reserved for the path to the backend server, in milliseconds. */
export const freshnessMarginMs = 500;
