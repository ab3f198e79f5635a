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

/** What the calls to other entries are created from. */
export type TrpcRatePeersOptions = {
	/** Base URL of the process at the address. */
	readonly peerUrl: (address: string) => string;
	/** Dispatcher of undici, taken anew for each call. */
	readonly peerDispatcher: () => Dispatcher;
	readonly timeoutMs: number;
};

/** Calls over customers' tokens to other entries by tRPC. */
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
			const answer = await this._client(address).rate.requestTransfer.mutate(
				request,
				{signal: this._timeout()},
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
			await this._client(address).rate.settleTransfers.mutate(
				{settlements: [...settlements]},
				{signal: this._timeout()},
			);
		} catch {
			// Tokens that can't be settled lapse at the holder.
		}
	}

	async readShardMap(address: string): Promise<ShardMap | undefined> {
		try {
			const answer = await this._client(address).rate.shardMap.query(
				undefined,
				{signal: this._timeout()},
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
			const answer = await this._client(address).identity.query(undefined, {
				signal: this._timeout(),
			});
			const identity = identitySchema.parse(answer);
			return identity.incarnation === incarnation ? 'alive' : 'dead';
		} catch (error) {
			return isConnectionRefused(error) ? 'dead' : 'silent';
		}
	}

	/** Forgets the clients of addresses that are no longer in use. */
	retain(addresses: ReadonlySet<string>): void {
		for (const address of this._clients.keys()) {
			if (!addresses.has(address)) {
				this._clients.delete(address);
			}
		}
	}

	private _client(address: string): TRPCClient<PeerRouter> {
		const known = this._clients.get(address);
		if (known !== undefined) {
			return known;
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

	private _timeout(): AbortSignal {
		return AbortSignal.timeout(this._options.timeoutMs);
	}
}

/** Whether nothing listened at the address, by the chain of causes. */
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
