import {
	topByRendezvous,
	type AuthorityRow,
	type CustomerRule,
	type QuotaGrant,
	type QuotaLedger,
} from '@balsamtray/core';
import type {EntryBeat, GossipMessage} from '@balsamtray/protocol';
import {
	beatIntervalMs,
	peerSilenceMs,
	quotaTimeoutMs,
	quotaTries,
} from './constants.js';
import {OpenAsks, type OpenAsksOptions} from './open-asks.js';
import type {Endpoint, MemberRow} from './types.js';

export type EntryPeersOptions = {
	readonly hostId: string;
	readonly clock: () => number;
	readonly epoch: () => number;
	readonly ledger: QuotaLedger;
	readonly send: (message: GossipMessage, to: Endpoint) => void;
	readonly authorityVersion: () => number;
	readonly provenAt: () => number;
	/** Whether this entry takes requests and is not about to stop. */
	readonly isServing: () => boolean;
	/** A peer proved that the statements of the version are the newest as of the time. */
	readonly onProof: (provenAt: number, epoch: number) => void;
	readonly fetchStatements: (
		from: Endpoint,
	) => Promise<readonly AuthorityRow[]>;
	readonly onStatements: (rows: readonly AuthorityRow[], from: string) => void;
	/** A question about a customer's rate ended. */
	readonly onAsked: OpenAsksOptions['onTimed'];
	readonly onLost: (peer: string, err: unknown) => void;
	readonly onRegained: (peer: string, lostForMs: number) => void;
	readonly onError: (step: string, err: unknown) => void;
};

/** What became of a request for units of a customer's rate. */
export type Reservation = {
	readonly grant: QuotaGrant;
	/** The entry that decided; undefined where none could be asked, or there is no limit. */
	readonly owner: string | undefined;
};

type Peer = {
	readonly endpoint: Endpoint;
	/** Whether the members' table names it. One that only beats is forgotten when it falls silent. */
	isListed: boolean;
	heardAt: number;
	isLost: boolean;
	/** Whether it said so in its last beat. */
	isServing: boolean;
	/** The peer's last beat: its `sentAt`, and when it came. */
	lastBeat?: {readonly sentAt: number; readonly receivedAt: number};
};

/** The other entries: who is there, what they prove, and the customers' rates that they own. */
export class EntryPeers {
	static create(options: EntryPeersOptions): EntryPeers {
		return new EntryPeers(options);
	}

	private readonly _peers = new Map<string, Peer>();
	private readonly _asks: OpenAsks<QuotaGrant>;
	private _beatEpoch = -1;
	/** Time of the first beat of the present epoch: echoes of earlier beats prove nothing. */
	private _epochBeganAt = 0;
	private _isFetching = false;
	private _isListed = false;
	private _timer: NodeJS.Timeout | undefined;

	private constructor(private readonly _options: EntryPeersOptions) {
		const {clock, onAsked} = _options;
		this._asks = OpenAsks.create({
			timeoutMs: quotaTimeoutMs,
			clock,
			onTimed: onAsked,
		});
	}

	/** Entries that are listed, this one included. */
	get entryCount(): number {
		return this._peers.size + 1;
	}

	/** Whether another entry takes requests, as far as was heard. */
	get hasServing(): boolean {
		return [...this._peers.values()].some(
			({isLost, isServing}) => isServing && !isLost,
		);
	}

	start(): void {
		this._timer = setInterval(() => {
			this.beat();
		}, beatIntervalMs);
	}

	dispose(): void {
		clearInterval(this._timer);
	}

	/** The members' table names this entry, so that others that read it know it. */
	noteListed(): void {
		this._isListed = true;
	}

	/** Takes in rows of the members' table. */
	setMembers(rows: readonly MemberRow[], isWhole: boolean): void {
		if (isWhole) {
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
			} else if (known !== undefined && isSame(known.endpoint, endpoint)) {
				known.isListed = true;
			} else {
				this._add(id, endpoint, true);
			}
		}
	}

	/** Spends units of a customer's rate, through its owner. */
	async reserve(customer: CustomerRule, units: number): Promise<Reservation> {
		const {ledger, clock, hostId} = this._options;
		if (customer.unitsPerSecond <= 0) {
			return {grant: {kind: 'granted'}, owner: undefined};
		}

		for (let i = 0; i < quotaTries; i++) {
			const owner = this._ownerOf(customer.name);
			if (owner === hostId) {
				return {grant: ledger.take(customer, units, clock()), owner};
			}

			// Each try waits for the one before.
			// eslint-disable-next-line no-await-in-loop
			const grant = await this._ask(owner, customer.name, units);
			if (grant !== undefined) {
				return {grant, owner};
			}
		}

		const {entryCount} = this;
		const grant = ledger.takeUnowned(customer, units, entryCount, clock());
		return {grant, owner: undefined};
	}

	/** Gives back units of a request that did not run. */
	giveBack(customer: string, units: number): void {
		const {ledger, clock, hostId, send} = this._options;
		const owner = this._ownerOf(customer);
		if (owner === hostId) {
			ledger.giveBack(customer, units, clock());
			return;
		}

		const peer = this._peers.get(owner);
		if (peer !== undefined) {
			send({type: 'quotaReturn', customer, units}, peer.endpoint);
		}
	}

	/** Sends a message to all other entries that are listed. */
	tellAll(message: GossipMessage): void {
		for (const {endpoint} of this._peers.values()) {
			this._options.send(message, endpoint);
		}
	}

	/** Takes in a beat, also of an entry that joined after the table was last read. */
	onBeat(beat: EntryBeat, from: Endpoint): void {
		const now = this._options.clock();
		const peer =
			this._peers.get(beat.from) ?? this._add(beat.from, from, false);
		if (peer.isLost) {
			peer.isLost = false;
			if (Number.isFinite(peer.heardAt)) {
				this._options.onRegained(beat.from, now - peer.heardAt);
			}
		}

		peer.heardAt = now;
		peer.isServing = beat.isServing;
		peer.lastBeat = {sentAt: beat.sentAt, receivedAt: now};
		this._options.ledger.hear(beat.levels, now);
		this._takeProof(beat, peer);
	}

	onQuotaAnswer(askId: number, grant: QuotaGrant): void {
		this._asks.settle(askId, grant);
	}

	/** Whether the customer's rate is kept here. */
	isOwner(customer: string): boolean {
		return this._ownerOf(customer) === this._options.hostId;
	}

	/** Tells the others what they need to know. Done several times a second once started. */
	beat(): void {
		const {clock, epoch} = this._options;
		const now = clock();
		if (epoch() !== this._beatEpoch) {
			this._beatEpoch = epoch();
			this._epochBeganAt = now;
		}

		for (const [id, peer] of this._peers) {
			if (!peer.isLost && now - peer.heardAt > peerSilenceMs) {
				peer.isLost = true;
				this._options.onLost(
					id,
					`silent for ${Math.round(now - peer.heardAt)} ms`,
				);
			}

			if (peer.isLost && !peer.isListed) {
				this._peers.delete(id);
			} else {
				this._beatTo(peer, now);
			}
		}
	}

	/** Adds an entry and lets it know of this one at once. */
	private _add(id: string, endpoint: Endpoint, isListed: boolean): Peer {
		const peer: Peer = {
			endpoint,
			isListed,
			heardAt: Number.NEGATIVE_INFINITY,
			isLost: true,
			isServing: false,
		};
		this._peers.set(id, peer);
		this._beatTo(peer, this._options.clock());
		return peer;
	}

	private _beatTo({lastBeat, endpoint}: Peer, now: number): void {
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
				...(lastBeat !== undefined && {
					echo: {
						sentAt: lastBeat.sentAt,
						heldForMs: now - lastBeat.receivedAt,
					},
				}),
			},
			endpoint,
		);
	}

	/**
	 * A peer's proof counts from the moment at which this entry sent the beat that the peer echoes: the peer
	 * wrote its answer later than that, however long the answer was on its way.
	 */
	private _takeProof(beat: EntryBeat, peer: Peer): void {
		const {echo, proofAgeMs, authorityVersion} = beat;
		if (authorityVersion > this._options.authorityVersion()) {
			void this._fetch(beat.from, peer);
			return;
		}

		if (
			echo !== undefined &&
			proofAgeMs !== undefined &&
			echo.sentAt >= this._epochBeganAt
		) {
			const provenAt = echo.sentAt + echo.heldForMs - proofAgeMs;
			this._options.onProof(provenAt, this._beatEpoch);
		}
	}

	/** Reads the statements that a peer knows and this entry does not. */
	private async _fetch(from: string, {endpoint}: Peer): Promise<void> {
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
		const present = [...this._peers]
			.filter(([, peer]) => !peer.isLost)
			.map(([id]) => id);
		// Others do not ask an entry that the table does not name.
		const owners =
			this._isListed || present.length === 0 ? [hostId, ...present] : present;
		return topByRendezvous(customer, owners, 1)[0] ?? hostId;
	}

	private async _ask(
		owner: string,
		customer: string,
		units: number,
	): Promise<QuotaGrant | undefined> {
		const peer = this._peers.get(owner);
		if (peer === undefined) {
			return undefined;
		}

		return this._asks.ask(askId => {
			this._options.send(
				{type: 'quotaAsk', from: this._options.hostId, askId, customer, units},
				peer.endpoint,
			);
		});
	}
}

function isSame(a: Endpoint, b: Endpoint): boolean {
	return a.host === b.host && a.port === b.port;
}
