import {
	configAnswerSchema,
	type ConfigAnswer,
	type PeerRouter,
} from '@balsamtray/protocol';
import {createTRPCClient, httpLink} from '@trpc/client';
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import {createLinkFetch} from '../common/link-fetch.js';

const versionAnswerSchema = z.object({
	version: z.number().int().nonnegative(),
});

/** Calls of the configuration's spread to other processes. Failures are thrown. */
export type PeerConfigCalls = {
	/** Tells the peer the own version and returns the peer's. */
	exchangeVersion(address: string, version: number): Promise<number>;
	changesAfter(address: string, version: number): Promise<ConfigAnswer>;
};

/** What a client of peers is created from. */
export type PeerConfigClientOptions = {
	/** Identifier of this process. */
	readonly id: string;
	/** Base URL of the process at the address. */
	readonly peerUrl: (address: string) => string;
	readonly peerDispatcher: () => Dispatcher;
	readonly exchangeTimeoutMs: number;
	readonly pullTimeoutMs: number;
};

/** Client of the configuration calls that every process of the system serves under `/trpc`. */
export class PeerConfigClient implements PeerConfigCalls {
	static create(options: PeerConfigClientOptions): PeerConfigClient {
		return new PeerConfigClient(options);
	}

	private constructor(private readonly _options: PeerConfigClientOptions) {}

	async exchangeVersion(address: string, version: number): Promise<number> {
		const answer = await this._client(address).exchangeVersion.mutate(
			{peer: this._options.id, version},
			{signal: AbortSignal.timeout(this._options.exchangeTimeoutMs)},
		);
		return versionAnswerSchema.parse(answer).version;
	}

	async changesAfter(address: string, version: number): Promise<ConfigAnswer> {
		const answer = await this._client(address).changesAfter.query(
			{version},
			{signal: AbortSignal.timeout(this._options.pullTimeoutMs)},
		);
		return configAnswerSchema.parse(answer);
	}

	private _client(address: string) {
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
