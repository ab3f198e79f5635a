import type {AdapterState, ServerStatus} from '../agent/types.js';
import type {AgentHost, BackendKind} from '../membership/types.js';

/** What a request needs from a backend server. */
export type RoutingQuery = {
	/** Served name of the adapter version, or the name of the service. */
	readonly subject: string;
	readonly backend: BackendKind;
	/** Customer for whom the request runs. Agents share their time fairly, so that waits differ by customer. */
	readonly customer?: string;
	/** Servers that must not be chosen: tried before, or running another suspect. */
	readonly avoid: ReadonlySet<string>;
	readonly timeLeftMs: number;
};

/** What an entry knows of a server from its own traffic. */
export type ServerLoad = {
	/** Own dispatches without an end. */
	readonly inFlight: number;
	/** Work that the server reported, corrected by own dispatches since then. */
	readonly outstanding: number;
	/** Requests that the backend server bears at once. */
	readonly window: number;
	readonly expectedWaitMs: number;
	/** Failed several times in a row: last in the order until a probe succeeds. */
	readonly isSuspected: boolean;
};

/** The servers as routing policies see them. */
export type RoutingFleet = {
	/** Preferred servers for the subject, best first, of limited length, usable ones only. */
	preferred(query: RoutingQuery, now: number): readonly AgentHost[];
	/** All usable servers. Takes time in proportion to the fleet. */
	all(query: RoutingQuery, now: number): readonly AgentHost[];
	/** The customer's own wait where it is named. */
	load(server: string, now: number, customer?: string): ServerLoad;
	adapterState(subject: string, server: string): AdapterState;
	/** Own dispatches for the subject without an end. */
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

/** Outcome of routing. */
export type RoutingChoice =
	| {readonly kind: 'server'; readonly host: AgentHost}
	/** No server of this kind is in service. */
	| {readonly kind: 'noServer'}
	/** Every server would start the answer after the deadline. */
	| {readonly kind: 'tooLate'; readonly retryAfterMs: number};

/** How a dispatch to a server ended, for the failure detector. */
export type DispatchResult = 'succeeded' | 'refused' | 'failed';

/** A report that came with an answer or a probe. */
export type StatusReport = {
	readonly status: ServerStatus;
	/** Served name that the report's adapter state is about. */
	readonly subject?: string | undefined;
};
