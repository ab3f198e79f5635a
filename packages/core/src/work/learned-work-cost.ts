import {
	reportLifetimeMs,
	runningRequestCostMs,
} from '../placement/constants.js';
import type {ServerNeed} from '../placement/types.js';
import {firstEventMs} from './expected-time-cost.js';
import type {OutputProgress} from './output-progress.js';
import type {EngineCandidate} from './types.js';

/** What the cost of an engine depends on beside the engine and the request. */
export type LearnedWork = {
	readonly output: OutputProgress;
	/** Mean number of requests of other entries at the candidates. */
	readonly meanOthers: number;
};

/**
 * Expected time to the first event, as in `expectedTimeCost`, but the requests at the engine count by how long they are
 * expected to run beside this one.
 */
export function learnedWorkCost(
	candidate: EngineCandidate,
	need: ServerNeed,
	{output, meanOthers}: LearnedWork,
	now: number,
): number {
	const {server} = candidate;
	const events = output.remaining(now);
	const othersOverlap =
		othersAt(server, meanOthers, now) *
		Math.min(1, output.residual(now) / events);
	const overlap = server.outputs.overlap(events, now) + othersOverlap;
	return firstEventMs(candidate, need, now) + runningRequestCostMs * overlap;
}

/** Requests of other entries at an engine: those of its report, and the mean of the candidates as the report grows old. */
function othersAt(
	server: EngineCandidate['server'],
	mean: number,
	now: number,
): number {
	const weight = Math.max(0, 1 - server.reportAgeMs(now) / reportLifetimeMs);
	return weight * reportedOthers(server, now) + (1 - weight) * mean;
}

/** Requests of other entries at an engine by its report. */
export function reportedOthers(
	server: EngineCandidate['server'],
	now: number,
): number {
	return Math.max(0, server.requestCount(now) - server.outputs.size);
}
