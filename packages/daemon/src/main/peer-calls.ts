import type {ServerStatus} from '@balsamtray/core';
import {serverStatusSchema, type PeerRouter} from '@balsamtray/protocol';
import {createTRPCClient, httpLink} from '@trpc/client';
import {createLinkFetch} from '../common/link-fetch.js';
import type {Transport} from '../transport/transport.js';

/** Time that a call to a peer may take, in milliseconds. */
const callTimeoutMs = 1000;

/** Calls to agents and entries beside those of configuration and rate. */
export class PeerCalls {
	static create(id: string, transport: Transport): PeerCalls {
		return new PeerCalls(id, transport);
	}

	private constructor(
		private readonly _id: string,
		private readonly _transport: Transport,
	) {}

	/**
	 * Asks an agent for its load.
	 * @throws Error when the agent can't be reached in time or its answer is malformed.
	 */
	async probe(address: string): Promise<ServerStatus> {
		const answer = await this._client(address).agent.probe.query(
			{},
			{signal: AbortSignal.timeout(callTimeoutMs)},
		);
		return serverStatusSchema.parse(answer);
	}

	/** Tells an entry which fingerprints ran on a backend server when it died. */
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
