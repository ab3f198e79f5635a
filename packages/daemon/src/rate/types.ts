import type {HolderVerdict} from '@balsamtray/core';
import type {
	ShardMap,
	TransferResponse,
	TransferRequest,
	TransferSettlement,
} from '@balsamtray/protocol';

/** Outcome of a request to a holder for a transfer of tokens. */
export type TransferResult =
	| {readonly kind: 'answered'; readonly answer: TransferResponse}
	/** The connection was refused: no process listens on the port. */
	| {readonly kind: 'refused'}
	| {readonly kind: 'failed'};

/** Calls to other entries: token transfers, shard maps and holder checks. They never throw. */
export type RatePeers = {
	requestTransfer(
		address: string,
		request: TransferRequest,
	): Promise<TransferResult>;
	settleTransfers(
		address: string,
		settlements: readonly TransferSettlement[],
	): Promise<void>;
	/** Returns undefined if the entry does not respond. */
	readShardMap(address: string): Promise<ShardMap | undefined>;
	/** Checks whether the process with the given incarnation still runs at the address. */
	checkHolder(address: string, incarnation: string): Promise<HolderVerdict>;
};
