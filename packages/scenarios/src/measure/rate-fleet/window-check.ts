/** Tokens spent at one time. Negative corrections are made by lowering `tokens`. */
export type Spend = {
	readonly at: number;
	tokens: number;
};

/** A limit that operators put in force at one time. */
export type LimitInForce = {
	readonly from: number;
	readonly tokensPerSecond: number;
	readonly burstTokens: number;
};

/** Time within which an accepted limit must hold everywhere. */
export const limitLagMs = 5000;

/** A window in which more was spent than allowed. */
export type Excess = {
	readonly from: number;
	readonly to: number;
	readonly spent: number;
	readonly allowed: number;
};

const roundingTokens = 1e-6;

/**
 * One global token bucket by its definition: over every window, the spent tokens are at most rate times length plus
 * burst. While a changed limit spreads, the more generous one counts. Checks every window and returns the worst.
 */
export function worstExcess(
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
			const worstBy =
				worst === undefined ? roundingTokens : worst.spent - worst.allowed;
			if (spent - allowed > worstBy) {
				worst = {from, to, spent, allowed};
			}
		}
	}

	return worst;
}

/** Whether one global token bucket under the limit in force would let the tokens be spent now. */
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
		if (limit.from <= to && until + limitLagMs > from) {
			burst = Math.max(burst, limit.burstTokens);
		}
	}

	return burst;
}

/** Integral from time 0 over the highest rate that may still be in force. */
function accruedTokens(limits: readonly LimitInForce[], to: number): number {
	const points = [0, to];
	for (const limit of limits) {
		points.push(limit.from, limit.from + limitLagMs);
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
		if (limit.from < end && until + limitLagMs > start) {
			highest = Math.max(highest, limit.tokensPerSecond);
		}
	}

	return highest;
}
