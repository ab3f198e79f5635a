import type {HolderVerdict} from '@balsamtray/core';
import type {
	ShardMap,
	TransferAnswer,
	TransferRequest,
	TransferSettlement,
} from '@balsamtray/protocol';

/** Outcome of asking a holder for tokens. */
export type TransferResult =
	| {readonly kind: 'answered'; readonly answer: TransferAnswer}
	/** The port refused the connection: no process is there. */
	| {readonly kind: 'refused'}
	| {readonly kind: 'failed'};

/** Calls to other entries. None of them throws. */
export type RatePeers = {
	requestTransfer(
		address: string,
		request: TransferRequest,
	): Promise<TransferResult>;
	settleTransfers(
		address: string,
		settlements: readonly TransferSettlement[],
	): Promise<void>;
	/** Undefined: no answer. */
	readShardMap(address: string): Promise<ShardMap | undefined>;
	/** Finds out whether the process with the incarnation still lives at the address. */
	checkHolder(address: string, incarnation: string): Promise<HolderVerdict>;
};
