/** Tokens that a reservation holds in a bucket of this entry. */
export type LocalPart = {
	readonly shard: string;
	readonly epoch: number;
	readonly tokens: number;
};

/** Tokens that another holder sent for a reservation. */
export type TransferPart = {
	readonly peer: string;
	readonly transferId: string;
	readonly tokens: number;
	/** Time until which the tokens may be spent, in milliseconds. Moved back when the clock jumps. */
	validUntil: number;
};

/** A transfer that was requested from another holder and has not arrived yet. */
export type PendingTransfer = {
	readonly peer: string;
	readonly transferId: string;
	readonly tokens: number;
	/** Moved back when the clock jumps. */
	requestedAt: number;
};

/** A reservation that collects tokens from local buckets and other holders. */
export type PendingReservation = {
	readonly requestId: string;
	readonly customer: string;
	readonly localParts: readonly LocalPart[];
	readonly transferParts: TransferPart[];
	/** Holders that have not been asked yet, nearest first. */
	readonly untriedPeers: string[];
	readonly deadline: number;
	/** Time until which the request may wait for tokens. The reservation itself may end before. */
	readonly requestDeadline: number;
	/** Whether the request has waited for tokens to accrue. It does so at most once. */
	readonly hasWaited: boolean;
	/** Whether a holder did not answer, so that the missing tokens may be there. */
	hasUnanswered: boolean;
	readonly tokens: number;
	/** Tokens that are still missing. */
	missing: number;
	pendingTransfer: PendingTransfer | undefined;
};

/** A request to reserve tokens. */
export type TokenRequest = {
	readonly requestId: string;
	readonly customer: string;
	readonly tokens: number;
	readonly deadline: number;
	readonly hasWaited?: boolean;
};
