/** Tokens spent at one time. Returned tokens are subtracted from `tokens`. */
export type Spend = {
	readonly at: number;
	tokens: number;
};

/** A limit and the time from which it is in force. */
export type LimitInForce = {
	readonly from: number;
	readonly tokensPerSecond: number;
	readonly burstTokens: number;
};

/** Time within which an accepted limit must be in force on all entries, in milliseconds. */
export const limitPropagationMs = 5000;

/** A window in which more tokens were spent than allowed. */
export type Excess = {
	readonly from: number;
	readonly to: number;
	readonly spent: number;
	readonly allowed: number;
};

/** Tolerance for rounding errors, in tokens. */
const toleranceTokens = 1e-6;

/**
 * Checks spending against the definition of one global token bucket: in each window, at most rate times length
 * plus burst may be spent. While a limit change propagates, the higher of the old and the new limit applies.
 * Checks all windows and returns the one with the largest excess, or undefined if no window has any.
 */
export function findLargestExcess(
	spends: readonly Spend[],
	limits: readonly LimitInForce[],
): Excess | undefined {
	const accrued = spends.map(({at}) => accruedTokens(limits, at));
	let worst: Excess | undefined;
	for (let i = 0; i < spends.length; i++) {
		const from = spends[i]?.at ?? 0;
		let spent = 0;
		for (let j = i; j < spends.length; j++) {
			const to = spends[j]?.at ?? 0;
			spent += spends[j]?.tokens ?? 0;
			const allowed =
				highestBurst(limits, from, to) + (accrued[j] ?? 0) - (accrued[i] ?? 0);
			const worstExcessTokens =
				worst === undefined ? toleranceTokens : worst.spent - worst.allowed;
			if (spent - allowed > worstExcessTokens) {
				worst = {from, to, spent, allowed};
			}
		}
	}

	return worst;
}

/** Returns whether one global token bucket with the limit in force would admit the tokens now. */
export function isInsideRate(
	spends: readonly Spend[],
	limit: LimitInForce,
	tokens: number,
	now: number,
): boolean {
	let spent = tokens;
	if (spent > limit.burstTokens) {
		return false;
	}

	for (let i = spends.length - 1; i >= 0; i--) {
		const spend = spends[i];
		if (spend === undefined || spend.at < limit.from) {
			break;
		}

		spent += spend.tokens;
		const accrued = (limit.tokensPerSecond * (now - spend.at)) / 1000;
		if (spent > limit.burstTokens + accrued) {
			return false;
		}
	}

	return true;
}

function highestBurst(
	limits: readonly LimitInForce[],
	from: number,
	to: number,
): number {
	let burst = 0;
	for (const [i, limit] of limits.entries()) {
		const until = limits[i + 1]?.from ?? Number.POSITIVE_INFINITY;
		if (limit.from <= to && until + limitPropagationMs > from) {
			burst = Math.max(burst, limit.burstTokens);
		}
	}

	return burst;
}

/** Returns the integral, from time 0, of the highest rate that may still be in force. */
function accruedTokens(limits: readonly LimitInForce[], to: number): number {
	const points = [0, to];
	for (const limit of limits) {
		points.push(limit.from, limit.from + limitPropagationMs);
	}

	const ordered = points.filter(point => point <= to).toSorted((a, b) => a - b);
	let sum = 0;
	for (let i = 0; i + 1 < ordered.length; i++) {
		const start = ordered[i] ?? 0;
		const end = ordered[i + 1] ?? 0;
		sum += (highestRate(limits, start, end) * (end - start)) / 1000;
	}

	return sum;
}

function highestRate(
	limits: readonly LimitInForce[],
	start: number,
	end: number,
): number {
	let highest = 0;
	for (const [i, limit] of limits.entries()) {
		const until = limits[i + 1]?.from ?? Number.POSITIVE_INFINITY;
		if (limit.from < end && until + limitPropagationMs > start) {
			highest = Math.max(highest, limit.tokensPerSecond);
		}
	}

	return highest;
}
