import type {HolderVerdict} from '@balsamtray/core';
import {
	type PeerRouter,
	type ShardMap,
	type TransferRequest,
	type TransferSettlement,
} from '@balsamtray/protocol';
import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import {createLinkFetch} from '../common/link-fetch.js';
import {shardMapSchema} from './shard-table.js';
import type {RatePeers, TransferResult} from './types.js';

const identitySchema = z.object({incarnation: z.string()});
const transferSchema = z.object({
	tokens: z.number().nonnegative(),
	retryAfterMs: z.number().nonnegative().exactOptional(),
});

/** Options of `TrpcRatePeers`. */
export type TrpcRatePeersOptions = {
	/** Returns the base URL of the process at the address. */
	readonly peerUrl: (address: string) => string;
	/** Returns the undici dispatcher. Called for each request, because it changes with the certificates. */
	readonly peerDispatcher: () => Dispatcher;
	readonly timeoutMs: number;
};

/** Client for calls to other entries over tRPC: token transfers, shard maps and holder checks. */
export class TrpcRatePeers implements RatePeers {
	static create(options: TrpcRatePeersOptions): TrpcRatePeers {
		return new TrpcRatePeers(options);
	}

	private readonly _clients = new Map<string, TRPCClient<PeerRouter>>();

	private constructor(private readonly _options: TrpcRatePeersOptions) {}

	async requestTransfer(
		address: string,
		request: TransferRequest,
	): Promise<TransferResult> {
		try {
			const answer = await this._clientFor(address).rate.requestTransfer.mutate(
				request,
				{signal: this._timeoutSignal()},
			);
			return {kind: 'answered', answer: transferSchema.parse(answer)};
		} catch (error) {
			return {kind: isConnectionRefused(error) ? 'refused' : 'failed'};
		}
	}

	async settleTransfers(
		address: string,
		settlements: readonly TransferSettlement[],
	): Promise<void> {
		try {
			await this._clientFor(address).rate.settleTransfers.mutate(
				{settlements: [...settlements]},
				{signal: this._timeoutSignal()},
			);
		} catch {
			// Unsettled tokens expire at the holder.
		}
	}

	async readShardMap(address: string): Promise<ShardMap | undefined> {
		try {
			const answer = await this._clientFor(address).rate.shardMap.query(
				undefined,
				{signal: this._timeoutSignal()},
			);
			return shardMapSchema.parse(answer);
		} catch {
			return undefined;
		}
	}

	async checkHolder(
		address: string,
		incarnation: string,
	): Promise<HolderVerdict> {
		try {
			const answer = await this._clientFor(address).identity.query(undefined, {
				signal: this._timeoutSignal(),
			});
			const identity = identitySchema.parse(answer);
			return identity.incarnation === incarnation ? 'alive' : 'dead';
		} catch (error) {
			return isConnectionRefused(error) ? 'dead' : 'silent';
		}
	}

	/** Removes the clients of all other addresses. */
	retainClients(addresses: ReadonlySet<string>): void {
		for (const address of this._clients.keys()) {
			if (!addresses.has(address)) {
				this._clients.delete(address);
			}
		}
	}

	private _clientFor(address: string): TRPCClient<PeerRouter> {
		const existing = this._clients.get(address);
		if (existing !== undefined) {
			return existing;
		}

		const {peerUrl, peerDispatcher} = this._options;
		const client = createTRPCClient<PeerRouter>({
			links: [
				httpLink({
					url: `${peerUrl(address)}/trpc`,
					fetch: createLinkFetch(peerDispatcher),
				}),
			],
		});
		this._clients.set(address, client);
		return client;
	}

	private _timeoutSignal(): AbortSignal {
		return AbortSignal.timeout(this._options.timeoutMs);
	}
}

/** Whether the error or one of its causes is a refused connection: nothing listens at the address. */
function isConnectionRefused(error: unknown): boolean {
	let cause = error;
	while (cause instanceof Error) {
		if ('code' in cause && cause.code === 'ECONNREFUSED') {
			return true;
		}

		cause = cause.cause;
	}

	return false;
}
