import {
	cachedPromptCreditMs,
	crossZoneCostMs,
	runningRequestCostMs,
} from '../placement/constants.js';
import type {EngineCost} from './types.js';

/** Cost by the wait for the prompt's turn and the number of requests at the engine. Needs no report of the engine. */
export const runningCountCost: EngineCost = (
	{server, delayMs, zoneDistance, hasSession},
	_need,
	now,
) =>
	delayMs +
	runningRequestCostMs * server.requestCount(now) +
	crossZoneCostMs * zoneDistance -
	(hasSession ? cachedPromptCreditMs : 0);
