import {setImmediate as nextTurn} from 'node:timers/promises';
import {
	AuthorityView,
	FreshnessLease,
	maxRelayedProofAgeMs,
	msUntilRead,
	QuotaLedger,
	rowsOfEra,
	StoreEra,
	TableCursor,
	type AuthorityRow,
	type AuthorityStatement,
	type Random,
} from '@balsamtray/core';
import type {GossipMessage} from '@balsamtray/protocol';
import {
	authorityWaitMs,
	heartbeatIntervalMs,
	storeBackoffMs,
	storeTimeoutMs,
} from './constants.js';
import {EntryPeers} from './entry-peers.js';
import type {Endpoint, TableRead} from './types.js';

const stepMs = 50;

/** Time after a rewind within which the operator has written its lost rows again, in milliseconds. */
const maxRewriteMs = 1500;

/** Longest delay of a response or a datagram in a fleet without lag, in milliseconds. */
const maxDelayMs = 100;

const zone = 'z';
const model = 'm';
const adapter = 'a';

/** What the operator's rows say. */
export type OperatorState = {
	readonly config: number;
	readonly adapterVersion: number;
	readonly isZoneOut: boolean;
};

const keys = {config: 'config', adapterVersion: 'version', zoneOut: 'evacuate'};

/** A store in virtual time that can come back from a copy of an earlier state. */
class VirtualStore {
	era = 0;
	/** Whether the store is away. */
	isAway = false;
	/** States in order, each with the time at which it began. */
	readonly states: Array<{readonly at: number; readonly state: OperatorState}> =
		[];

	/** The state before the last rewind, as of which a replica that lags still answers. */
	private _before: TableRead<AuthorityRow> = {rows: [], era: 0, version: 0};
	private _version = 0;
	private _history: Array<{readonly row: AuthorityRow; readonly at: number}> =
		[];

	write(key: string, statement: AuthorityStatement, now: number): void {
		this._version++;
		const row = {key, rowVersion: this._version, statement};
		this._history.push({row, at: now});
		this._noteState(now);
	}

	/** Goes back and returns the keys of the lost rows. */
	rewind(depthMs: number, now: number): ReadonlySet<string> {
		this._before = this.read();
		const kept = this._history.filter(({at}) => at <= now - depthMs);
		const lost = this._history.slice(kept.length);
		this._history = kept;
		this._version = kept.at(-1)?.row.rowVersion ?? 0;
		this.era++;
		this._noteState(now);
		return new Set(lost.map(({row: {key}}) => key));
	}

	read(): TableRead<AuthorityRow> {
		const rows = this._rows().filter(
			({statement}) => statement.type !== 'withdrawn',
		);
		return {rows, era: this.era, version: this._version};
	}

	readChanges(after: number): TableRead<AuthorityRow> | 'historyLost' {
		if (after > this._version) {
			return 'historyLost';
		}

		const rows =
			after === this._version
				? []
				: this._rows().filter(({rowVersion}) => rowVersion > after);
		return {rows, era: this.era, version: this._version};
	}

	/** Like `read`, by a replica that lags. */
	readBefore(): TableRead<AuthorityRow> {
		return this._before;
	}

	private _rows(): readonly AuthorityRow[] {
		const rows = new Map(this._history.map(({row}) => [row.key, row]));
		return [...rows.values()];
	}

	private _noteState(at: number): void {
		const view = AuthorityView.create();
		view.applyAll(this.read().rows, {era: 0, version: this._version}, 0);
		this.states.push({at, state: stateOf(view)});
	}
}

/** A read of the store, or of a peer, that is under way. */
type PendingRead = {
	readonly startedAt: number;
	readonly isSnapshot: boolean;
	readonly executeAt: number;
	readonly waitUntil: number;
	readonly timeoutAt: number;
	readonly isLost: boolean;
	answer?: {
		readonly at: number;
		readonly read: TableRead<AuthorityRow> | 'historyLost';
	};
};

type PendingFetch = {
	readonly from: string;
	readonly executeAt: number;
	readonly settle: (rows: readonly AuthorityRow[] | undefined) => void;
};

type Datagram = {
	readonly at: number;
	readonly message: GossipMessage;
	readonly from: string;
	readonly to: string;
};

/** An entry with the parts of `EntryRuntime` that follow the operator's rows. */
type Entry = {
	readonly id: string;
	readonly view: AuthorityView;
	readonly lease: FreshnessLease;
	readonly era: StoreEra;
	readonly cursor: TableCursor;
	readonly peers: EntryPeers;
	nextHeartbeatAt: number;
	nextReadAt: number;
	backoffMs: number;
	pending: PendingRead | undefined;
};

/** Entries that follow an operator's rows in virtual time, through a store that goes back. */
export class EraFleet {
	static create(count: number, random: Random): EraFleet {
		return new EraFleet(count, random);
	}

	now = 0;
	/** Share of the datagrams and responses that are lost. */
	lossRate = 0;
	/** Entries that can't reach the store. */
	readonly cut = new Set<string>();
	/** Zone whose replica of the store lags; undefined if none does. */
	laggingZone: string | undefined;
	/** Entries whose datagrams reach nobody. */
	readonly muted = new Set<string>();
	/** Delay of the datagrams of an entry, in milliseconds. */
	readonly lagMs = new Map<string, number>();
	readonly store = new VirtualStore();
	readonly entries = new Map<string, Entry>();
	private readonly _ids: readonly string[];
	private readonly _truth = new Map<string, AuthorityStatement>();
	private readonly _rewrites: Array<{
		readonly at: number;
		readonly key: string;
	}> = [];

	private _datagrams: Datagram[] = [];
	private _fetches: PendingFetch[] = [];

	private constructor(
		count: number,
		private readonly _random: Random,
	) {
		this._ids = Array.from({length: count}, (_, i) => `entry-${i}`);
		this.declareConfig();
		for (const id of this._ids) {
			this.start(id);
		}
	}

	/** What the operator has said. */
	get operatorState(): OperatorState {
		const view = AuthorityView.create();
		const rows = [...this._truth].map(([key, statement]) => ({
			key,
			rowVersion: 1,
			statement,
		}));
		view.apply(rows, 0);
		return stateOf(view);
	}

	start(id: string): void {
		this.entries.set(id, this._createEntry(id));
	}

	stop(id: string): void {
		this.entries.delete(id);
	}

	declareConfig(): void {
		const version =
			this.operatorState.config + 1 + Math.floor(this._random() * 3);
		const config = {
			version,
			routes: [],
			services: [],
			limits: {
				maxHeaderBytes: 1,
				maxBodyBytes: 1,
				headerTimeoutMs: 1,
				idleTimeoutMs: 1,
			},
			customers: undefined,
		};
		this._write(keys.config, {type: 'config', config});
	}

	declareAdapterVersion(): void {
		const version = this.operatorState.adapterVersion + 1;
		this._write(keys.adapterVersion, {
			type: 'adapterVersion',
			model,
			adapter,
			version,
		});
	}

	toggleZone(): void {
		const statement: AuthorityStatement = this.operatorState.isZoneOut
			? {type: 'withdrawn'}
			: {type: 'zoneOut', zone};
		this._write(keys.zoneOut, statement);
	}

	rewind(depthMs: number): void {
		for (const key of this.store.rewind(depthMs, this.now)) {
			const at = this.now + this._random() * maxRewriteMs;
			this._rewrites.push({at, key});
		}
	}

	stateOf(id: string): OperatorState | undefined {
		const entry = this.entries.get(id);
		return entry && stateOf(entry.view);
	}

	async run(milliseconds: number, onStep: () => void): Promise<void> {
		const end = this.now + milliseconds;
		while (this.now < end) {
			this.now += stepMs;
			this._rewrite();
			this._deliver();
			if (this._answerFetches()) {
				// Lets the entries use the rows.
				// eslint-disable-next-line no-await-in-loop
				await nextTurn();
			}

			for (const entry of this.entries.values()) {
				this._step(entry);
			}

			onStep();
		}
	}

	private _write(key: string, statement: AuthorityStatement): void {
		this._truth.set(key, statement);
		this._rewrites.push({at: this.now, key});
		this._rewrite();
	}

	/** Writes what the operator has said and the store does not have, as soon as the store is there. */
	private _rewrite(): void {
		if (this.store.isAway) {
			return;
		}

		for (const [i, {at, key}] of [...this._rewrites.entries()].toReversed()) {
			if (at <= this.now) {
				this._rewrites.splice(i, 1);
				this.store.write(key, this._truth.get(key)!, this.now);
			}
		}
	}

	private _step(entry: Entry): void {
		if (this.now >= entry.nextHeartbeatAt) {
			entry.nextHeartbeatAt += heartbeatIntervalMs;
			entry.peers.sendHeartbeats();
		}

		if (entry.pending === undefined) {
			this._startRead(entry);
		} else {
			this._continueRead(entry, entry.pending);
		}
	}

	private _startRead(entry: Entry): void {
		const {cursor, peers, lease} = entry;
		const {isRoot, readShiftMs: shiftMs} = peers;
		const untilDueMs = cursor.hasRows
			? msUntilRead(
					{
						isRoot,
						confirmedAt: lease.provenAt,
						maxAgeMs: maxRelayedProofAgeMs,
						shiftMs,
					},
					this.now,
				)
			: 0;
		if (this.now < entry.nextReadAt || untilDueMs > 0) {
			return;
		}

		const waitMs = isRoot
			? Math.max(
					0,
					Math.min(authorityWaitMs.max, cursor.msUntilSettled(this.now)),
				)
			: 0;
		entry.pending = {
			startedAt: this.now,
			isSnapshot: cursor.needsSnapshot(this.now),
			executeAt: this.now + this._random() * maxDelayMs,
			waitUntil: this.now + waitMs,
			timeoutAt: this.now + waitMs + storeTimeoutMs,
			isLost: this._random() < this.lossRate,
		};
	}

	private _continueRead(entry: Entry, pending: PendingRead): void {
		if (this.now >= pending.timeoutAt) {
			entry.pending = undefined;
			entry.nextReadAt = this.now + entry.backoffMs;
			entry.backoffMs = Math.min(entry.backoffMs * 2, storeBackoffMs.max);
			return;
		}

		const {answer} = pending;
		if (answer === undefined) {
			this._execute(entry, pending);
		} else if (!pending.isLost && this.now >= answer.at) {
			entry.pending = undefined;
			entry.backoffMs = storeBackoffMs.initial;
			this._onAnswer(entry, pending, answer.read);
		}
	}

	private _execute({id, cursor}: Entry, pending: PendingRead): void {
		if (this.now < pending.executeAt || this.store.isAway || this.cut.has(id)) {
			return;
		}

		const read = this._readFor(zoneOf(id), cursor, pending.isSnapshot);
		if (
			pending.isSnapshot ||
			read === 'historyLost' ||
			read.rows.length > 0 ||
			this.now >= pending.waitUntil
		) {
			const at = this.now + this._random() * maxDelayMs;
			pending.answer = {at, read};
		}
	}

	private _readFor(
		entryZone: string,
		cursor: TableCursor,
		isSnapshot: boolean,
	): TableRead<AuthorityRow> | 'historyLost' {
		if (entryZone === this.laggingZone) {
			const read = this.store.readBefore();
			return isSnapshot ? read : {...read, rows: []};
		}

		return isSnapshot
			? this.store.read()
			: this.store.readChanges(cursor.version);
	}

	private _onAnswer(
		entry: Entry,
		{startedAt, isSnapshot}: PendingRead,
		read: TableRead<AuthorityRow> | 'historyLost',
	): void {
		const {cursor, era, view, lease, peers} = entry;
		if (read === 'historyLost') {
			cursor.noteHistoryLost();
			return;
		}

		era.note(read.era, this.now);
		const verdict = cursor.judge(read, isSnapshot, startedAt);
		if (verdict !== 'current') {
			entry.nextReadAt =
				this.now + (verdict === 'stale' ? storeBackoffMs.initial : 0);
			return;
		}

		lease.prove(startedAt, 0, read.era);
		const rows = rowsOfEra(read.rows, read.era);
		const isSettled = startedAt >= era.settledAt;
		let change;
		if (isSnapshot) {
			change = isSettled
				? view.applyAll(rows, read, this.now)
				: view.beginEra(rows, read.era, this.now);
		} else {
			change = view.apply(rows, this.now);
		}

		if (change.hasChanged) {
			peers.announce();
		}
	}

	private _deliver(): void {
		const due = this._datagrams.filter(({at}) => at <= this.now);
		this._datagrams = this._datagrams.filter(({at}) => at > this.now);
		for (const {message, from, to} of due) {
			if (message.type === 'entry') {
				this.entries.get(to)?.peers.onHeartbeat(message, endpointOf(from));
			}
		}
	}

	private _answerFetches(): boolean {
		const due = this._fetches.filter(({executeAt}) => executeAt <= this.now);
		this._fetches = this._fetches.filter(({executeAt}) => executeAt > this.now);
		for (const {from, settle} of due) {
			const isLost = this._random() < this.lossRate;
			settle(isLost ? undefined : this.entries.get(from)?.view.rows());
		}

		return due.length > 0;
	}

	private _createEntry(id: string): Entry {
		const view = AuthorityView.create();
		const era = StoreEra.create();
		const lease = FreshnessLease.create(() => undefined);
		const peers = EntryPeers.create({
			hostId: id,
			zone: zoneOf(id),
			endpoint: endpointOf(id),
			clock: () => this.now,
			random: () => 0,
			epoch: () => 0,
			ledger: QuotaLedger.create({
				isFirstStart: true,
				slackUnits: () => 0,
				now: this.now,
			}),
			send: (message, {host}) => {
				this._send(message, id, host);
			},
			authorityVersion: () => view.version,
			settledEra: () => view.settledEra,
			storeEra: () => era.current,
			onEra: heard => {
				era.note(heard, this.now);
			},
			provenAt: () => lease.provenAtIn(view.version.era),
			isServing: () => true,
			customers: () => [],
			tables: () => ({}),
			onTables: () => undefined,
			onProof(provenAt, epoch, provenEra) {
				lease.prove(provenAt, epoch, provenEra);
			},
			fetchStatements: async ({host}) => this._fetch(host),
			onStatements: rows => {
				const {hasChanged} = view.apply(rows, this.now);
				era.note(view.version.era, this.now);
				if (hasChanged) {
					peers.announce();
				}
			},
			onRootChanged: () => undefined,
			quarantine: () => '',
			onQuarantine: () => undefined,
			quarantinedRequests: () => '',
			onQuarantinedRequests: () => undefined,
			maxCutServingMs: () => 5000,
			onQueryEnded: () => undefined,
			onLost: () => undefined,
			onRegained: () => undefined,
			onError: () => undefined,
		});
		peers.noteListed();
		peers.setMembers(
			this._ids.map(member => ({
				id: member,
				zone: zoneOf(member),
				endpoint: endpointOf(member),
			})),
			true,
		);
		return {
			id,
			view,
			lease,
			era,
			cursor: TableCursor.create(era),
			peers,
			nextHeartbeatAt: this.now + this._random() * heartbeatIntervalMs,
			nextReadAt: this.now,
			backoffMs: storeBackoffMs.initial,
			pending: undefined,
		};
	}

	private _send(message: GossipMessage, from: string, to: string): void {
		if (!this.muted.has(from) && this._random() >= this.lossRate) {
			const lagMs = this.lagMs.get(from) ?? 0;
			const at = this.now + this._random() * (maxDelayMs + lagMs);
			this._datagrams.push({at, message, from, to});
		}
	}

	private async _fetch(from: string): Promise<readonly AuthorityRow[]> {
		return new Promise((resolve, reject) => {
			this._fetches.push({
				from,
				executeAt: this.now + this._random() * maxDelayMs,
				settle(rows) {
					if (rows === undefined) {
						reject(new Error('no response'));
					} else {
						resolve(rows);
					}
				},
			});
		});
	}
}

function stateOf(view: AuthorityView): OperatorState {
	return {
		config: view.inForce?.config.version ?? 0,
		adapterVersion: view.newestVersion(model, adapter) ?? 0,
		isZoneOut: view.isZoneOut(zone),
	};
}

/** Entries with an even number share a zone, the others another one. */
function zoneOf(id: string): string {
	return `zone-${Number(id.at(-1)) % 2}`;
}

function endpointOf(id: string): Endpoint {
	return {host: id, port: 1};
}
