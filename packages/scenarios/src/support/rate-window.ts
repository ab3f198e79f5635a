/** A customer's rate and burst. */
export type RateLimit = {
	readonly tokensPerSecond: number;
	readonly burstTokens: number;
};

/** Tokens spent at one time, in milliseconds. */
export type Spend = {readonly at: number; readonly tokens: number};

/** A window in which more was spent than the rate and burst allow. */
export type Excess = {
	readonly from: number;
	readonly to: number;
	readonly spent: number;
	readonly allowed: number;
};

/**
 * Finds the worst window of any length in which more was spent than the rate times its length plus the burst.
 * `slackMs` is added to each window's length, for the time between a spend and its note.
 */
export function worstExcess(
	spends: readonly Spend[],
	limit: RateLimit,
	slackMs: number,
): Excess | undefined {
	const sorted = spends.toSorted((a, b) => a.at - b.at);
	const excesses = sorted.flatMap((first, i) =>
		excessesFrom(first, sorted.slice(i), limit, slackMs),
	);
	return excesses.toSorted(
		(a, b) => b.spent - b.allowed - (a.spent - a.allowed),
	)[0];
}

function excessesFrom(
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
