import {
	topByRendezvous,
	type AuthorityRow,
	type CustomerRule,
	type QuotaGrant,
	type QuotaLedger,
} from '@balsamtray/core';
import type {EntryHeartbeat, GossipMessage} from '@balsamtray/protocol';
import {
	heartbeatIntervalMs,
	maxQuotaAttempts,
	peerTimeoutMs,
	quotaTimeoutMs,
} from './constants.js';
import {PendingQueries, type PendingQueriesOptions} from './pending-queries.js';
import type {Endpoint, MemberRow} from './types.js';

export type EntryPeersOptions = {
	readonly hostId: string;
	readonly clock: () => number;
	readonly epoch: () => number;
	readonly ledger: QuotaLedger;
	readonly send: (message: GossipMessage, to: Endpoint) => void;
	readonly authorityVersion: () => number;
	readonly provenAt: () => number;
	/** Whether this entry accepts requests and is not stopping. */
	readonly isServing: () => boolean;
	/** Called when a peer proves that this entry's authority statements were the newest at `provenAt`. */
	readonly onProof: (provenAt: number, epoch: number) => void;
	readonly fetchStatements: (
		from: Endpoint,
	) => Promise<readonly AuthorityRow[]>;
	readonly onStatements: (rows: readonly AuthorityRow[], from: string) => void;
	/** Called when a quota query to another entry ends. */
	readonly onQueryEnded: PendingQueriesOptions['onEnded'];
	readonly onLost: (peer: string, err: unknown) => void;
	readonly onRegained: (peer: string, lostForMs: number) => void;
	readonly onError: (step: string, err: unknown) => void;
};

/** Result of a request for units of a customer's rate. */
export type Reservation = {
	readonly grant: QuotaGrant;
	/** The entry that decided; undefined if no owner replied or the customer has no limit. */
	readonly owner: string | undefined;
};

type Peer = {
	readonly endpoint: Endpoint;
	/** Whether the members table lists the peer. A peer known only by heartbeat is removed when it is lost. */
	isListed: boolean;
	lastHeardAt: number;
	isLost: boolean;
	/** Whether the peer accepts requests, by its last heartbeat. */
	isServing: boolean;
	/** The peer's last heartbeat: `sentAt` on the peer's clock, `receivedAt` on this entry's clock. */
	lastHeartbeat?: {readonly sentAt: number; readonly receivedAt: number};
};

/** Tracks the other entries by heartbeat, takes freshness proofs from them, and reserves units of customers' quotas. */
export class EntryPeers {
	static create(options: EntryPeersOptions): EntryPeers {
		return new EntryPeers(options);
	}

	private readonly _peers = new Map<string, Peer>();
	private readonly _quotaQueries: PendingQueries<QuotaGrant>;
	private _heartbeatEpoch = -1;
	/** Time of the first heartbeat in the current clock epoch. Echoes of earlier heartbeats prove nothing. */
	private _epochStartedAt = 0;
	private _isFetching = false;
	private _isListed = false;
	private _timer: NodeJS.Timeout | undefined;

	private constructor(private readonly _options: EntryPeersOptions) {
		const {clock, onQueryEnded} = _options;
		this._quotaQueries = PendingQueries.create({
			timeoutMs: quotaTimeoutMs,
			clock,
			onEnded: onQueryEnded,
		});
	}

	/** Number of known entries, including this one. */
	get entryCount(): number {
		return this._peers.size + 1;
	}

	/** Whether another entry accepts requests, by the last heartbeats. */
	get hasServingPeer(): boolean {
		return [...this._peers.values()].some(
			({isLost, isServing}) => isServing && !isLost,
		);
	}

	start(): void {
		this._timer = setInterval(() => {
			this.sendHeartbeats();
		}, heartbeatIntervalMs);
	}

	dispose(): void {
		clearInterval(this._timer);
	}

	/** Called once the members table lists this entry, so other entries can find it there. */
	noteListed(): void {
		this._isListed = true;
	}

	/**
	 * Applies rows of the members table.
	 *
	 * @param isSnapshot whether the rows are the whole table, in which case listed peers without a row are removed
	 */
	setMembers(rows: readonly MemberRow[], isSnapshot: boolean): void {
		if (isSnapshot) {
			const listed = new Set(rows.map(({id}) => id));
			for (const id of this._peers.keys()) {
				if (!listed.has(id) && this._peers.get(id)!.isListed) {
					this._peers.delete(id);
				}
			}
		}

		for (const {id, endpoint} of rows) {
			if (id === this._options.hostId) {
				continue;
			}

			const known = this._peers.get(id);
			if (endpoint === undefined) {
				this._peers.delete(id);
			} else if (
				known !== undefined &&
				isSameEndpoint(known.endpoint, endpoint)
			) {
				known.isListed = true;
			} else {
				this._add(id, endpoint, true);
			}
		}
	}

	/**
	 * Takes units of a customer's rate from the entry that owns its quota. If no owner replies, takes them from this
	 * entry's share of the units that the ledger keeps for this case.
	 */
	async reserve(customer: CustomerRule, units: number): Promise<Reservation> {
		const {ledger, clock, hostId} = this._options;
		if (customer.unitsPerSecond <= 0) {
			return {grant: {kind: 'granted'}, owner: undefined};
		}

		for (let i = 0; i < maxQuotaAttempts; i++) {
			const owner = this._ownerOf(customer.name);
			if (owner === hostId) {
				return {grant: ledger.take(customer, units, clock()), owner};
			}

			// Each attempt starts after the previous one timed out.
			// eslint-disable-next-line no-await-in-loop
			const grant = await this._queryOwner(owner, customer.name, units);
			if (grant !== undefined) {
				return {grant, owner};
			}
		}

		const {entryCount} = this;
		const grant = ledger.takeWithoutOwner(customer, units, entryCount, clock());
		return {grant, owner: undefined};
	}

	/** Returns the units of a request that did not run. */
	returnUnits(customer: string, units: number): void {
		const {ledger, clock, hostId, send} = this._options;
		const owner = this._ownerOf(customer);
		if (owner === hostId) {
			ledger.returnUnits(customer, units, clock());
			return;
		}

		const peer = this._peers.get(owner);
		if (peer !== undefined) {
			send({type: 'quotaReturn', customer, units}, peer.endpoint);
		}
	}

	/** Sends a message to all other known entries. */
	broadcast(message: GossipMessage): void {
		for (const {endpoint} of this._peers.values()) {
			this._options.send(message, endpoint);
		}
	}

	/** Applies a heartbeat. Its sender is added if it joined after the members table was last read. */
	onHeartbeat(heartbeat: EntryHeartbeat, from: Endpoint): void {
		const now = this._options.clock();
		const peer =
			this._peers.get(heartbeat.from) ?? this._add(heartbeat.from, from, false);
		if (peer.isLost) {
			peer.isLost = false;
			if (Number.isFinite(peer.lastHeardAt)) {
				this._options.onRegained(heartbeat.from, now - peer.lastHeardAt);
			}
		}

		peer.lastHeardAt = now;
		peer.isServing = heartbeat.isServing;
		peer.lastHeartbeat = {sentAt: heartbeat.sentAt, receivedAt: now};
		this._options.ledger.recordPeerLevels(heartbeat.levels, now);
		this._applyProof(heartbeat, peer);
	}

	onQuotaReply(askId: number, grant: QuotaGrant): void {
		this._quotaQueries.settle(askId, grant);
	}

	/** Whether this entry owns the customer's quota. */
	isOwner(customer: string): boolean {
		return this._ownerOf(customer) === this._options.hostId;
	}

	/** Detects lost peers and sends a heartbeat to each peer. Runs every `heartbeatIntervalMs` once started. */
	sendHeartbeats(): void {
		const {clock, epoch} = this._options;
		const now = clock();
		if (epoch() !== this._heartbeatEpoch) {
			this._heartbeatEpoch = epoch();
			this._epochStartedAt = now;
		}

		for (const [id, peer] of this._peers) {
			if (!peer.isLost && now - peer.lastHeardAt > peerTimeoutMs) {
				peer.isLost = true;
				this._options.onLost(
					id,
					`no heartbeat for ${Math.round(now - peer.lastHeardAt)} ms`,
				);
			}

			if (peer.isLost && !peer.isListed) {
				this._peers.delete(id);
			} else {
				this._sendHeartbeat(peer, now);
			}
		}
	}

	/** Adds a peer and sends it a heartbeat at once. */
	private _add(id: string, endpoint: Endpoint, isListed: boolean): Peer {
		const peer: Peer = {
			endpoint,
			isListed,
			lastHeardAt: Number.NEGATIVE_INFINITY,
			isLost: true,
			isServing: false,
		};
		this._peers.set(id, peer);
		this._sendHeartbeat(peer, this._options.clock());
		return peer;
	}

	private _sendHeartbeat({lastHeartbeat, endpoint}: Peer, now: number): void {
		const {ledger, send, hostId, authorityVersion, provenAt, isServing} =
			this._options;
		const proofAgeMs = now - provenAt();
		send(
			{
				type: 'entry',
				from: hostId,
				sentAt: now,
				authorityVersion: authorityVersion(),
				isServing: isServing(),
				levels: ledger.levels(now),
				...(Number.isFinite(proofAgeMs) && {proofAgeMs}),
				...(lastHeartbeat !== undefined && {
					echo: {
						sentAt: lastHeartbeat.sentAt,
						heldForMs: now - lastHeartbeat.receivedAt,
					},
				}),
			},
			endpoint,
		);
	}

	/**
	 * Converts a peer's freshness proof to this entry's clock. The echoed heartbeat gives a safe bound: the peer wrote its
	 * heartbeat at least `heldForMs` after this entry sent the echoed one, whatever the network delay.
	 */
	private _applyProof(heartbeat: EntryHeartbeat, peer: Peer): void {
		const {echo, proofAgeMs, authorityVersion} = heartbeat;
		if (authorityVersion > this._options.authorityVersion()) {
			void this._fetchStatements(heartbeat.from, peer);
			return;
		}

		if (
			echo !== undefined &&
			proofAgeMs !== undefined &&
			echo.sentAt >= this._epochStartedAt
		) {
			const provenAt = echo.sentAt + echo.heldForMs - proofAgeMs;
			this._options.onProof(provenAt, this._heartbeatEpoch);
		}
	}

	/** Fetches the authority statements of a peer that has a newer version. */
	private async _fetchStatements(
		from: string,
		{endpoint}: Peer,
	): Promise<void> {
		if (this._isFetching) {
			return;
		}

		this._isFetching = true;
		try {
			const rows = await this._options.fetchStatements(endpoint);
			this._options.onStatements(rows, from);
		} catch (error) {
			this._options.onError(`statements of ${from}`, error);
		} finally {
			this._isFetching = false;
		}
	}

	private _ownerOf(customer: string): string {
		const {hostId} = this._options;
		const reachable = [...this._peers]
			.filter(([, peer]) => !peer.isLost)
			.map(([id]) => id);
		// Other entries send no quota queries to an entry that the table does not list.
		const owners =
			this._isListed || reachable.length === 0
				? [hostId, ...reachable]
				: reachable;
		return topByRendezvous(customer, owners, 1)[0] ?? hostId;
	}

	private async _queryOwner(
		owner: string,
		customer: string,
		units: number,
	): Promise<QuotaGrant | undefined> {
		const peer = this._peers.get(owner);
		if (peer === undefined) {
			return undefined;
		}

		return this._quotaQueries.query(askId => {
			this._options.send(
				{type: 'quotaAsk', from: this._options.hostId, askId, customer, units},
				peer.endpoint,
			);
		});
	}
}

function isSameEndpoint(a: Endpoint, b: Endpoint): boolean {
	return a.host === b.host && a.port === b.port;
}
