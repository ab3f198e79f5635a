import type {AdapterState} from '../agent/types.js';
import type {AgentHost} from '../membership/types.js';
import type {
	RoutingFleet,
	RoutingPolicy,
	RoutingQuery,
	ServerLoad,
} from './types.js';

/** Weights of the default policy, as the wait in milliseconds that each is worth. */
export type RoutingWeights = {
	/** An adapter that has to be loaded first. */
	readonly absentMs: number;
	/** An adapter that is being loaded. */
	readonly loadingMs: number;
	/** Each place in the order beyond the width. */
	readonly beyondWidthMs: number;
	/** A full window of outstanding work. */
	readonly fullWindowMs: number;
	/** A server that failed several times in a row. */
	readonly suspectedMs: number;
	/** Own dispatches for one adapter that widen its servers by one. */
	readonly demandForEachServer: number;
};

const defaultWeights: RoutingWeights = {
	absentMs: 1000,
	loadingMs: 300,
	beyondWidthMs: 600,
	fullWindowMs: 200,
	suspectedMs: 600_000,
	demandForEachServer: 2,
};

/**
 * Chooses among the subject's preferred servers the one with the least cost: expected wait, load of the adapter,
 * and place in the order beyond a width that grows with the subject's demand.
 */
export const defaultRoutingPolicy: RoutingPolicy =
	createRoutingPolicy(defaultWeights);

/** Creates the default policy with other weights. */
export function createRoutingPolicy(weights: RoutingWeights): RoutingPolicy {
	return {
		name: 'ours',
		choose: (query, fleet, now) => chooseCheapest(query, fleet, now, weights),
	};
}

function chooseCheapest(
	query: RoutingQuery,
	fleet: RoutingFleet,
	now: number,
	weights: RoutingWeights,
): AgentHost | undefined {
	const width = widthOf(query, fleet, weights);
	let best: AgentHost | undefined;
	let leastCost = Infinity;
	for (const [rank, host] of fleet.preferred(query, now).entries()) {
		const placesBeyond = Math.max(0, rank - width + 1);
		const cost =
			placesBeyond * weights.beyondWidthMs +
			adapterCost(query, fleet, host, weights) +
			loadCost(fleet.load(host.id, now, query.customer), weights);
		if (cost < leastCost) {
			best = host;
			leastCost = cost;
		}
	}

	return best;
}

/** Any server runs a plain service; an adapter is kept to few. */
function widthOf(
	query: RoutingQuery,
	fleet: RoutingFleet,
	weights: RoutingWeights,
): number {
	if (query.backend.kind === 'service') {
		return Infinity;
	}

	return (
		1 + Math.floor(fleet.demand(query.subject) / weights.demandForEachServer)
	);
}

function adapterCost(
	query: RoutingQuery,
	fleet: RoutingFleet,
	host: AgentHost,
	weights: RoutingWeights,
): number {
	if (query.backend.kind === 'service') {
		return 0;
	}

	const costs: Readonly<Record<AdapterState, number>> = {
		resident: 0,
		loading: weights.loadingMs,
		absent: weights.absentMs,
	};
	return costs[fleet.adapterState(query.subject, host.id)];
}

function loadCost(load: ServerLoad, weights: RoutingWeights): number {
	return (
		load.expectedWaitMs +
		(load.outstanding / load.window) * weights.fullWindowMs +
		(load.isSuspected ? weights.suspectedMs : 0)
	);
}
