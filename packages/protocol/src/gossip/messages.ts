import {Buffer} from 'node:buffer';
import type {
	Contribution,
	ContributionAck,
	EngineDemand,
	EngineReport,
	KnownHolder,
	PartSuspectEntry,
	QuotaGrant,
	QuotaLevel,
	StreamKnowledge,
	StreamOriginEntry,
	UsageCounts,
} from '@balsamtray/core';
import {hasRequiredFields} from './message-fields.js';

/** An entry's copy of a table: its revision, and the time since it was known to be the newest, in milliseconds. */
export type GossipTable = {
	readonly revision: number;
	readonly ageMs: number;
	/** Era of the store that the copy is as of. 0 if absent. */
	readonly era?: number;
};

/** Heartbeat that an entry sends several times per second to the entries that it is linked with. */
export type EntryHeartbeat = {
	readonly type: 'entry';
	/** Identifier of the sending host. */
	readonly from: string;
	/** Availability zone of the sender. */
	readonly zone?: string;
	/** Whether the sender wants heartbeats from the receiver. Otherwise this one is only a reply. True if absent. */
	readonly isLink?: boolean;
	/** Entries of the sender's zone that the sender considers lost. */
	readonly zoneLost?: readonly string[];
	/** The sender's copies of the server list and of the members table. */
	readonly servers?: GossipTable;
	readonly members?: GossipTable;
	/**
	 * Time of sending, in milliseconds on the sender's monotonic clock plus an offset that each process of a host chooses
	 * anew. It means nothing to the receiver, which only echoes it.
	 */
	readonly sentAt: number;
	/**
	 * Last heartbeat that the sender received from the receiver: its `sentAt`, and the time since its arrival in
	 * milliseconds.
	 */
	readonly echo?: {readonly sentAt: number; readonly heldForMs: number};
	/** Highest row version among the operator's statements that the sender knows. */
	readonly authorityVersion: number;
	/** Era of that version. 0 if absent, as from older senders. */
	readonly authorityEra?: number;
	/** Newest era of which the sender knows what the store has lost. 0 if absent. */
	readonly settledEra?: number;
	/** Age of the sender's proof that it knows the newest statements, in milliseconds. Absent without a proof. */
	readonly proofAgeMs?: number;
	/** Whether the sender accepts requests and is not shutting down. */
	readonly isServing: boolean;
	/** Text that differs if the sender has quarantined other parts of prompts than the receiver. Absent if it has none. */
	readonly quarantine?: string;
	/** Text that differs if the sender has quarantined other requests than the receiver. Absent if it has none. */
	readonly quarantinedRequests?: string;
	/** Remaining units of the customers whose rate the sender owns and the receiver may take over. */
	readonly levels: readonly QuotaLevel[];
	/** Wall clock of the sender, in milliseconds since the epoch. Absent in deployments that report no usage. */
	readonly wallMs?: number;
	/** Holders of duties that the sender knows. */
	readonly duties?: {readonly usage?: KnownHolder};
};

/** Query for units of a customer's rate, sent to the entry that owns the rate. */
export type QuotaQuery = {
	readonly type: 'quotaAsk';
	readonly from: string;
	readonly askId: number;
	readonly customer: string;
	readonly units: number;
	/** Limit that a server names, in requests a second, if the units are requests to it. Older entries reply nothing. */
	readonly serverLimit?: number;
	/** Where to send the reply if another entry forwarded the query. Otherwise the reply goes to the sender. */
	readonly replyTo?: {readonly host: string; readonly port: number};
};

/** Reply to the `QuotaQuery` with the same `askId`. */
export type QuotaReply = {
	readonly type: 'quotaAnswer';
	readonly askId: number;
	readonly grant: QuotaGrant;
};

/** Returns units to the entry that owns the customer's rate, because their request did not run. */
export type QuotaReturn = {
	readonly type: 'quotaReturn';
	readonly customer: string;
	readonly units: number;
};

/** An entry's demand for an engine, sent to the agent beside it. */
export type DemandMessage = {
	readonly type: 'demand';
	/** Identifier of the backend server. */
	readonly server: string;
	readonly demand: EngineDemand;
	/** Whether the sender wants the engine's reports. True if absent. */
	readonly isSubscribing?: boolean;
	/** Whether the reports should carry the agent's wall clock. False if absent. */
	readonly wantsClock?: boolean;
};

/**
 * Query for a prefill reservation, sent to the agent beside an engine. The reservations delay prompts so that they reach
 * the engine no faster than it can prefill them.
 */
export type PrefillQuery = {
	readonly type: 'turnAsk';
	/** The same when the sender asks again for a prompt that waits. */
	readonly askId: number;
	readonly promptTokens: number;
	/** Longest pause between events that the prompt's route allows, in milliseconds. Absent without such a limit. */
	readonly maxPauseMs?: number;
	/** Whether the sender waits for a grant. Otherwise it sends the prompt after the delay in the first reply. */
	readonly acceptsGrant?: boolean;
	/** 0, the most urgent, if absent. */
	readonly priority?: number;
	readonly customer?: string;
	/** Share of the customer among the others, in tokens per second. */
	readonly weight?: number;
	/** Time until the first event is late, in milliseconds. */
	readonly targetMs?: number;
	/** Time after which the prompt is not sent, in milliseconds. */
	readonly deadlineMs?: number;
	/** Time for which the prompt has waited at this engine, in milliseconds. */
	readonly waitedMs?: number;
};

/** Reply to the `PrefillQuery` with the same `askId`, and later the grant to a prompt that waits. */
export type PrefillReply = {
	readonly type: 'turnAnswer';
	readonly askId: number;
	/** Delay after which the prompt may be sent, in milliseconds. */
	readonly delayMs: number;
	/** Prompt tokens that the engine still has to prefill before then. */
	readonly tokensAhead?: number;
	/** Whether the delay is an estimate, and the prompt waits for a grant. */
	readonly isQueued?: boolean;
};

/** Releases the prefill reservation of a prompt that is not sent. */
export type PrefillRelease = {
	readonly type: 'turnReturn';
	readonly promptTokens: number;
	/** The query that is given up. Absent from senders that do not wait for grants. */
	readonly askId?: number;
};

/** Says that a prompt was sent without its turn, since the agent did not reply. Older agents ignore it. */
export type PrefillTaken = {
	readonly type: 'turnTaken';
	readonly askId: number;
	readonly promptTokens: number;
};

/**
 * Says how long work takes on an engine's host, as a response of the engine told an entry. Sent to the agent beside the
 * engine, whose own report need not tell it. Older agents ignore it.
 */
export type PaceMessage = {
	readonly type: 'pace';
	readonly server: string;
	/** Against the usual time, which is 1. */
	readonly slowdown: number;
};

/** An engine's report, sent by the agent beside it. */
export type ReportMessage = {
	readonly type: 'report';
	readonly server: string;
	readonly report: EngineReport;
	/** Whether an entry passes the report on to the other entries of its zone. */
	readonly isRelayed?: boolean;
	/** Wall clock of the agent, in milliseconds since the epoch. Absent unless the entry asked for it. */
	readonly wallMs?: number;
};

/**
 * Reports a request that was running on a server when the connection broke. The request may have crashed the server.
 * Entries pass it on to the entries that they are linked with.
 */
export type SuspectMessage = {
	readonly type: 'suspect';
	/** Digest of the request and its customer. */
	readonly fingerprint: string;
	readonly server: string;
	/** Identifies the report, so that entries pass it on only once. */
	readonly reportId?: string;
};

/**
 * Evidence on parts of prompts that may crash servers. Entries pass it on to the entries that they are linked with. The
 * evidence against a part and its trials are added to what is known; evidence of innocence clears what is older.
 */
export type PartNote = {
	readonly type: 'partNote';
	/** Identifies the note, so that entries pass it on only once. */
	readonly reportId: string;
	readonly suspects: readonly PartSuspectEntry[];
	/** Parts of answers that went on, and the time since those answers began, in milliseconds. */
	readonly cleared: ReadonlyArray<{
		readonly part: string;
		readonly agoMs: number;
	}>;
};

/**
 * Reports a server that says in a response that it is leaving. Entries for which this is news pass it on to the entries
 * that they are linked with.
 */
export type LeavingMessage = {
	readonly type: 'leaving';
	readonly server: string;
	/** Start time of the server, in milliseconds since the epoch; 0 if it does not say. */
	readonly born: number;
};

/** Origins of streams, sent to entries that keep them as well. */
export type StreamNote = {
	readonly type: 'streamNote';
	readonly streams: readonly StreamOriginEntry[];
};

/** Query for the origin of a stream, sent to the entries that may keep it. */
export type StreamQuery = {
	readonly type: 'streamAsk';
	readonly askId: number;
	/** The call that brought the first event. */
	readonly id: string;
	/** Service that the resumed stream would run on. */
	readonly service: string;
	/** Time for which the service must have had a single software version, in milliseconds, if the stream is not known. */
	readonly spanMs: number;
};

/** Reply to the `StreamQuery` with the same `askId`. Absent fields are not known. */
export type StreamReply = {
	readonly type: 'streamAnswer';
	readonly askId: number;
	readonly from: string;
} & Partial<StreamKnowledge>;

/** Counts of requests that began to run, sent to the entries that collect them. */
export type UsageCountsMessage = {
	readonly type: 'usageCounts';
	readonly contribution: Contribution;
};

/** Reply to a `UsageCountsMessage` with ended windows of which the collector has all counts. */
export type UsageAckMessage = {
	readonly type: 'usageAck';
	readonly ack: ContributionAck;
};

/** Decided counts of a window, which the holder of the duty tells the entry that would take over. */
export type UsageDecisionMessage = {
	readonly type: 'usageDecision';
	readonly window: number;
	readonly counts: UsageCounts;
};

/** A datagram between entries, or between an entry and an agent. */
export type GossipMessage =
	| EntryHeartbeat
	| QuotaQuery
	| QuotaReply
	| QuotaReturn
	| SuspectMessage
	| PartNote
	| LeavingMessage
	| DemandMessage
	| PrefillQuery
	| PrefillReply
	| PrefillRelease
	| PrefillTaken
	| PaceMessage
	| ReportMessage
	| StreamNote
	| StreamQuery
	| StreamReply
	| UsageCountsMessage
	| UsageAckMessage
	| UsageDecisionMessage;

/** Parses a datagram. Returns undefined if it is not JSON with a known `type` and its required fields. */
export function parseGossipMessage(
	bytes: Uint8Array,
): GossipMessage | undefined {
	try {
		const message = JSON.parse(Buffer.from(bytes).toString()) as unknown;
		return hasRequiredFields(message) ? message : undefined;
	} catch {
		return undefined;
	}
}
