import {
	compareStoreVersions,
	EntryCensus,
	EntryTopology,
	grantablePart,
	reachOf,
	slackWindowMs,
	wholeReach,
	type AuthorityRow,
	type CustomerRule,
	type QuotaGrant,
	type QuotaLedger,
	type StoreVersion,
} from '@balsamtray/core';
import type {
	EntryHeartbeat,
	GossipMessage,
	GossipTable,
	PartNote,
	QuotaQuery,
	SuspectMessage,
} from '@balsamtray/protocol';
import {
	forgetLossMs,
	heartbeatIntervalMs,
	lostLinkIntervals,
	maxClockOffsetMs,
	maxSeenReports,
	peerTimeoutMs,
	quotaRetryMs,
	quotaTimeoutMs,
	unresponsiveOwnerMs,
} from './constants.js';
import {isSameEndpoint, roundMs} from './datagram-values.js';
import {PendingQueries, type PendingQueriesOptions} from './pending-queries.js';
import type {StreamKeeper} from './stream-directory.js';
import type {Endpoint, MemberRow} from './types.js';

export type EntryPeersOptions = {
	readonly hostId: string;
	readonly zone: string;
	/** Address at which other entries reach this one. */
	readonly endpoint: Endpoint;
	readonly clock: () => number;
	/** Returns a random number in [0, 1). */
	readonly random: () => number;
	readonly epoch: () => number;
	readonly ledger: QuotaLedger;
	readonly send: (message: GossipMessage, to: Endpoint) => void;
	/** Newest version among this entry's authority statements. */
	readonly authorityVersion: () => StoreVersion;
	/** Newest era of which this entry's statements tell what the store has lost. */
	readonly settledEra: () => number;
	/** Newest known era of the store. */
	readonly storeEra: () => number;
	/** Called with the era of each heartbeat. */
	readonly onEra: (era: number, from: string) => void;
	readonly provenAt: () => number;
	/** Whether this entry accepts requests and is not stopping. */
	readonly isServing: () => boolean;
	/** Names of the customers with a rate limit. */
	readonly customers: () => readonly string[];
	/** This entry's copies of the server list and of the members table. */
	readonly tables: () => {
		readonly servers?: GossipTable;
		readonly members?: GossipTable;
	};
	/** Called when a peer announces its copies of tables. */
	readonly onTables: (
		peer: {readonly id: string; readonly endpoint: Endpoint},
		heartbeat: EntryHeartbeat,
		isParent: boolean,
	) => void;
	/** Called when a peer proves that this entry's authority statements were the newest of an era at `provenAt`. */
	readonly onProof: (provenAt: number, epoch: number, era: number) => void;
	readonly fetchStatements: (
		from: Endpoint,
	) => Promise<readonly AuthorityRow[]>;
	readonly onStatements: (rows: readonly AuthorityRow[], from: string) => void;
	/** Called when this entry begins or stops to read the store for its zone. */
	readonly onRootChanged: (isRoot: boolean, parent: string | undefined) => void;
	/** Text that differs if this entry has quarantined other parts of prompts; empty without any. */
	readonly quarantine: () => string;
	/** Called with what a heartbeat says of the peer's quarantined parts. */
	readonly onQuarantine: (
		peer: {readonly id: string; readonly endpoint: Endpoint},
		digest: string | undefined,
	) => void;
	/** Text that differs if this entry has quarantined other requests; empty without any. */
	readonly quarantinedRequests: () => string;
	/** Called with what a heartbeat says of the peer's quarantined requests. */
	readonly onQuarantinedRequests: (
		peer: {readonly id: string; readonly endpoint: Endpoint},
		digest: string | undefined,
	) => void;
	/** Time for which an entry that is cut from the store and its peers may go on serving, in milliseconds. */
	readonly maxCutServingMs: () => number;
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
	readonly zone: string;
	/** Whether the members table lists the peer. A peer known only by heartbeat is removed when it is lost. */
	isListed: boolean;
	/** Whether this entry sends heartbeats to the peer on its own account. */
	isLinked: boolean;
	/** Whether the peer should get changes from this entry. */
	isChild: boolean;
	/** Time since which the peer is expected to send heartbeats. */
	expectedSince: number;
	/** Time of the last heartbeat in which the peer asked for heartbeats. */
	linkedByPeerAt: number;
	lastHeardAt: number;
	isLost: boolean;
	lostAt: number;
	/** Time until which quota queries go to the next candidate, because the peer did not reply to one. */
	unresponsiveUntil: number;
	/** Whether the peer accepts requests, by its last heartbeat. */
	isServing: boolean;
	/** Entries of the peer's zone that the peer considers lost. */
	zoneLost: readonly string[];
	/** The peer's last heartbeat: `sentAt` as the peer wrote it, `receivedAt` on this entry's clock. */
	lastHeartbeat?: {readonly sentAt: number; readonly receivedAt: number};
};

/**
 * Keeps in touch with the entries that the topology links this one with: tracks them by heartbeat, takes freshness
 * proofs from them, and reserves units of customers' quotas.
 */
export class EntryPeers {
	static create(options: EntryPeersOptions): EntryPeers {
		return new EntryPeers(options);
	}

	private readonly _peers = new Map<string, Peer>();
	private readonly _topology: EntryTopology;
	private readonly _census = EntryCensus.create();
	private readonly _quotaQueries: PendingQueries<QuotaGrant>;
	/** Identifiers of the crash reports that were passed on, oldest first. */
	private readonly _seenReports = new Set<string>();
	private _reportCount = 0;
	private readonly _startedAt = Date.now();
	/** Added to the times that heartbeats carry, so that this process knows echoes of its own heartbeats. */
	private readonly _clockOffsetMs: number;
	private _heartbeatEpoch = -1;
	/** Time of the first heartbeat in the current clock epoch. Echoes of earlier heartbeats prove nothing. */
	private _epochStartedAt = 0;
	/** Updated once a heartbeat interval, since each reservation reads it. */
	private _reach = wholeReach;
	private _tickCount = 0;
	private _isFetching = false;
	private _isListed = false;
	/** Whether the table lists this entry, known from a read: the answer to its write may be lost. */
	private _isInTable = false;
	private _parent: string | undefined;
	private _wasRoot: boolean | undefined;
	private _timer: NodeJS.Timeout | undefined;

	private constructor(private readonly _options: EntryPeersOptions) {
		const {clock, random, onQueryEnded, hostId, zone} = _options;
		this._clockOffsetMs = Math.floor(random() * maxClockOffsetMs);
		this._topology = EntryTopology.create({id: hostId, zone});
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

	/**
	 * Number of entries that were known at some time of the last `withinMs` milliseconds, including this one; undefined before
	 * the members table was read.
	 */
	entriesWithin(withinMs: number): number | undefined {
		return this._census.count(withinMs, this._options.clock());
	}

	/** Whether the members table was read, so that the other entries are known. */
	get hasMembers(): boolean {
		return this._census.hasTable;
	}

	/** Known entries that are not lost, this one included. */
	get liveEntries(): readonly string[] {
		const others = [...this._peers.keys()].filter(id => !this._isLost(id));
		return [this._options.hostId, ...others];
	}

	/** Whether another entry accepts requests, by the last heartbeats. */
	get hasServingPeer(): boolean {
		const now = this._options.clock();
		return [...this._peers.values()].some(
			({isLost, isServing, lastHeardAt}) =>
				isServing && !isLost && now - lastHeardAt <= 2 * peerTimeoutMs,
		);
	}

	/** Whether this entry reads the store for its zone. */
	get isRoot(): boolean {
		return this._topology.isRoot(this._isLost);
	}

	/** Delay by which this entry's own reads are shifted against those of other entries, in milliseconds. */
	get readShiftMs(): number {
		return this._topology.readShiftMs;
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

	/** Rows of the listed entries, for sending them to another entry. */
	memberRows(): readonly MemberRow[] {
		const {hostId, endpoint: ownEndpoint, zone: ownZone} = this._options;
		const own = {id: hostId, endpoint: ownEndpoint, zone: ownZone};
		const others = [...this._peers]
			.filter(([, {isListed}]) => isListed)
			.map(([id, {endpoint, zone}]) => ({id, endpoint, zone}));
		return this._isListed || this._isInTable ? [own, ...others] : others;
	}

	/**
	 * Applies rows of the members table. Returns whether an entry was added, changed or removed.
	 *
	 * @param isSnapshot whether the rows are the whole table, in which case listed peers without a row are removed
	 */
	setMembers(rows: readonly MemberRow[], isSnapshot: boolean): boolean {
		let hasChanged = false;
		const own = rows.find(({id}) => id === this._options.hostId);
		if (own !== undefined || isSnapshot) {
			this._isInTable = own?.endpoint !== undefined;
		}

		if (isSnapshot) {
			const listed = new Set(rows.map(({id}) => id));
			for (const [id, peer] of this._peers) {
				if (!listed.has(id) && peer.isListed) {
					this._peers.delete(id);
					hasChanged = true;
				}
			}
		}

		for (const row of rows) {
			if (row.id !== this._options.hostId) {
				hasChanged = this._setMember(row) || hasChanged;
			}
		}

		if (hasChanged) {
			this._updateTopology();
		}

		this._census.noteTable();
		return hasChanged;
	}

	/**
	 * Takes units of a customer's rate from the entry that owns its quota. If the owner does not reply, the next candidate
	 * is asked as well, which decides in its place if it has lost the owner, and otherwise passes the query on. If nobody
	 * replies, takes the units from this entry's share of those that the ledger keeps for this case.
	 */
	async reserve(customer: CustomerRule, units: number): Promise<Reservation> {
		const {ledger, clock, hostId} = this._options;
		if (customer.unitsPerSecond <= 0) {
			return {grant: {kind: 'granted'}, owner: undefined};
		}

		const owner = this._entryToAsk(customer.name);
		if (owner === hostId) {
			const rule = this.grantable(customer);
			return {grant: ledger.take(rule, units, clock()), owner};
		}

		const reservation =
			owner === undefined
				? undefined
				: await this._queryOwners(owner, customer.name, units);
		if (reservation !== undefined) {
			return reservation;
		}

		const now = clock();
		const entryCount = this._census.count(slackWindowMs, now);
		const grant = ledger.takeWithoutOwner(customer, units, entryCount, now);
		return {grant, owner: undefined};
	}

	/**
	 * Takes a request from the limit that a server names, of the entry that owns the limit. Resolves with the time until the
	 * next one may be granted, in milliseconds; 0 if this one is. Undefined if no owner replies: the limit has no share for that
	 * case, as another entry may grant all of it.
	 */
	async reserveLimited(rule: CustomerRule): Promise<number | undefined> {
		const owner = this._entryToAsk(rule.name);
		const grant = await this._grantLimited(owner, rule);
		return grant?.kind === 'refused' ? grant.retryAfterMs : grant && 0;
	}

	/** The part of a rate that this entry may grant as its owner. */
	grantable(rule: CustomerRule): CustomerRule {
		return grantablePart(rule, this._reach);
	}

	/** Returns the units of a request that did not run. */
	returnUnits(customer: string, units: number): void {
		const {ledger, clock, hostId, send} = this._options;
		const owner = this._ownerOf(customer);
		if (owner === hostId) {
			ledger.returnUnits(customer, units, clock());
			return;
		}

		const peer = this._peerOf(owner);
		if (peer !== undefined) {
			send({type: 'quotaReturn', customer, units}, peer.endpoint);
		}
	}

	/** Passes a query for units that this entry does not own on to the owner, once. */
	forwardQuery(query: QuotaQuery, from: Endpoint): void {
		const owner = this._peerOf(this._ownerOf(query.customer));
		if (query.replyTo === undefined && owner !== undefined) {
			this._options.send({...query, replyTo: from}, owner.endpoint);
		}
	}

	/** Tells all entries that a request was running on a server that broke. */
	spreadSuspect(fingerprint: string, server: string): void {
		const reportId = this._nextReportId();
		this.passOn({type: 'suspect', fingerprint, server, reportId});
	}

	/** Sends evidence on parts of prompts to all entries. */
	spreadPartNote(note: Pick<PartNote, 'suspects' | 'cleared'>): void {
		this.passOn({type: 'partNote', reportId: this._nextReportId(), ...note});
	}

	/** Passes a crash report on to the linked entries. Returns false if it was already passed on. */
	passOn(message: SuspectMessage | PartNote): boolean {
		const {reportId} = message;
		if (reportId !== undefined) {
			if (this._seenReports.has(reportId)) {
				return false;
			}

			this._seenReports.add(reportId);
			for (const oldest of this._seenReports) {
				if (this._seenReports.size <= maxSeenReports) {
					break;
				}

				this._seenReports.delete(oldest);
			}
		}

		this.sendToLinks(message);
		return true;
	}

	/** Sends a message to the linked entries. */
	sendToLinks(message: GossipMessage): void {
		const now = this._options.clock();
		for (const peer of this._peers.values()) {
			if (isInTouch(peer, now)) {
				this._options.send(message, peer.endpoint);
			}
		}
	}

	/** Other entries that may keep the origin of a stream, in order. */
	streamKeepers(stream: string): readonly StreamKeeper[] {
		return this._topology.streamCandidates(stream).flatMap(id => {
			const peer = this._peers.get(id);
			return peer === undefined
				? []
				: [{id, endpoint: peer.endpoint, isLost: peer.isLost}];
		});
	}

	/** Number of known entries that come before this one in an order for the key, on which all entries agree. */
	rank(key: string): number {
		return this._topology.rank(key);
	}

	/** Number of entries of this entry's zone that are not lost, including this one. */
	get zoneSize(): number {
		return this._topology.zonePeers(this._isLostInZone).length + 1;
	}

	/** Whether this entry relays the reports of the server's agent to its zone. */
	isRelay(server: string): boolean {
		return this._topology.isRelay(server, this._isLostInZone);
	}

	/** Sends a message to the other entries of this entry's zone. */
	sendToZone(message: GossipMessage): void {
		for (const id of this._topology.zonePeers(this._isLostInZone)) {
			const peer = this._peers.get(id);
			if (peer !== undefined) {
				this._options.send(message, peer.endpoint);
			}
		}
	}

	/** Applies a heartbeat. Its sender is added if it joined after the members table was last read. */
	onHeartbeat(heartbeat: EntryHeartbeat, from: Endpoint): void {
		const now = this._options.clock();
		const id = heartbeat.from;
		if (!this._peers.has(id)) {
			this._add(id, from, heartbeat.zone ?? '', false);
			this._updateTopology();
		}

		const peer = this._peers.get(id)!;
		if (peer.isLost) {
			peer.isLost = false;
			if (Number.isFinite(peer.lastHeardAt)) {
				this._options.onRegained(id, now - peer.lastHeardAt);
			}
		}

		peer.lastHeardAt = now;
		peer.isServing = heartbeat.isServing;
		peer.zoneLost = heartbeat.zoneLost ?? [];
		peer.lastHeartbeat = {sentAt: heartbeat.sentAt, receivedAt: now};
		const isNewLink = now - peer.linkedByPeerAt > peerTimeoutMs;
		if (heartbeat.isLink !== false) {
			peer.linkedByPeerAt = now;
			if (isNewLink && !peer.isLinked) {
				// The echo lets the new link take proofs at once.
				this._sendHeartbeat(id, peer, now);
			}
		}

		this._options.ledger.recordPeerLevels(heartbeat.levels, now);
		this._applyProof(heartbeat, peer);
		const isParent = id === this._parent;
		const sender = {id, endpoint: peer.endpoint};
		this._options.onTables(sender, heartbeat, isParent);
		this._options.onQuarantine(sender, heartbeat.quarantine);
		this._options.onQuarantinedRequests(sender, heartbeat.quarantinedRequests);
	}

	onQuotaReply(askId: number, grant: QuotaGrant): void {
		this._quotaQueries.settle(askId, grant);
	}

	/** Whether this entry is told the customer's level, so that it can take over its quota. */
	knowsLevel(customer: string): boolean {
		return this._topology
			.ownerCandidates(customer)
			.includes(this._options.hostId);
	}

	/** Whether this entry owns the customer's quota. */
	isOwner(customer: string): boolean {
		return this._ownerOf(customer) === this._options.hostId;
	}

	/** Detects lost peers and sends heartbeats to the links. Runs every `heartbeatIntervalMs` once started. */
	sendHeartbeats(): void {
		const {clock, epoch} = this._options;
		const now = clock();
		this._tickCount++;
		if (epoch() !== this._heartbeatEpoch) {
			this._heartbeatEpoch = epoch();
			this._epochStartedAt = now;
		}

		this._detectLosses(now);
		this._updateLinks(now);
		this._updateReach(now);
		for (const [id, peer] of this._peers) {
			if (isInTouch(peer, now)) {
				this._sendHeartbeat(id, peer, now);
			}
		}

		if (this._tickCount % lostLinkIntervals === 0) {
			for (const id of this._topology.lostLinks(this._isLost)) {
				const peer = this._peers.get(id);
				if (peer?.isLinked === false) {
					this._sendHeartbeat(id, peer, now, true);
				}
			}
		}
	}

	/** Sends heartbeats to the links at once, so that they hear of a change. */
	announce(): void {
		const now = this._options.clock();
		for (const [id, peer] of this._peers) {
			if (isInTouch(peer, now) && !peer.isLost) {
				this._sendHeartbeat(id, peer, now);
			}
		}
	}

	/** The start time tells reports from those of an earlier process of this host. */
	private _nextReportId(): string {
		return `${this._options.hostId}/${this._startedAt}/${this._reportCount++}`;
	}

	private readonly _isLost = (id: string): boolean =>
		this._peers.get(id)?.isLost ?? false;

	/** Like `_isLost`, with what the parent sees, which hears from more entries of the zone. */
	private readonly _isLostInZone = (id: string): boolean =>
		this._isLost(id) ||
		this._peerOf(this._parent)?.zoneLost.includes(id) === true;

	private _setMember({id, endpoint, zone = ''}: MemberRow): boolean {
		const known = this._peers.get(id);
		if (endpoint === undefined) {
			return this._peers.delete(id);
		}

		if (known?.zone === zone && isSameEndpoint(known.endpoint, endpoint)) {
			const hasChanged = !known.isListed;
			known.isListed = true;
			return hasChanged;
		}

		this._add(id, endpoint, zone, true);
		return true;
	}

	private _add(
		id: string,
		endpoint: Endpoint,
		zone: string,
		isListed: boolean,
	): void {
		this._peers.set(id, {
			endpoint,
			zone,
			isListed,
			isLinked: false,
			isChild: false,
			expectedSince: 0,
			linkedByPeerAt: Number.NEGATIVE_INFINITY,
			lastHeardAt: Number.NEGATIVE_INFINITY,
			isLost: false,
			lostAt: 0,
			unresponsiveUntil: 0,
			isServing: false,
			zoneLost: [],
		});
	}

	private _updateTopology(): void {
		this._census.setOthers(this._peers.keys(), this._options.clock());
		this._topology.setMembers(
			[...this._peers].map(([id, {zone}]) => ({id, zone})),
		);
		this._updateLinks(this._options.clock());
	}

	/** Sends a heartbeat to each new link at once. */
	private _updateLinks(now: number): void {
		const {customers, onRootChanged} = this._options;
		const links = this._topology.links(customers(), this._isLost);
		const children = new Set(this._topology.children(this._isLost));
		for (const [id, peer] of this._peers) {
			if (children.has(id) && !peer.isChild && !peer.isLinked) {
				peer.expectedSince = now;
			}

			peer.isChild = children.has(id);
			const isLinked = links.has(id);
			if (isLinked && !peer.isLinked) {
				peer.isLinked = true;
				peer.expectedSince = now;
				this._sendHeartbeat(id, peer, now);
			} else {
				peer.isLinked = isLinked;
			}
		}

		const parent = this._topology.parent(this._isLost);
		const isRoot = parent === undefined;
		if (isRoot !== this._wasRoot || parent !== this._parent) {
			this._wasRoot = isRoot;
			this._parent = parent;
			onRootChanged(isRoot, parent);
		}
	}

	private _updateReach(now: number): void {
		const others = [...this._peers.values()].map(peer => ({
			zone: peer.zone,
			isWatched: peer.isLinked || peer.isChild,
			lostForMs: peer.isLost ? now - peer.lostAt : undefined,
		}));
		this._reach = reachOf(others, this._options.maxCutServingMs());
	}

	private _detectLosses(now: number): void {
		const probed = new Set(this._topology.lostLinks(this._isLost));
		let hasRemoved = false;
		for (const [id, peer] of this._peers) {
			// Other peers may stop sending heartbeats because they have chosen other links.
			const isExpected = peer.isLinked || peer.isChild || !peer.isListed;
			const heardAt = Math.max(peer.lastHeardAt, peer.expectedSince);
			if (peer.isLost) {
				const isWatched = peer.isLinked || peer.isChild || probed.has(id);
				if (!isWatched && now - peer.lostAt > forgetLossMs) {
					// Nobody would notice the return of a peer that is neither linked nor probed.
					peer.isLost = false;
				}
			} else if (isExpected && now - heardAt > peerTimeoutMs) {
				peer.isLost = true;
				peer.lostAt = now;
				this._options.onLost(
					id,
					`no heartbeat for ${Math.round(now - heardAt)} ms`,
				);
			}

			if (peer.isLost && !peer.isListed) {
				this._peers.delete(id);
				hasRemoved = true;
			}
		}

		if (hasRemoved) {
			this._updateTopology();
		}
	}

	/** @param isLink whether the peer is asked for heartbeats */
	private _sendHeartbeat(
		id: string,
		peer: Peer,
		now: number,
		isLink = peer.isLinked,
	): void {
		const {ledger, send, hostId, zone, authorityVersion, provenAt} =
			this._options;
		const {era: authorityEra, version} = authorityVersion();
		const settledEra = this._options.settledEra();
		const {lastHeartbeat, endpoint} = peer;
		const proofAgeMs = now - provenAt();
		const quarantine = this._options.quarantine();
		const quarantinedRequests = this._options.quarantinedRequests();
		const zoneLost =
			peer.zone === zone
				? [...this._peers]
						.filter(([, other]) => other.isLost && other.zone === zone)
						.map(([lostId]) => lostId)
				: [];
		send(
			{
				type: 'entry',
				from: hostId,
				zone,
				isLink,
				sentAt: roundMs(now + this._clockOffsetMs),
				authorityVersion: version,
				...(authorityEra > 0 && {authorityEra}),
				...(settledEra > 0 && {settledEra}),
				isServing: this._options.isServing(),
				levels: ledger
					.levels(now)
					.filter(
						({customer}) =>
							this.isOwner(customer) &&
							this._topology.ownerCandidates(customer).includes(id),
					)
					.map(({customer, level}) => ({customer, level: roundMs(level)})),
				...this._options.tables(),
				...(quarantine !== '' && {quarantine}),
				...(quarantinedRequests !== '' && {quarantinedRequests}),
				...(zoneLost.length > 0 && {zoneLost}),
				...(Number.isFinite(proofAgeMs) && {
					proofAgeMs: Math.ceil(proofAgeMs),
				}),
				...(lastHeartbeat !== undefined && {
					echo: {
						sentAt: lastHeartbeat.sentAt,
						heldForMs: roundMs(now - lastHeartbeat.receivedAt),
					},
				}),
			},
			endpoint,
		);
	}

	/** Takes a peer's freshness proof, or its statements if they are newer. */
	private _applyProof(heartbeat: EntryHeartbeat, peer: Peer): void {
		const {authorityVersion, storeEra, onEra, onProof} = this._options;
		const {from, authorityVersion: version, authorityEra: era = 0} = heartbeat;
		onEra(era, from);
		if (
			compareStoreVersions({era, version}, authorityVersion()) > 0 ||
			(heartbeat.settledEra ?? 0) > this._options.settledEra()
		) {
			void this._fetchStatements(heartbeat, peer);
			return;
		}

		const provenAt = this._provenAt(heartbeat);
		if (provenAt !== undefined && era >= storeEra()) {
			onProof(provenAt, this._heartbeatEpoch, era);
		}
	}

	/**
	 * Converts a peer's freshness proof to this entry's clock. The echoed heartbeat gives a safe bound: the peer wrote its
	 * heartbeat at least `heldForMs` after this entry sent the echoed one, whatever the network delay. An echo of an
	 * earlier process of this host tells nothing, since the monotonic clock of each process starts at 0.
	 */
	private _provenAt({echo, proofAgeMs}: EntryHeartbeat): number | undefined {
		if (echo === undefined || proofAgeMs === undefined) {
			return undefined;
		}

		const now = this._options.clock();
		const sentAt = echo.sentAt - this._clockOffsetMs;
		const provenAt = sentAt + echo.heldForMs - proofAgeMs;
		return sentAt >= this._epochStartedAt && sentAt <= now && provenAt <= now
			? provenAt
			: undefined;
	}

	/** Fetches the authority statements of a peer that has a newer version. */
	private async _fetchStatements(
		heartbeat: EntryHeartbeat,
		{endpoint}: Peer,
	): Promise<void> {
		if (this._isFetching) {
			return;
		}

		const {fetchStatements, authorityVersion, onStatements, onProof, onError} =
			this._options;
		const {from, authorityVersion: version, authorityEra: era = 0} = heartbeat;
		const provenAt = this._provenAt(heartbeat);
		const epoch = this._heartbeatEpoch;
		this._isFetching = true;
		try {
			const rows = await fetchStatements(endpoint);
			const eraBefore = authorityVersion().era;
			onStatements(rows, from);
			const now = authorityVersion();
			if (
				now.era > eraBefore &&
				compareStoreVersions(now, {era, version}) >= 0
			) {
				// The proofs of the earlier era are void. The statements are at least as new as those of the heartbeat.
				onProof(provenAt ?? Number.NEGATIVE_INFINITY, epoch, now.era);
			}
		} catch (error) {
			onError(`statements of ${from}`, error);
		} finally {
			this._isFetching = false;
		}
	}

	private _peerOf(id: string | undefined): Peer | undefined {
		return id === undefined ? undefined : this._peers.get(id);
	}

	/** The entry that owns the customer's quota: the first candidate that is not lost. Undefined if all are lost. */
	private _ownerOf(customer: string): string | undefined {
		const {hostId} = this._options;
		const candidates = this._topology.ownerCandidates(customer);
		const live = candidates.filter(id => id === hostId || !this._isLost(id));
		// Other entries send no quota queries to an entry that the table does not list, and may be unknown before it was read.
		const {hasTable} = this._census;
		const owners =
			this._isListed && hasTable ? live : live.filter(id => id !== hostId);
		const isAlone = this._peers.size === 0 && hasTable;
		return owners[0] ?? (isAlone ? hostId : undefined);
	}

	/**
	 * The entry to ask for units of the customer's quota: the owner, or the next candidate while the owner does not reply
	 * to queries. This entry decides by itself only if it has lost the candidates before it.
	 */
	private _entryToAsk(customer: string): string | undefined {
		const {hostId, clock} = this._options;
		const owner = this._ownerOf(customer);
		if (owner === hostId) {
			return owner;
		}

		const now = clock();
		return this._topology.ownerCandidates(customer).find(id => {
			const peer = this._peers.get(id);
			return peer?.isLost === false && now >= peer.unresponsiveUntil;
		});
	}

	/**
	 * Sends a query to one candidate after the other until one replies. The earlier ones may still reply, as the query keeps
	 * its identifier.
	 */
	private async _grantLimited(
		owner: string | undefined,
		rule: CustomerRule,
	): Promise<QuotaGrant | undefined> {
		const {ledger, clock, hostId} = this._options;
		if (owner === undefined) {
			return undefined;
		}

		if (owner === hostId) {
			return ledger.take(this.grantable(rule), 1, clock());
		}

		const {name, unitsPerSecond} = rule;
		const reservation = await this._queryOwners(owner, name, 1, unitsPerSecond);
		return reservation?.grant;
	}

	private async _queryOwners(
		first: string,
		customer: string,
		units: number,
		serverLimit?: number,
	): Promise<Reservation | undefined> {
		const {send, hostId, clock} = this._options;
		const asked: string[] = [];
		const ask = (id: string, askId: number) => {
			const peer = this._peers.get(id);
			if (peer !== undefined) {
				asked.push(id);
				send(
					{
						type: 'quotaAsk',
						from: hostId,
						askId,
						customer,
						units,
						...(serverLimit !== undefined && {serverLimit}),
					},
					peer.endpoint,
				);
			}
		};

		const timers: NodeJS.Timeout[] = [];
		const grant = await this._quotaQueries.query(askId => {
			ask(first, askId);
			for (const retryMs of quotaRetryMs) {
				const timer = setTimeout(() => {
					this._markUnresponsive(asked.at(-1), clock());
					const next = this._entryToAsk(customer);
					ask(next === undefined || next === hostId ? first : next, askId);
				}, retryMs);
				timers.push(timer);
			}
		});
		for (const timer of timers) {
			clearTimeout(timer);
		}

		return grant && {grant, owner: asked.at(-1)};
	}

	private _markUnresponsive(id: string | undefined, now: number): void {
		const peer = this._peerOf(id);
		if (peer !== undefined) {
			peer.unresponsiveUntil = now + unresponsiveOwnerMs;
		}
	}
}

/** Whether heartbeats and changes are sent to the peer: either side has chosen the link. */
function isInTouch(peer: Peer, now: number): boolean {
	return peer.isLinked || now - peer.linkedByPeerAt <= 2 * peerTimeoutMs;
}
