import {measureRouting, type RoutingMeasurement} from '../routing.js';
import {measureSpread, type SpreadMeasure} from '../spread.js';
import {measureAgentCost, type AgentCost} from './agent-cost.js';
import {measureEntryCost, type EntryCost} from './entry-cost.js';

/** The slopes that docs/CAPACITY.md works with. */
export type CapacityMeasure = {
	readonly entry: readonly EntryCost[];
	readonly agent: readonly AgentCost[];
	readonly routing: readonly RoutingMeasurement[];
	readonly spread: SpreadMeasure;
};

/** Measures the slopes of state and cost. Times vary with the machine, counts and bytes on the wire do not. */
export async function measureCapacity(seed: number): Promise<CapacityMeasure> {
	return {
		entry: measureEntryCost(),
		agent: measureAgentCost(),
		routing: measureRouting({seed}),
		spread: await measureSpread(seed),
	};
}
