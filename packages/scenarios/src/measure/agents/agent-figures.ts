import {measuredMs} from '../serving/constants.js';
import type {Experiment} from '../serving/types.js';
import {workloadCustomers} from '../serving/workload.js';
import type {AgentFleetResult, AgentRecord} from './agent-fleet.js';

/** Figures of one run. */
export type AgentFigures = {
	/** Share of all requests whose adapter was not resident when they arrived at the agent. */
	readonly stalledShare: number;
	readonly stallP50Ms: number;
	readonly stallP99Ms: number;
	readonly loadsPerMinute: number;
	readonly requestsPerBatch: number;
	readonly tokensPerSecond: number;
	readonly servedShare: number;
	/** Worst served share and first-token time over the customers that don't overload the fleet. */
	readonly worstServedShare: number;
	readonly worstFirstTokenP99Ms: number;
	/** Jain's index over the served shares of the same customers. */
	readonly jainIndex: number;
};

const p50 = 0.5;
const p99 = 0.99;

/** Computes the figures of a run. Figures over customers exclude the customer that overloads the fleet. */
export function figuresOf(
	result: AgentFleetResult,
	experiment: Experiment,
): AgentFigures {
	const {records, loads, requestsPerBatch} = result;
	const stalls = records
		.filter(({isStalled}) => isStalled)
		.map(({stallMs}) => stallMs);
	const byCustomer = workloadCustomers
		.filter((_, i) => i !== experiment.overload?.customer)
		.map(({name}) => records.filter(({request}) => request.customer === name));
	const shares = byCustomer.map(list => servedShareOf(list));
	const tokens = records
		.filter(record => isAnswered(record))
		.reduce((sum, {request}) => sum + request.answerTokens, 0);
	return {
		stalledShare: stalls.length / records.length,
		stallP50Ms: quantile(stalls, p50),
		stallP99Ms: quantile(stalls, p99),
		loadsPerMinute: (loads * 60_000) / measuredMs,
		requestsPerBatch,
		tokensPerSecond: (tokens * 1000) / measuredMs,
		servedShare: servedShareOf(records),
		worstServedShare: Math.min(...shares),
		worstFirstTokenP99Ms: Math.max(
			...byCustomer.map(list => firstTokenP99Of(list)),
		),
		jainIndex: jainIndexOf(shares),
	};
}

function isAnswered({code}: AgentRecord): boolean {
	return code === undefined;
}

function servedShareOf(records: readonly AgentRecord[]): number {
	return (
		records.filter(record => isAnswered(record)).length /
		Math.max(1, records.length)
	);
}

function firstTokenP99Of(records: readonly AgentRecord[]): number {
	const times = records.map(({firstTokenMs}) => firstTokenMs ?? Infinity);
	return quantile(
		times.filter(time => Number.isFinite(time)),
		p99,
	);
}

function jainIndexOf(values: readonly number[]): number {
	const sum = values.reduce((total, value) => total + value, 0);
	const squares = values.reduce((total, value) => total + value ** 2, 0);
	return squares === 0 ? 0 : sum ** 2 / (values.length * squares);
}

function quantile(values: readonly number[], share: number): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
}
