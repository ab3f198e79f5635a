import {
	maxMemoryUtilization,
	maxSlotUtilization,
} from '../placement/constants.js';
import type {ServerState} from '../placement/server-state.js';
import type {EngineRule, ServerChoice, ServerNeed} from '../placement/types.js';
import type {Random} from '../common/random.js';
import {expectedTimeCost} from './expected-time-cost.js';
import {learnedWorkCost, reportedOthers} from './learned-work-cost.js';
import {runningCountCost} from './running-count-cost.js';
import type {EngineCandidate} from './types.js';

/** What the choice among engines depends on beside the engines and the request. */
export type EngineChoiceOptions = {
	readonly isWithinColdLimit: (server: ServerState) => boolean;
	readonly zoneDistance: (server: ServerState) => number;
	/** Server that ran the last request of the session; undefined if unknown. */
	readonly sessionServer: string | undefined;
	/** Number of entries that may send to the engines, including this one. */
	readonly entryCount: number;
	readonly random: Random;
	/** Whether requests at an engine count by how long they are expected to run, once the lengths of outputs are known. */
	readonly usesLearnedWork: boolean;
};

/** Chooses the engine that runs a request among those that hold what it needs. */
export function chooseEngine(
	holders: readonly ServerState[],
	need: ServerNeed,
	options: EngineChoiceOptions,
	now: number,
): ServerChoice {
	const {isWithinColdLimit, zoneDistance, sessionServer} = options;
	const open = holders.filter(
		server =>
			server.requestCount(now) < server.record.slots * maxSlotUtilization &&
			server.hasMemoryFor(need.tokens, maxMemoryUtilization, now) &&
			isWithinColdLimit(server),
	);
	const stepMs = meanStepMs(open, need, now);
	const candidates: readonly EngineCandidate[] = open.map(server => ({
		server,
		delayMs: server.promptDelayMs(now, need.promptTokens),
		zoneDistance: zoneDistance(server),
		hasSession: server.record.id === sessionServer,
		stepMs,
	}));
	if (candidates.length === 0) {
		return {kind: holders.length === 0 ? 'noServer' : 'full'};
	}

	const delayMs = Math.min(...candidates.map(candidate => candidate.delayMs));
	if (delayMs > need.maxPromptWaitMs) {
		return {kind: 'promptQueue', delayMs};
	}

	const rule = ruleFor(candidates, need, options, now);
	const costOf = costFor({rule, candidates}, need, options, now);
	const costs = candidates.map(candidate => costOf(candidate));
	const best = candidates[costs.indexOf(Math.min(...costs))]!;
	return {kind: 'send', server: best.server.record.id, rule};
}

/**
 * Mean time of a step of the engines. Theirs differ by less than their streams tell, and a batch that is large now lengthens
 * its steps only until requests end, so one time serves all.
 */
function meanStepMs(
	engines: readonly ServerState[],
	{output}: ServerNeed,
	now: number,
): number {
	const tokensPerEvent = output?.tokensPerEvent(now);
	let sum = 0;
	for (const {intervals} of engines) {
		sum += intervals.stepMs(tokensPerEvent);
	}

	return sum / engines.length;
}

/** Returns the rule that the figures of the candidates and of the request allow. */
function ruleFor(
	candidates: readonly EngineCandidate[],
	{output}: ServerNeed,
	{usesLearnedWork}: EngineChoiceOptions,
	now: number,
): EngineRule {
	if (candidates.some(({server}) => server.pace(now) === undefined)) {
		return 'runningCount';
	}

	return usesLearnedWork && output?.isKnown(now) === true
		? 'learnedWork'
		: 'expectedTime';
}

/** Returns the cost of a candidate by the rule, in milliseconds. */
function costFor(
	{
		rule,
		candidates,
	}: {
		readonly rule: EngineRule;
		readonly candidates: readonly EngineCandidate[];
	},
	need: ServerNeed,
	options: EngineChoiceOptions,
	now: number,
): (candidate: EngineCandidate) => number {
	if (rule === 'runningCount') {
		return candidate => runningCountCost(candidate, need, now);
	}

	if (rule === 'expectedTime') {
		return candidate =>
			expectedTimeCost(candidate, need, now) +
			allowanceMs(candidate, options, now);
	}

	const others = candidates.map(({server}) => reportedOthers(server, now));
	const work = {
		output: need.output!,
		meanOthers: others.reduce((sum, count) => sum + count, 0) / others.length,
	};
	return candidate =>
		learnedWorkCost(candidate, need, work, now) +
		allowanceMs(candidate, options, now);
}

/**
 * Random allowance for prompts that other entries have sent since the engine's report, in milliseconds. They had the same
 * reports, and would otherwise all choose the engine that was idle then. They can have added no more than the report's age.
 */
function allowanceMs(
	{server}: EngineCandidate,
	{entryCount, random}: EngineChoiceOptions,
	now: number,
): number {
	const othersShare = 1 - 1 / Math.max(1, entryCount);
	return server.reportAgeMs(now) * othersShare * random();
}
