import type {IncomingHttpHeaders} from 'node:http';
import type {
	AuthorityRow,
	DutyCall,
	DutyName,
	DutyOutcome,
	EngineOrder,
	EngineReport,
	KeyedRow,
	OrderOutcome,
	PartSuspectEntry,
	RetryLimit,
	RowRead,
	RowWrite,
	ServerChange,
	ReportedLoad,
	ServiceSpec,
	StoreVersion,
} from '@balsamtray/core';

/** Host and port of a socket. */
export type Endpoint = {readonly host: string; readonly port: number};

/** Rows read from a table, and the store version of the read. */
export type TableRead<Row> = StoreVersion & {readonly rows: readonly Row[]};

/** A store table that can be read completely and watched for changes. */
export type TableSource<Row> = {
	readonly readAll: (timeoutMs: number) => Promise<TableRead<Row>>;
	/**
	 * Reads the rows that changed after a version. Waits up to `waitMs` for the first change. Resolves with
	 * `historyLost` if the store no longer has the changes since that version.
	 */
	readonly readChanges: (
		after: number,
		waitMs: number,
		timeoutMs: number,
	) => Promise<TableRead<Row> | 'historyLost'>;
};

/** A row of the members table, one per entry. `endpoint` is undefined if the row was removed. */
export type MemberRow = {
	readonly id: string;
	readonly endpoint: Endpoint | undefined;
	/** Availability zone of the entry. Absent in rows of older versions. */
	readonly zone?: string;
};

/** Store access of an entry: the tables that it watches, and its own members row. */
export type EntryStore = {
	readonly authority: TableSource<AuthorityRow>;
	readonly servers: TableSource<ServerChange>;
	readonly members: TableSource<MemberRow>;
	/** Writes a member's row. Resolves with the version of the row. */
	readonly join: (member: MemberRow) => Promise<StoreVersion>;
	readonly leave: (id: string) => Promise<void>;
	/** Parts of prompts that are quarantined, for entries that start when no other one knows. */
	readonly suspects: SuspectStore;
	/** Lease rows of the duties, by name. */
	readonly dutyLeases: KeyedRows;
	/** Usage counts of windows that are decided. */
	readonly usageReports: KeyedRows;
};

/** Rows of one table that are read and written by their keys. */
export type KeyedRows = {
	readonly get: (key: string) => Promise<RowRead>;
	/** Writes a row if the store has it in this version; 0 if there must be none. Rejects if the outcome is unknown. */
	readonly putIf: (
		key: string,
		value: string,
		expected: number,
	) => Promise<RowWrite>;
	/** Reads all rows, with their keys. */
	readonly readAll: (
		timeoutMs: number,
	) => Promise<TableRead<KeyedRow & {readonly key: string}>>;
	/** Removes a row unconditionally. */
	readonly remove: (key: string) => Promise<void>;
};

/** The platform's endpoint for calls that only one process at a time may make. */
export type DutyEndpoint = {
	/**
	 * Sends a call with the fencing token of its duty. `mayWrite` is asked right before the call is written to a connection;
	 * if it returns false, nothing is sent.
	 */
	readonly send: (
		call: DutyCall,
		token: number,
		timeoutMs: number,
		mayWrite: () => boolean,
	) => Promise<DutyOutcome>;
};

/** Duties that this deployment has, and their time limits. */
export type DutySettings = {
	readonly duties: readonly DutyName[];
	readonly leaseMs: number;
	/** Calls per second that the platform accepts of all processes together. */
	readonly callsPerSecond: number;
	readonly usage:
		| {
				/** Length of a window, in seconds. */
				readonly windowS: number;
				/** Share by which the counts of a customer may be off. */
				readonly maxOff: number;
				/** Time after the end of a window at which its report is late, in milliseconds. */
				readonly lateMs: number;
		  }
		| undefined;
};

/** Store access to the quarantined parts of prompts. Ages are as of the call. */
export type SuspectStore = {
	readonly readAll: (timeoutMs: number) => Promise<readonly PartSuspectEntry[]>;
	readonly write: (entry: PartSuspectEntry) => Promise<void>;
	readonly remove: (part: string) => Promise<void>;
};

/** Metadata of a caller's request, decoded from its headers. */
export type CallMetadata = {
	readonly callId: string | undefined;
	readonly host: string;
	/** Time that the caller allows for the request, in milliseconds. */
	readonly deadlineMs: number | undefined;
	readonly key: string | undefined;
	readonly model: string | undefined;
	readonly adapter: string | undefined;
	readonly promptTokens: number | undefined;
	/** Prompt tokens plus the maximum of generated tokens. */
	readonly tokens: number | undefined;
	/** The caller's estimate of the generated tokens, right at the median and often far off; absent without one. */
	readonly expectedOutputTokens?: number;
	/** Identifies the prompt prefix that the requests of a session share. */
	readonly session: string | undefined;
	/** Identifiers of the parts of the prompt that it may share with other requests. */
	readonly promptParts?: readonly string[];
	/** Id of the last event that the caller received of an interrupted stream. */
	readonly lastEventId: string | undefined;
	/** Identifier of the call that brought the first event of the stream that the caller resumes. */
	readonly resumes: string | undefined;
};

/** Metadata that an entry adds to a forwarded request. */
export type ForwardMetadata = {
	readonly server: string;
	readonly deadlineMs: number;
	readonly customer: string | undefined;
	readonly adapterVersion: number | undefined;
	/** 0 is the most urgent. */
	readonly urgency: number;
	readonly lastEventId: string | undefined;
};

/** Metadata of a server's response, decoded from its status and headers. */
export type ResponseMetadata = {
	/** Whether the server states that it did not run the request and never will. */
	readonly isNotRun: boolean;
	/** Whether the response was written by the server itself, for this request. */
	readonly isGenuine: boolean;
	/** Whether it doesn't name the request. Such a response may be an earlier one of its connection, written once more. */
	readonly isUnnamed: boolean;
	/** Whether the server says that it is leaving. */
	readonly isLeaving: boolean;
	/** What the server says about when to send again, if it turned the request away for now. */
	readonly suspension: SuspensionRequest | undefined;
	/** Requests a second that the server takes from all entries together; absent if it names no limit, or none that is valid. */
	readonly limitPerSecond?: number;
	/** What the server says of its load; absent if it says nothing or nothing valid. */
	readonly load?: ReportedLoad;
};

/** A server's wish to get no requests for a time. */
export type SuspensionRequest =
	| {readonly kind: 'valid'; readonly forMs: number}
	/** The value can't be read, so it is ignored. */
	| {readonly kind: 'invalid'; readonly value: string};

/** Decodes and encodes the headers exchanged with callers and servers. */
export type CallCodec = {
	/** Returns undefined if the headers are malformed. */
	readonly decodeCall: (
		headers: IncomingHttpHeaders,
	) => CallMetadata | undefined;
	/** Returns the headers for the server, as a flat list of names and values. */
	readonly encodeForward: (
		rawHeaders: readonly string[],
		metadata: ForwardMetadata,
	) => string[];
	readonly decodeResponse: (
		status: number,
		headers: IncomingHttpHeaders,
		callId: string | undefined,
	) => ResponseMetadata;
};

/** Control interface of the engine beside an agent. */
export type EngineControl = {
	readonly report: () => Promise<EngineReport>;
	readonly order: (
		order: EngineOrder,
		server: string | undefined,
	) => Promise<OrderOutcome>;
};

/** Bounds that the platform sets for an entry. */
export type EntryBounds = {
	/** Time after which a withdrawn key must not be accepted, in milliseconds; undefined without such a bound. */
	readonly revokeMs: number | undefined;
	/** Time in which a change of the configuration must be in force, in milliseconds; undefined without such a bound. */
	readonly configApplyMs: number | undefined;
	/** Time after which a server must not begin requests on an adapter version older than a declared one, in milliseconds. */
	readonly versionMs: number;
	readonly retry: RetryLimit;
	/** Units beyond rate and burst that all entries together may grant to a customer. */
	readonly quotaSlackUnits: number;
	/** Maximum requests per second to a cold server of a service, over all entries. */
	readonly coldBound: (service: ServiceSpec) => number;
	/** Time from the stop signal until the process is killed, in milliseconds. */
	readonly graceMs: number;
};

export type EntrySettings = {
	readonly hostId: string;
	readonly zone: string;
	/** Address on which the entry accepts callers' requests. */
	readonly front: Endpoint;
	/** Address for the readiness checks of the load balancer. */
	readonly ready: Endpoint;
	/** Address for gossip messages (UDP) and reads of authority statements (HTTP). */
	readonly peer: Endpoint;
	/** UDP port of the agents. */
	readonly agentPort: number;
	readonly metrics: Endpoint;
	readonly isFirstStart: boolean;
	readonly bounds: EntryBounds;
	/** Undefined in a deployment without duties. */
	readonly duties?: DutySettings;
	/** What the platform gives the process. What it does not state is read from the system. */
	readonly capacity?: {
		readonly memoryBytes?: number | undefined;
		readonly descriptors?: number | undefined;
	};
};

export type AgentSettings = {
	readonly hostId: string;
	readonly peer: Endpoint;
	readonly metrics: Endpoint;
};
