import type {AdapterState} from '../agent/types.js';
import type {AgentHost} from '../membership/types.js';
import type {
	RoutingFleet,
	RoutingPolicy,
	RoutingQuery,
	ServerLoad,
} from './types.js';

/** Weights of the default policy. Costs are expressed as the equivalent wait in milliseconds. */
export type RoutingWeights = {
	/** Cost of an adapter that has to be loaded first. */
	readonly absentMs: number;
	/**
	 * Cost of an adapter that has to be loaded first on its most preferred server while that server is in slow start. It
	 * is below `residentBeyondTargetMs`, so adapters return to the server although other servers hold them by now.
	 */
	readonly absentOnReturnMs: number;
	/** Cost of an adapter that is being loaded. */
	readonly loadingMs: number;
	/** Cost of each rank beyond the subject's target server count, if the adapter is not resident on the server. */
	readonly beyondTargetMs: number;
	/** Cost of each rank beyond the subject's target server count, if the adapter is resident on the server. */
	readonly residentBeyondTargetMs: number;
	/** Cost of a full window of outstanding work. */
	readonly fullWindowMs: number;
	/** Additional cost of each window of outstanding work beyond the first, which has to wait for the first. */
	readonly queuedWindowMs: number;
	/** Cost of a suspected server, which has failed several times in a row. */
	readonly suspectedMs: number;
	/** This entry's dispatches in flight for one adapter that raise its target server count by one. */
	readonly demandPerExtraServer: number;
};

const defaultWeights: RoutingWeights = {
	absentMs: 2000,
	absentOnReturnMs: 200,
	loadingMs: 300,
	beyondTargetMs: 900,
	residentBeyondTargetMs: 300,
	fullWindowMs: 200,
	queuedWindowMs: 500,
	suspectedMs: 600_000,
	demandPerExtraServer: 1,
};

/**
 * Chooses the subject's preferred server with the lowest cost: expected wait, outstanding work, load of the adapter,
 * and rank beyond a target server count that grows with the subject's demand.
 */
export const defaultRoutingPolicy: RoutingPolicy =
	createRoutingPolicy(defaultWeights);

/** Creates a routing policy with the given weights. */
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
	const targetCount = targetServerCount(query, fleet, weights);
	let best: AgentHost | undefined;
	let lowestCost = Infinity;
	for (const [rank, host] of fleet.preferred(query, now).entries()) {
		const ranksBeyond = Math.max(0, rank - targetCount + 1);
		const state = fleet.adapterState(query.subject, host.id);
		const isReturning = rank === 0 && fleet.isInSlowStart(host, now);
		const cost =
			rankCost(state, weights) * ranksBeyond +
			adapterCost(query, state, isReturning, weights) +
			loadCost(fleet.load(host.id, now, query.customer), weights);
		if (cost < lowestCost) {
			best = host;
			lowestCost = cost;
		}
	}

	return best;
}

/** Number of top-ranked servers that a subject may use without a rank cost: all for a service, few for an adapter. */
function targetServerCount(
	query: RoutingQuery,
	fleet: RoutingFleet,
	weights: RoutingWeights,
): number {
	if (query.backend.kind === 'service') {
		return Infinity;
	}

	return (
		1 + Math.floor(fleet.demand(query.subject) / weights.demandPerExtraServer)
	);
}

/** Cost of each rank beyond the target server count. It is lower if the server already holds the adapter. */
function rankCost(state: AdapterState, weights: RoutingWeights): number {
	return state === 'resident'
		? weights.residentBeyondTargetMs
		: weights.beyondTargetMs;
}

/** @param isReturning whether the server is the query's most preferred one and in slow start */
function adapterCost(
	query: RoutingQuery,
	state: AdapterState,
	isReturning: boolean,
	weights: RoutingWeights,
): number {
	if (query.backend.kind === 'service') {
		return 0;
	}

	const costs: Readonly<Record<AdapterState, number>> = {
		resident: 0,
		loading: weights.loadingMs,
		absent: isReturning ? weights.absentOnReturnMs : weights.absentMs,
	};
	return costs[state];
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
