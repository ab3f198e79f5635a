import {Buffer} from 'node:buffer';
import type {
	EngineDemand,
	EngineReport,
	QuotaGrant,
	QuotaLevel,
} from '@balsamtray/core';

/** Heartbeat that an entry sends to the other entries several times per second. */
export type EntryHeartbeat = {
	readonly type: 'entry';
	/** Identifier of the sending host. */
	readonly from: string;
	/** Time of sending, in milliseconds on the sender's steady clock. */
	readonly sentAt: number;
	/**
	 * Last heartbeat that the sender received from the receiver: its `sentAt`, and the time since its arrival in
	 * milliseconds.
	 */
	readonly echo?: {readonly sentAt: number; readonly heldForMs: number};
	/** Highest row version among the operator's statements that the sender knows. */
	readonly authorityVersion: number;
	/** Age of the sender's proof that it knows the newest statements, in milliseconds. Absent without a proof. */
	readonly proofAgeMs?: number;
	/** Whether the sender accepts requests and is not shutting down. */
	readonly isServing: boolean;
	/** Remaining units of the customers whose rate the sender owns. */
	readonly levels: readonly QuotaLevel[];
};

/** Requests units of a customer's rate from the entry that owns the rate. */
export type QuotaAsk = {
	readonly type: 'quotaAsk';
	readonly from: string;
	readonly askId: number;
	readonly customer: string;
	readonly units: number;
};

/** Answers the `QuotaAsk` with the same `askId`. */
export type QuotaAnswer = {
	readonly type: 'quotaAnswer';
	readonly askId: number;
	readonly grant: QuotaGrant;
};

/** Returns the units of a request that did not run to the entry that owns the rate. */
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
};

/** Asks the agent beside an engine to schedule a prompt, so prompts reach the engine no faster than it reads them. */
export type TurnAsk = {
	readonly type: 'turnAsk';
	readonly askId: number;
	readonly promptTokens: number;
};

/** Answers the `TurnAsk` with the same `askId`. */
export type TurnAnswer = {
	readonly type: 'turnAnswer';
	readonly askId: number;
	/** Time after which the prompt may be sent, in milliseconds. */
	readonly delayMs: number;
};

/** Cancels the scheduled turn of a prompt that was not sent. */
export type TurnReturn = {
	readonly type: 'turnReturn';
	readonly promptTokens: number;
};

/** An engine's report, sent by the agent beside it. */
export type ReportMessage = {
	readonly type: 'report';
	readonly server: string;
	readonly report: EngineReport;
};

/** Reports a request that was running on a server when the connection broke. The request may have crashed the server. */
export type SuspectMessage = {
	readonly type: 'suspect';
	/** Digest of the request and its customer. */
	readonly fingerprint: string;
	readonly server: string;
};

/** A datagram between entries and agents. */
export type GossipMessage =
	| EntryHeartbeat
	| QuotaAsk
	| QuotaAnswer
	| QuotaReturn
	| SuspectMessage
	| DemandMessage
	| TurnAsk
	| TurnAnswer
	| TurnReturn
	| ReportMessage;

const messageTypes: ReadonlySet<string> = new Set([
	'entry',
	'quotaAsk',
	'quotaAnswer',
	'quotaReturn',
	'suspect',
	'demand',
	'turnAsk',
	'turnAnswer',
	'turnReturn',
	'report',
] satisfies ReadonlyArray<GossipMessage['type']>);

/** Parses a datagram. Returns undefined if it is not JSON with a known `type`. Other fields are not checked. */
export function parseGossipMessage(
	bytes: Uint8Array,
): GossipMessage | undefined {
	try {
		const message = JSON.parse(Buffer.from(bytes).toString()) as unknown;
		return isGossipMessage(message) ? message : undefined;
	} catch {
		return undefined;
	}
}

function isGossipMessage(message: unknown): message is GossipMessage {
	return (
		typeof message === 'object' &&
		message !== null &&
		'type' in message &&
		typeof message.type === 'string' &&
		messageTypes.has(message.type)
	);
}
