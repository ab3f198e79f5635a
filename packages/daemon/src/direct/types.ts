import type {IncomingHttpHeaders} from 'node:http';
import type {
	AuthorityRow,
	EngineOrder,
	EngineReport,
	OrderOutcome,
	RetryBound,
	ServerChange,
	ServiceSpec,
} from '@balsamtray/core';

/** Address of a socket. */
export type Endpoint = {readonly host: string; readonly port: number};

/** Rows of a table as of one version of the store. */
export type TableRead<Row> = {
	readonly rows: readonly Row[];
	readonly version: number;
};

/** A table of the store that can be read whole and followed. */
export type TableSource<Row> = {
	readonly readAll: (timeoutMs: number) => Promise<TableRead<Row>>;
	/** Rows that changed after the version. Waits for the first as long as told. */
	readonly readChanges: (
		after: number,
		waitMs: number,
		timeoutMs: number,
	) => Promise<TableRead<Row> | 'historyLost'>;
};

/** An entry as the store's table of members lists it. Undefined where its row was removed. */
export type MemberRow = {
	readonly id: string;
	readonly endpoint: Endpoint | undefined;
};

/** The tables that an entry follows, and its own row. */
export type EntryStore = {
	readonly authority: TableSource<AuthorityRow>;
	readonly servers: TableSource<ServerChange>;
	readonly members: TableSource<MemberRow>;
	readonly join: (member: MemberRow) => Promise<void>;
	readonly leave: (id: string) => Promise<void>;
};

/** What a caller's request says of itself. */
export type CallFacts = {
	readonly callId: string | undefined;
	readonly host: string;
	/** Time that the caller will wait, in milliseconds. */
	readonly deadlineMs: number | undefined;
	readonly key: string | undefined;
	readonly model: string | undefined;
	readonly adapter: string | undefined;
	readonly promptTokens: number | undefined;
	/** Prompt tokens and the most that may be generated. */
	readonly tokens: number | undefined;
	/** Names the part of the prompt that belongs to the request's session. */
	readonly session: string | undefined;
	/** Last event that the caller has of a stream that broke off. */
	readonly lastEventId: string | undefined;
};

/** What an entry adds to a request on its way to a server. */
export type ForwardFacts = {
	readonly server: string;
	readonly deadlineMs: number;
	readonly customer: string | undefined;
	readonly adapterVersion: number | undefined;
	/** 0 is the most urgent. */
	readonly urgency: number;
	readonly lastEventId: string | undefined;
};

/** What a server's answer says beside its body. */
export type AnswerFacts = {
	/** The server says that it did not run the request and never will. */
	readonly isNotRun: boolean;
	/** Whether the answer belongs to the call and is the server's own. */
	readonly isGenuine: boolean;
};

/** Header names and formats of callers and servers. */
export type CallCodec = {
	/** Undefined where the request can't be understood. */
	readonly decodeCall: (headers: IncomingHttpHeaders) => CallFacts | undefined;
	/** Headers for the server, as a flat list of names and values. */
	readonly encodeForward: (
		rawHeaders: readonly string[],
		facts: ForwardFacts,
	) => string[];
	readonly decodeAnswer: (
		status: number,
		headers: IncomingHttpHeaders,
		callId: string | undefined,
	) => AnswerFacts;
};

/** The engine beside an agent. */
export type EngineControl = {
	readonly report: () => Promise<EngineReport>;
	readonly order: (
		order: EngineOrder,
		server: string | undefined,
	) => Promise<OrderOutcome>;
};

/** Bounds of the platform that an entry keeps. */
export type EntryBounds = {
	/** Time after which a withdrawn key must not be used; undefined where there is no such bound. */
	readonly revokeMs: number | undefined;
	readonly retry: RetryBound;
	readonly quotaSlackUnits: number;
	/** Requests in one second that a cold server of a service may get from all entries together. */
	readonly coldBound: (service: ServiceSpec) => number;
	/** Time from the signal to stop until the process is ended. */
	readonly graceMs: number;
};

export type EntrySettings = {
	readonly hostId: string;
	readonly zone: string;
	readonly front: Endpoint;
	readonly ready: Endpoint;
	/** For beats (UDP) and statements (HTTP) between entries. */
	readonly peer: Endpoint;
	/** UDP port of the agents. */
	readonly agentPort: number;
	readonly metrics: Endpoint;
	readonly isFirstStart: boolean;
	readonly bounds: EntryBounds;
};

export type AgentSettings = {
	readonly hostId: string;
	readonly peer: Endpoint;
	readonly metrics: Endpoint;
};
