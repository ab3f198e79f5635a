import {
	configResponseSchema,
	type ConfigResponse,
	type PeerRouter,
} from '@balsamtray/protocol';
import {createTRPCClient, httpLink} from '@trpc/client';
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import {createLinkFetch} from '../common/link-fetch.js';

const versionResponseSchema = z.object({
	version: z.number().int().nonnegative(),
});

/** Calls that propagate the configuration between processes. They throw if the call fails. */
export type PeerConfigCalls = {
	/** Sends this process's version to the peer and returns the peer's version. */
	exchangeVersion(address: string, version: number): Promise<number>;
	/** Returns the peer's changes after the version, or a snapshot. */
	changesAfter(address: string, version: number): Promise<ConfigResponse>;
};

/** Options of a client for peers. */
export type PeerConfigClientOptions = {
	/** Identifier of this process. */
	readonly id: string;
	/** Returns the base URL of the process at the address. */
	readonly peerUrl: (address: string) => string;
	readonly peerDispatcher: () => Dispatcher;
	readonly exchangeTimeoutMs: number;
	readonly pullTimeoutMs: number;
};

/** Client of the configuration calls that each process serves under `/trpc`. */
export class PeerConfigClient implements PeerConfigCalls {
	static create(options: PeerConfigClientOptions): PeerConfigClient {
		return new PeerConfigClient(options);
	}

	private constructor(private readonly _options: PeerConfigClientOptions) {}

	async exchangeVersion(address: string, version: number): Promise<number> {
		const answer = await this._clientFor(address).exchangeVersion.mutate(
			{peer: this._options.id, version},
			{signal: AbortSignal.timeout(this._options.exchangeTimeoutMs)},
		);
		return versionResponseSchema.parse(answer).version;
	}

	async changesAfter(
		address: string,
		version: number,
	): Promise<ConfigResponse> {
		const answer = await this._clientFor(address).changesAfter.query(
			{version},
			{signal: AbortSignal.timeout(this._options.pullTimeoutMs)},
		);
		return configResponseSchema.parse(answer);
	}

	private _clientFor(address: string) {
		return createTRPCClient<PeerRouter>({
			links: [
				httpLink({
					url: `${this._options.peerUrl(address)}/trpc`,
					fetch: createLinkFetch(this._options.peerDispatcher),
				}),
			],
		});
	}
}
