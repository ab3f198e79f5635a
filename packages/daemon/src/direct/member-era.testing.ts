import {setImmediate as nextTurn} from 'node:timers/promises';
import {
	initialStoreVersion,
	maxRelayedMembersAgeMs,
	msUntilRead,
	QuotaLedger,
	StoreEra,
	TableCursor,
	type Random,
} from '@balsamtray/core';
import type {GossipMessage} from '@balsamtray/protocol';
import {
	heartbeatIntervalMs,
	maxRewriteDelayMs,
	membersIntervalMs,
	membersWaitMs,
	staleMembersAgeMs,
	storeBackoffMs,
	storeTimeoutMs,
} from './constants.js';
import {EntryPeers} from './entry-peers.js';
import {RelayedTable, type TableCopy} from './relayed-table.js';
import type {Endpoint, MemberRow, TableRead} from './types.js';

const stepMs = 50;

/** Longest delay of a response or a datagram, in milliseconds. */
const maxDelayMs = 100;

type VersionedRow = {
	readonly row: MemberRow;
	readonly version: number;
	readonly at: number;
};

/** The members table of a store in virtual time that can come back from a copy of an earlier state. */
class VirtualTable {
	era = 0;
	isAway = false;
	/** Number of calls that the store carried out. */
	calls = 0;
	private _version = 0;
	private _history: VersionedRow[] = [];

	write(row: MemberRow, now: number): number {
		this._version++;
		this._history.push({row, version: this._version, at: now});
		return this.era;
	}

	rewind(depthMs: number, now: number): void {
		this._history = this._history.filter(({at}) => at <= now - depthMs);
		this._version = this._history.at(-1)?.version ?? 0;
		this.era++;
	}

	has(id: string): boolean {
		return this._history.some(({row}) => row.id === id);
	}

	read(after: number): TableRead<MemberRow> | 'historyLost' {
		if (after > this._version) {
			return 'historyLost';
		}

		const rows = new Map(
			this._history
				.filter(({version}) => version > after)
				.map(({row}) => [row.id, row]),
		);
		return {rows: [...rows.values()], era: this.era, version: this._version};
	}
}

type PendingRead = {
	readonly startedAt: number;
	readonly isSnapshot: boolean;
	readonly executeAt: number;
	readonly waitUntil: number;
	timeoutAt: number;
	readonly isLost: boolean;
	answer?: {
		readonly at: number;
		readonly read: TableRead<MemberRow> | 'historyLost';
	};
};

/** Something that happens later. */
type Task = {readonly at: number; readonly run: () => void};

/** An entry with the parts of `EntryRuntime` that keep its own row and follow the members table. */
type Entry = {
	readonly id: string;
	readonly startedAt: number;
	readonly era: StoreEra;
	readonly cursor: TableCursor;
	readonly peers: EntryPeers;
	readonly table: RelayedTable<MemberRow>;
	listedEra: number | undefined;
	/** Time at which it writes its row; infinite while it is listed. */
	writeAt: number;
	nextHeartbeatAt: number;
	nextReadAt: number;
	backoffMs: number;
	pending: PendingRead | undefined;
};

/** Entries that list themselves in a members table, in virtual time, through a store that goes back. */
export class MemberFleet {
	static create(count: number, random: Random): MemberFleet {
		return new MemberFleet(count, random);
	}

	now = 0;
	/** Share of the datagrams and responses that are lost. */
	lossRate = 0;
	/** Entries that can't reach the store. */
	readonly cut = new Set<string>();
	readonly store = new VirtualTable();
	readonly entries = new Map<string, Entry>();
	/** Times of the writes that the store carried out. */
	readonly writes: number[] = [];
	private _tasks: Task[] = [];
	private _fetchCount = 0;

	private constructor(
		count: number,
		private readonly _random: Random,
	) {
		for (let i = 0; i < count; i++) {
			this.start(`entry-${i}`);
		}
	}

	start(id: string): void {
		this.entries.set(id, this._createEntry(id));
	}

	stop(id: string): void {
		this.entries.delete(id);
	}

	/** The store comes back from a copy. Calls that were under way have failed. */
	rewind(depthMs: number): void {
		this.store.rewind(depthMs, this.now);
		for (const {pending} of this.entries.values()) {
			if (pending !== undefined) {
				pending.timeoutAt = this.now;
			}
		}
	}

	/** Entries that an entry knows by the table, itself included. */
	membersOf(id: string): readonly string[] {
		return this.entries
			.get(id)!
			.peers.memberRows()
			.map(row => row.id)
			.toSorted((a, b) => a.localeCompare(b));
	}

	async run(milliseconds: number, onStep: () => void): Promise<void> {
		const end = this.now + milliseconds;
		while (this.now < end) {
			this.now += stepMs;
			const due = this._tasks.filter(({at}) => at <= this.now);
			this._tasks = this._tasks.filter(({at}) => at > this.now);
			const fetched = this._fetchCount;
			for (const {run} of due) {
				run();
			}

			if (this._fetchCount > fetched) {
				// Lets the entries use the copies.
				// eslint-disable-next-line no-await-in-loop
				await nextTurn();
			}

			for (const entry of this.entries.values()) {
				this._step(entry);
			}

			onStep();
		}
	}

	private _step(entry: Entry): void {
		if (this.now >= entry.nextHeartbeatAt) {
			entry.nextHeartbeatAt += heartbeatIntervalMs;
			entry.peers.sendHeartbeats();
		}

		if (this.now >= entry.writeAt) {
			this._write(entry);
		}

		if (entry.pending === undefined) {
			this._startRead(entry);
		} else {
			this._continueRead(entry, entry.pending);
		}
	}

	/** Writes the entry's row. Without an answer, it is written again. */
	private _write(entry: Entry): void {
		entry.writeAt = this.now + storeTimeoutMs + storeBackoffMs.max;
		this._later(() => {
			const isReached = !this.store.isAway && !this.cut.has(entry.id);
			if (!isReached || !this._isRunning(entry)) {
				return;
			}

			this.store.calls++;
			this.writes.push(this.now);
			const {id} = entry;
			const era = this.store.write(
				{id, endpoint: endpointOf(id), zone: zoneOf(id)},
				this.now,
			);
			if (this._random() >= this.lossRate) {
				this._later(() => {
					this._onWritten(entry, era);
				});
			}
		});
	}

	private _onWritten(entry: Entry, era: number): void {
		entry.listedEra = Math.max(entry.listedEra ?? 0, era);
		this._noteEra(entry, era);
		entry.peers.noteListed();
		if (entry.listedEra >= entry.era.current) {
			entry.writeAt = Number.POSITIVE_INFINITY;
		}
	}

	private _noteEra(entry: Entry, era: number): void {
		if (!entry.era.note(era, this.now)) {
			return;
		}

		this._tasks.push({
			at: entry.era.settledAt,
			run() {
				entry.table.noteSettled();
			},
		});
		const isListed = entry.listedEra !== undefined && entry.listedEra >= era;
		if (entry.listedEra !== undefined && !isListed) {
			// A write under way is of an earlier era, or comes first.
			entry.writeAt = Math.min(
				entry.writeAt,
				this.now + this._random() * maxRewriteDelayMs,
			);
		}
	}

	private _startRead(entry: Entry): void {
		const {cursor, peers, table} = entry;
		const {isRoot, readShiftMs: shiftMs} = peers;
		const {confirmedAt} = table;
		const maxAgeMs = maxRelayedMembersAgeMs;
		const untilDueMs = cursor.hasRows
			? msUntilRead({isRoot, confirmedAt, maxAgeMs, shiftMs}, this.now)
			: 0;
		if (this.now < entry.nextReadAt || untilDueMs > 0) {
			return;
		}

		const untilSettledMs = Math.max(0, cursor.msUntilSettled(this.now));
		const waitMs = isRoot ? Math.min(membersWaitMs, untilSettledMs) : 0;
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

		const read = this.store.read(pending.isSnapshot ? 0 : cursor.version);
		if (
			pending.isSnapshot ||
			read === 'historyLost' ||
			read.rows.length > 0 ||
			this.now >= pending.waitUntil
		) {
			this.store.calls++;
			pending.answer = {at: this.now + this._random() * maxDelayMs, read};
		}
	}

	private _onAnswer(
		entry: Entry,
		{startedAt, isSnapshot}: PendingRead,
		read: TableRead<MemberRow> | 'historyLost',
	): void {
		const {cursor, era, peers, table} = entry;
		if (read === 'historyLost') {
			cursor.noteHistoryLost();
			return;
		}

		this._noteEra(entry, read.era);
		const verdict = cursor.judge(read, isSnapshot, startedAt);
		if (verdict !== 'current') {
			entry.nextReadAt =
				this.now + (verdict === 'stale' ? storeBackoffMs.initial : 0);
			return;
		}

		entry.nextReadAt = startedAt + membersIntervalMs;
		const isComplete = isSnapshot && startedAt >= era.settledAt;
		const hasChanged = peers.setMembers(read.rows, isComplete);
		table.noteRead(read, startedAt, hasChanged);
	}

	private _createEntry(id: string): Entry {
		const era = StoreEra.create();
		const cursor = TableCursor.create(era);
		const peers = this._createPeers(id, {
			era: () => era.current,
			table: () => table,
			noteEra: heard => {
				this._noteEra(entry, heard);
			},
		});
		const table = RelayedTable.create<MemberRow>({
			name: 'members',
			clock: () => this.now,
			rows: () => peers.memberRows(),
			apply: (copy, version, now) => {
				this._noteEra(entry, version.era);
				cursor.noteVersion(version, now);
				return peers.setMembers(copy.rows, now >= era.settledAt);
			},
			fetch: async ({host}) => this._fetch(host),
			staleAgeMs: staleMembersAgeMs,
			onConfirmed: () => undefined,
			onChanged() {
				peers.announce();
			},
			onError: () => undefined,
		});
		const entry: Entry = {
			id,
			startedAt: this.now,
			era,
			cursor,
			peers,
			table,
			listedEra: undefined,
			writeAt: this.now,
			nextHeartbeatAt: this.now + this._random() * heartbeatIntervalMs,
			// An entry writes its row before it reads the others.
			nextReadAt: this.now + 2 * maxDelayMs,
			backoffMs: storeBackoffMs.initial,
			pending: undefined,
		};
		return entry;
	}

	private _createPeers(
		id: string,
		{
			era,
			table,
			noteEra,
		}: {
			readonly era: () => number;
			readonly table: () => RelayedTable<MemberRow>;
			readonly noteEra: (era: number) => void;
		},
	): EntryPeers {
		return EntryPeers.create({
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
			authorityVersion: () => initialStoreVersion,
			settledEra: () => 0,
			storeEra: era,
			onEra: noteEra,
			provenAt: () => this.now,
			isServing: () => true,
			customers: () => [],
			tables: () => {
				const members = table().announcement(this.now);
				return members === undefined ? {} : {members};
			},
			onTables(peer, {members}, isParent) {
				if (members !== undefined) {
					table().onAnnouncement(peer, members, isParent);
				}
			},
			onProof: () => undefined,
			fetchStatements: async () => [],
			onStatements: () => undefined,
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
	}

	private _send(message: GossipMessage, from: string, to: string): void {
		if (message.type !== 'entry' || this._random() < this.lossRate) {
			return;
		}

		this._later(() => {
			this.entries.get(to)?.peers.onHeartbeat(message, endpointOf(from));
		});
	}

	private async _fetch(from: string): Promise<TableCopy<MemberRow>> {
		return new Promise((resolve, reject) => {
			this._later(() => {
				this._fetchCount++;
				const copy = this.entries.get(from)?.table.copy(this.now);
				if (copy === undefined || this._random() < this.lossRate) {
					reject(new Error('no response'));
				} else {
					resolve(copy);
				}
			});
		});
	}

	private _isRunning(entry: Entry): boolean {
		return this.entries.get(entry.id) === entry;
	}

	private _later(run: () => void): void {
		this._tasks.push({at: this.now + this._random() * maxDelayMs, run});
	}
}

/** Entries with an even number share a zone, the others another one. */
function zoneOf(id: string): string {
	return `zone-${Number(id.at(-1)) % 2}`;
}

function endpointOf(id: string): Endpoint {
	return {host: id, port: 1};
}
