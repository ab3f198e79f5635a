import {Buffer} from 'node:buffer';
import type {
	EngineDemand,
	EngineReport,
	QuotaGrant,
	QuotaLevel,
} from '@balsamtray/core';

/** What an entry tells the other entries several times a second. */
export type EntryBeat = {
	readonly type: 'entry';
	/** Identifier of the sending host. */
	readonly from: string;
	/** Sender's steady clock, in milliseconds. */
	readonly sentAt: number;
	/** Last beat of the receiver that the sender got: its `sentAt`, and how long ago it came. */
	readonly echo?: {readonly sentAt: number; readonly heldForMs: number};
	/** Highest row version among the authority's statements that the sender knows. */
	readonly authorityVersion: number;
	/** Age of the sender's proof that it knows the newest statements. Absent without one. */
	readonly proofAgeMs?: number;
	/** Whether the sender takes requests and is not about to stop. */
	readonly isServing: boolean;
	/** Levels of the customers that the sender owns. */
	readonly levels: readonly QuotaLevel[];
};

/** Asks a customer's owner for units of its rate. */
export type QuotaAsk = {
	readonly type: 'quotaAsk';
	readonly from: string;
	readonly askId: number;
	readonly customer: string;
	readonly units: number;
};

export type QuotaAnswer = {
	readonly type: 'quotaAnswer';
	readonly askId: number;
	readonly grant: QuotaGrant;
};

/** Gives back units of a request that did not run. */
export type QuotaReturn = {
	readonly type: 'quotaReturn';
	readonly customer: string;
	readonly units: number;
};

/** What an entry wants of an engine, to the agent beside it. */
export type DemandMessage = {
	readonly type: 'demand';
	/** Identifier of the backend server. */
	readonly server: string;
	readonly demand: EngineDemand;
};

/** Asks the agent beside an engine for the turn of a prompt. */
export type TurnAsk = {
	readonly type: 'turnAsk';
	readonly askId: number;
	readonly promptTokens: number;
};

export type TurnAnswer = {
	readonly type: 'turnAnswer';
	readonly askId: number;
	/** Time after which the prompt may be sent, in milliseconds. */
	readonly delayMs: number;
};

/** Gives back the turn of a prompt that was not sent. */
export type TurnReturn = {
	readonly type: 'turnReturn';
	readonly promptTokens: number;
};

/** An engine's report, from the agent beside it. */
export type ReportMessage = {
	readonly type: 'report';
	readonly server: string;
	readonly report: EngineReport;
};

/** A connection to a server broke while it had a request, which may have killed it. */
export type SuspectMessage = {
	readonly type: 'suspect';
	/** Digest of what was asked, and by whom. */
	readonly fingerprint: string;
	readonly server: string;
};

/** A datagram between our processes. */
export type GossipMessage =
	| EntryBeat
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

/** Reads a datagram of another of our processes, undefined where it is none. */
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
