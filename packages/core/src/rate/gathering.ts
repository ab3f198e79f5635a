/** Tokens that a gathering put aside in a bucket of this entry. */
export type OwnPart = {
	readonly shard: string;
	readonly epoch: number;
	readonly tokens: number;
};

/** Tokens that another holder sent for a gathering. */
export type TransferPart = {
	readonly peer: string;
	readonly transferId: string;
	readonly tokens: number;
	validUntil: number;
};

/** A question to another holder that has no answer yet. */
export type PendingAsk = {
	readonly peer: string;
	readonly transferId: string;
	readonly tokens: number;
	askedAt: number;
};

/** A request that gathers tokens from several holders. */
export type Gathering = {
	readonly requestId: string;
	readonly customer: string;
	readonly own: readonly OwnPart[];
	readonly transfers: TransferPart[];
	/** Holders that were not asked yet, nearest first. */
	readonly peers: string[];
	readonly deadline: number;
	/** Whether it has waited for tokens to accrue, which it does once. */
	readonly hasWaited: boolean;
	readonly tokens: number;
	/** Tokens that are still missing. */
	missing: number;
	ask: PendingAsk | undefined;
};

/** A request for tokens. */
export type TokenRequest = {
	readonly requestId: string;
	readonly customer: string;
	readonly tokens: number;
	readonly deadline: number;
	readonly hasWaited?: boolean;
};
