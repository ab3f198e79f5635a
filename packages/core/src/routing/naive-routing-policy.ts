import type {AgentHost} from '../membership/types.js';
import type {RoutingFleet, RoutingPolicy, RoutingQuery} from './types.js';

/** Least-connections routing over all servers. Measurements compare the default policy with it. */
export const naiveRoutingPolicy: RoutingPolicy = {
	name: 'naive',
	choose: chooseLeastConnections,
};

function chooseLeastConnections(
	query: RoutingQuery,
	fleet: RoutingFleet,
	now: number,
): AgentHost | undefined {
	let best: AgentHost | undefined;
	let lowestInFlight = Infinity;
	for (const host of fleet.all(query, now)) {
		const {inFlight} = fleet.load(host.id, now);
		if (inFlight < lowestInFlight) {
			best = host;
			lowestInFlight = inFlight;
		}
	}

	return best;
}
