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
	/** Each place in the order beyond the width, where the adapter is not resident. */
	readonly beyondWidthMs: number;
	/** Each place in the order beyond the width, where the adapter is resident. */
	readonly residentBeyondWidthMs: number;
	/** A full window of outstanding work. */
	readonly fullWindowMs: number;
	/** Each further window of outstanding work, which has to wait for the first. */
	readonly queuedWindowMs: number;
	/** A server that failed several times in a row. */
	readonly suspectedMs: number;
	/** Own dispatches for one adapter that widen its servers by one. */
	readonly demandForEachServer: number;
};

const defaultWeights: RoutingWeights = {
	absentMs: 2000,
	loadingMs: 300,
	beyondWidthMs: 900,
	residentBeyondWidthMs: 300,
	fullWindowMs: 200,
	queuedWindowMs: 500,
	suspectedMs: 600_000,
	demandForEachServer: 1,
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
			placeCost(query, fleet, host, weights) * placesBeyond +
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

/** A server that holds the adapter already is a lesser step aside than one that would have to load it. */
function placeCost(
	query: RoutingQuery,
	fleet: RoutingFleet,
	host: AgentHost,
	weights: RoutingWeights,
): number {
	return fleet.adapterState(query.subject, host.id) === 'resident'
		? weights.residentBeyondWidthMs
		: weights.beyondWidthMs;
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
	const windows = load.outstanding / load.window;
	return (
		load.expectedWaitMs +
		windows * weights.fullWindowMs +
		Math.max(0, windows - 1) * weights.queuedWindowMs +
		(load.isSuspected ? weights.suspectedMs : 0)
	);
}
