import {
	cachedPromptCreditMs,
	crossZoneCostMs,
	runningRequestCostMs,
} from '../placement/constants.js';
import {drainedDebt} from '../placement/prompt-pacer.js';
import type {EngineCost} from './types.js';

/** Expected time to the first event. Requests at the engine count as they pause with each prompt. */
export const expectedTimeCost: EngineCost = (candidate, need, now) =>
	firstEventMs(candidate, need, now) +
	runningRequestCostMs * candidate.server.requestCount(now);

/**
 * Expected time to the first event: the wait for the prompt's turn, then the prefill of what is ahead and of the prompt at
 * the current pace of the host, then one step. The cost of another zone is included, in milliseconds.
 */
export const firstEventMs: EngineCost = (
	{server, delayMs, zoneDistance, hasSession, stepMs},
	{promptTokens},
	now,
) => {
	const {prefillTokensPerMs} = server;
	const ahead = drainedDebt(
		server.promptDebt(now),
		delayMs,
		prefillTokensPerMs,
	);
	const prefillMs = Math.max(
		0,
		(ahead + promptTokens) / prefillTokensPerMs -
			(hasSession ? cachedPromptCreditMs : 0),
	);
	return (
		delayMs +
		(prefillMs + stepMs) * (server.pace(now) ?? 1) +
		crossZoneCostMs * zoneDistance
	);
};
