/** Token bucket parameters of a customer. */
export type RateLimit = {
	readonly tokensPerSecond: number;
	readonly burstTokens: number;
};

/** Tokens spent at a time `at`, in milliseconds. */
export type Spend = {readonly at: number; readonly tokens: number};

/** A time window in which more tokens were spent than the rate and burst allow. Times are in milliseconds. */
export type Excess = {
	readonly from: number;
	readonly to: number;
	readonly spent: number;
	readonly allowed: number;
};

/**
 * Finds the window in which spending exceeds the limit by the most tokens. The limit of a window is its length times the
 * rate, plus the burst. Returns undefined if no window exceeds its limit.
 * @param slackMs maximum delay between a spend and its timestamp, which is added to the length of each window
 */
export function findLargestExcess(
	spends: readonly Spend[],
	limit: RateLimit,
	slackMs: number,
): Excess | undefined {
	const sorted = spends.toSorted((a, b) => a.at - b.at);
	const excesses = sorted.flatMap((first, i) =>
		findExcessesFrom(first, sorted.slice(i), limit, slackMs),
	);
	return excesses.toSorted(
		(a, b) => b.spent - b.allowed - (a.spent - a.allowed),
	)[0];
}

function findExcessesFrom(
	first: Spend,
	rest: readonly Spend[],
	{tokensPerSecond, burstTokens}: RateLimit,
	slackMs: number,
): readonly Excess[] {
	let spent = 0;
	return rest.flatMap(spend => {
		spent += spend.tokens;
		const lengthMs = spend.at - first.at + slackMs;
		const allowed = (tokensPerSecond * lengthMs) / 1000 + burstTokens;
		return spent > allowed
			? [{from: first.at, to: spend.at, spent, allowed}]
			: [];
	});
}
