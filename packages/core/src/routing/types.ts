import type {AdapterState, ServerStatus} from '../agent/types.js';
import type {AgentHost, BackendKind} from '../membership/types.js';

/** Requirements of a request for its backend server. */
export type RoutingQuery = {
	/** Served name of the adapter version, or the name of the service. */
	readonly subject: string;
	readonly backend: BackendKind;
	/** Customer that the request belongs to. Agents schedule customers fairly, so waits differ by customer. */
	readonly customer?: string;
	/** Servers that must not be chosen: those of earlier attempts, or those that run another suspect request. */
	readonly avoid: ReadonlySet<string>;
	/** Time until the deadline, in milliseconds. */
	readonly timeLeftMs: number;
};

/** An entry's view of a server's load, from its own dispatches and the server's reports. */
export type ServerLoad = {
	/** This entry's dispatches in flight. */
	readonly inFlight: number;
	/** This entry's dispatches in flight plus reported work of other entries, weighted by the age of the report. */
	readonly outstanding: number;
	/** Number of requests that the backend server can run at the same time. */
	readonly window: number;
	readonly expectedWaitMs: number;
	/** Whether the server failed several times in a row. It ranks last until a dispatch or a probe succeeds. */
	readonly isSuspected: boolean;
};

/** The view of the fleet that routing policies use. */
export type RoutingFleet = {
	/** Usable preferred servers for the subject, best first. The list has limited length. */
	preferred(query: RoutingQuery, now: number): readonly AgentHost[];
	/** All usable servers. Takes time linear in the size of the fleet. */
	all(query: RoutingQuery, now: number): readonly AgentHost[];
	/** Load of a server. With `customer`, the expected wait is that of the customer. */
	load(server: string, now: number, customer?: string): ServerLoad;
	adapterState(subject: string, server: string): AdapterState;
	/** Whether the server is new or back in service, and its share of work is still growing. */
	isInSlowStart(host: AgentHost, now: number): boolean;
	/** Number of this entry's dispatches in flight for the subject. */
	demand(subject: string): number;
};

/** Chooses the server for a request. */
export type RoutingPolicy = {
	readonly name: string;
	readonly choose: (
		query: RoutingQuery,
		fleet: RoutingFleet,
		now: number,
	) => AgentHost | undefined;
};

/** Result of routing a request. */
export type RoutingChoice =
	| {readonly kind: 'server'; readonly host: AgentHost}
	/** No server of this kind is in service. */
	| {readonly kind: 'noServer'}
	/** Every server would start the answer after the deadline. */
	| {readonly kind: 'tooLate'; readonly retryAfterMs: number};

/** Result of a dispatch to a server, for the failure detector. */
export type DispatchResult = 'succeeded' | 'refused' | 'failed';

/** A server's report that came with an answer or with the result of a probe. */
export type StatusReport = {
	readonly status: ServerStatus;
	/** Served name that the report's adapter state refers to. */
	readonly subject?: string | undefined;
};
