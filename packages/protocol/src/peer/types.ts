import type {
	ConfigChange,
	ConfigSnapshot,
	RateShard,
	ServerStatus,
	VersionedShardRow,
} from '@balsamtray/core';

/** Changes after a version, or a snapshot if the changes are no longer available. */
export type ConfigResponse =
	| {readonly kind: 'changes'; readonly changes: readonly ConfigChange[]}
	| {readonly kind: 'snapshot'; readonly snapshot: ConfigSnapshot};

/** A peer's request for part of a customer's rate. */
export type TransferRequest = {
	readonly peer: string;
	readonly transferId: string;
	readonly customer: string;
	readonly tokens: number;
	/** Fill level of the peer's own buckets, from 0 to 1. Given only for a rebalance. */
	readonly fillShare?: number;
};

/** The holder's response. The holder deducts the tokens from its own share before it sends them. */
export type TransferResponse = {
	readonly tokens: number;
	readonly retryAfterMs?: number;
};

/** Outcome of a transfer, reported to the holder that sent the tokens. */
export type TransferSettlement =
	/** All tokens were spent, so they no longer count against the holder's burst. */
	| {
			readonly kind: 'spent';
			readonly transferId: string;
			readonly customer: string;
	  }
	/** `tokens` were not spent and return to the holder. */
	| {
			readonly kind: 'unspent';
			readonly transferId: string;
			readonly customer: string;
			readonly tokens: number;
	  };

/** The shards of customers' rates and their rows, as last read by an entry. */
export type ShardMap = {
	readonly shards: readonly RateShard[];
	readonly rows: ReadonlyArray<VersionedShardRow & {readonly shard: string}>;
};

/** Operations behind the rate calls, implemented by the entry that serves them. */
export type RatePeerContext = {
	requestTransfer(request: TransferRequest): Promise<TransferResponse>;
	settleTransfers(settlements: readonly TransferSettlement[]): void;
	shardMap(): ShardMap;
};

/** Identity of a process, as reported to peers. */
export type ProcessIdentity = {
	readonly id: string;
	readonly role: 'entry' | 'agent';
	readonly zone: string;
	/** Unique for each start of the process. */
	readonly incarnation: string;
	readonly configVersion: number;
};

/** Request for an agent's load and the state of one adapter version. */
export type ProbeRequest = {
	/** Served name of the adapter version. Absent for a plain service. */
	readonly servedName?: string;
};

/**
 * Operations behind the peer calls, implemented by the process that serves them.
 * A process omits the parts that its role does not have.
 */
export type PeerContext = {
	readonly identity: () => ProcessIdentity;
	readonly config: {
		/** Records that the peer has the configuration version. */
		notePeerVersion(peer: string, version: number): void;
		/** Returns the response to a peer's `changesAfter` call. */
		answerAfter(version: number): ConfigResponse;
	};
	readonly rate?: RatePeerContext;
	readonly agent?: {
		probe(request: ProbeRequest): ServerStatus;
	};
	readonly quarantine?: {
		/** Records the fingerprints of suspects: requests that were running when a backend server crashed. */
		reportSuspects(
			peer: string,
			fingerprints: readonly string[],
			bootId: string,
		): void;
	};
};
