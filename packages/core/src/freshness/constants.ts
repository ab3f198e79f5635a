/**
 * Growth of the time of day against the steady clock that counts as a suspension, in milliseconds. Clocks that
 * are disciplined drift by less than a millisecond between two looks.
 */
export const suspensionThresholdMs = 100;

/** Part of the bound on withdrawn keys that is left for the way to the backend server, in milliseconds. */
export const freshnessMarginMs = 500;
