import type {ServerStatus} from '@balsamtray/core';
import {serverStatusSchema, type PeerRouter} from '@balsamtray/protocol';
import {createTRPCClient, httpLink} from '@trpc/client';
import {createLinkFetch} from '../common/link-fetch.js';
import type {Transport} from '../transport/transport.js';

/** Timeout of a call to a peer, in milliseconds. */
const callTimeoutMs = 1000;

/** Client for calls to agents and entries, except those for configuration and rates. */
export class PeerClient {
	static create(id: string, transport: Transport): PeerClient {
		return new PeerClient(id, transport);
	}

	private constructor(
		private readonly _id: string,
		private readonly _transport: Transport,
	) {}

	/**
	 * Asks an agent for its status and load.
	 * @throws Error if the agent does not respond in time or its response is malformed.
	 */
	async probe(address: string): Promise<ServerStatus> {
		const response = await this._client(address).agent.probe.query(
			{},
			{signal: AbortSignal.timeout(callTimeoutMs)},
		);
		return serverStatusSchema.parse(response);
	}

	/**
	 * Reports to an entry the fingerprints of the requests that ran on a backend server when it crashed.
	 * @throws Error if the entry does not respond in time.
	 */
	async reportSuspects(
		address: string,
		fingerprints: readonly string[],
		bootId: string,
	): Promise<void> {
		await this._client(address).quarantine.reportSuspects.mutate(
			{peer: this._id, fingerprints: [...fingerprints], bootId},
			{signal: AbortSignal.timeout(callTimeoutMs)},
		);
	}

	private _client(address: string) {
		return createTRPCClient<PeerRouter>({
			links: [
				httpLink({
					url: `${this._transport.peerUrl(address)}/trpc`,
					fetch: createLinkFetch(() => this._transport.peerDispatcher()),
				}),
			],
		});
	}
}
