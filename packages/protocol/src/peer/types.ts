import type {
	ConfigChange,
	ConfigSnapshot,
	RateShard,
	ServerStatus,
	VersionedShardRow,
} from '@balsamtray/core';

/** Changes after a version, or a snapshot where the changes are no longer at hand. */
export type ConfigAnswer =
	| {readonly kind: 'changes'; readonly changes: readonly ConfigChange[]}
	| {readonly kind: 'snapshot'; readonly snapshot: ConfigSnapshot};

/** A peer's request for part of a customer's rate. */
export type TransferRequest = {
	readonly peer: string;
	readonly transferId: string;
	readonly customer: string;
	readonly tokens: number;
	/** Given when the peer wants to even out: the share to which its own buckets are filled. */
	readonly fillShare?: number;
};

/** The holder's answer. The tokens were deducted from its own part before it was sent. */
export type TransferAnswer = {
	readonly tokens: number;
	readonly retryAfterMs?: number;
};

/** What became of transferred tokens. */
export type TransferSettlement =
	/** All were spent, so they no longer count against the holder's burst. */
	| {
			readonly kind: 'spent';
			readonly transferId: string;
			readonly customer: string;
	  }
	/** So many were not spent and go back to the holder. */
	| {
			readonly kind: 'unspent';
			readonly transferId: string;
			readonly customer: string;
			readonly tokens: number;
	  };

/** The shards of customers' rates and their rows, as an entry last saw them. */
export type ShardMap = {
	readonly shards: readonly RateShard[];
	readonly rows: ReadonlyArray<VersionedShardRow & {readonly shard: string}>;
};

/** What the calls over customers' tokens need from the entry that serves them. */
export type RatePeerContext = {
	requestTransfer(request: TransferRequest): Promise<TransferAnswer>;
	settleTransfers(settlements: readonly TransferSettlement[]): void;
	shardMap(): ShardMap;
};

/** What a process says of itself to a peer. */
export type ProcessIdentity = {
	readonly id: string;
	readonly role: 'entry' | 'agent';
	readonly zone: string;
	/** Differs for each start of the process. */
	readonly incarnation: string;
	readonly configVersion: number;
};

/** A question about an agent's load and one adapter. */
export type ProbeRequest = {
	/** Served name of the adapter version in question. Absent for a plain service. */
	readonly servedName?: string;
};

/**
 * What the routers between processes need from the process that serves them.
 * A process leaves out the parts that its role does not have.
 */
export type PeerContext = {
	readonly identity: () => ProcessIdentity;
	readonly config: {
		/** Notes that the peer has the version. */
		seeVersion(peer: string, version: number): void;
		answerAfter(version: number): ConfigAnswer;
	};
	readonly rate?: RatePeerContext;
	readonly agent?: {
		probe(request: ProbeRequest): ServerStatus;
	};
	readonly quarantine?: {
		/** Takes note of fingerprints that ran on a back end as it died. */
		reportSuspects(
			peer: string,
			fingerprints: readonly string[],
			bootId: string,
		): void;
	};
};
