import {measureRouting, type RoutingMeasurement} from '../routing.js';
import {measureSpread, type SpreadMeasurement} from '../spread.js';
import {measureAgentCost, type AgentCost} from './agent-cost.js';
import {measureChoiceCost, type ChoiceCost} from './choice-cost.js';
import {measureEntryCost, type EntryCost} from './entry-cost.js';

/** Costs per request, server and item from which docs/CAPACITY.md derives the capacity. */
export type CapacityMeasurement = {
	readonly entry: readonly EntryCost[];
	readonly choice: readonly ChoiceCost[];
	readonly agent: readonly AgentCost[];
	readonly routing: readonly RoutingMeasurement[];
	readonly spread: SpreadMeasurement;
};

/**
 * Measures memory and processing times per request, server and item.
 * Times depend on the machine; counts and bytes on the wire do not.
 */
export async function measureCapacity(
	seed: number,
): Promise<CapacityMeasurement> {
	return {
		entry: measureEntryCost(),
		choice: measureChoiceCost(),
		agent: measureAgentCost(),
		routing: measureRouting({seed}),
		spread: await measureSpread(seed),
	};
}
