import type {AgentPolicy, RoutingPolicy} from '@balsamtray/core';
import type {RatePolicy} from '../rate-fleet/virtual-entry.js';

/** A combination of policies, used for one run. */
export type ServingPolicy = {
	readonly name: string;
	readonly routing: RoutingPolicy;
	readonly agent: AgentPolicy;
	readonly rate: RatePolicy;
};

/** A customer of the workload. */
export type WorkloadCustomer = {
	readonly name: string;
	/** Usual traffic, in requests a second. */
	readonly requestsPerSecond: number;
	/** Rate limit, in tokens a second. */
	readonly tokensPerSecond: number;
};

/** One request of the workload. */
export type WorkloadRequest = {
	readonly id: string;
	/** Arrival time, in milliseconds since the start of the run. */
	readonly at: number;
	readonly customer: string;
	readonly adapter: string;
	readonly promptTokens: number;
	readonly maxTokens: number;
	/** Number of tokens in the answer. */
	readonly answerTokens: number;
	readonly fingerprint: string;
	/** Whether the request crashes the engine that runs it. */
	readonly isPoison: boolean;
};

/** Outcome of one request as its caller sees it. */
export type RequestEnd =
	| {
			readonly kind: 'answered';
			/** Milliseconds from arrival to the first token. */
			readonly firstTokenMs: number;
			readonly tokens: number;
	  }
	| {
			readonly kind: 'refused';
			readonly code: string;
			readonly hasRetryTime: boolean;
	  }
	/** Only part of the answer arrived. */
	| {readonly kind: 'cut'}
	/** The entry crashed while it held the request. */
	| {readonly kind: 'lost'}
	/** The platform's balancer sent the request to an entry that had crashed. */
	| {readonly kind: 'unreached'};

/** A request with its outcome. */
export type RequestRecord = {
	readonly request: WorkloadRequest;
	readonly end: RequestEnd;
	/** Whether one global token bucket would have admitted the request. */
	readonly isInsideRate: boolean;
	/** Time that the request waited for an adapter load, in milliseconds. 0 if the adapter was resident. */
	readonly loadWaitMs: number;
};

/** A fault or an operator's action during the run. Times are in milliseconds after the end of the warm-up. */
export type Disturbance =
	| {
			readonly kind: 'zoneOut';
			readonly zone: string;
			readonly fromMs: number;
			readonly toMs: number;
	  }
	| {
			readonly kind: 'enginesRestart';
			readonly engines: readonly number[];
			readonly atMs: number;
	  }
	| {
			readonly kind: 'storeDown';
			readonly fromMs: number;
			readonly toMs: number;
	  }
	| {
			readonly kind: 'entryKilled';
			readonly entry: number;
			readonly atMs: number;
	  }
	| {
			readonly kind: 'weightsSlow';
			readonly factor: number;
			readonly fromMs: number;
			readonly toMs: number;
	  };

/** An experiment: the disturbances of the fleet and the deviations from the usual workload. */
export type Experiment = {
	readonly name: string;
	readonly description: string;
	readonly disturbances: readonly Disturbance[];
	/** Time at which the popularity of adapters shifts, in milliseconds after the warm-up. */
	readonly popularityShiftAtMs?: number;
	/** Index of a customer and the factor by which its traffic exceeds the usual. */
	readonly overload?: {readonly customer: number; readonly factor: number};
	/** Interval at which a request that crashes engines (a poison request) is sent, in milliseconds. */
	readonly poisonEveryMs?: number;
};

/** Counters of the fleet, which the request records don't contain. */
export type FleetCounts = {
	readonly loads: number;
	readonly engineCrashes: number;
	/** Mean number of requests that a busy engine runs at once. */
	readonly requestsPerBatch: number;
	readonly overruns: number;
};
