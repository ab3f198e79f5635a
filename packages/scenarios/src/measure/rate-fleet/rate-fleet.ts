import {
	createRandom,
	type HolderVerdict,
	type LeaseCommand,
	type Random,
	type RateCommand,
	type RateEvent,
	type RateHolder,
	type RateLimit,
	type RateShard,
} from '@balsamtray/core';
import {
	VirtualEntry,
	type EntryEnvironment,
	type RatePolicy,
} from './virtual-entry.js';
import {VirtualShardTable} from './virtual-shard-table.js';
import {VirtualTime} from './virtual-time.js';

const defaultTickMs = 50;
/** Maximum time that a reservation waits for tokens, in milliseconds. */
const reservationTimeoutMs = 900;

/** Faults of messages between entries. */
export type NetworkFaults = {
	lossShare: number;
	duplicateShare: number;
	lateShare: number;
	/** Maximum delay of a late message, in milliseconds. */
	readonly maxDelayMs: number;
};

/** Parameters of a fleet of entries. */
export type RateFleetOptions = {
	readonly seed: number;
	readonly entries: readonly RateHolder[];
	readonly shards: readonly RateShard[];
	readonly limits: readonly RateLimit[];
	readonly policy: RatePolicy;
	/** Interval of an entry's ticks, in milliseconds. Default: 50. */
	readonly tickMs?: number;
};

/** Outcome of a token reservation. */
export type ReservationResult = {
	readonly requestId: string;
	readonly isReserved: boolean;
	readonly retryAfterMs?: number;
};

/** Simulates entries that share the customers' rates over a faulty network and store, in virtual time. */
export class RateFleet {
	static create(options: RateFleetOptions): RateFleet {
		return new RateFleet(options);
	}

	readonly time = VirtualTime.create();
	readonly table: VirtualShardTable;
	readonly faults: NetworkFaults = {
		lossShare: 0,
		duplicateShare: 0,
		lateShare: 0,
		maxDelayMs: 5000,
	};

	/** Number of messages sent between entries. */
	messages = 0;
	private _listener: ((settled: ReservationResult) => void) | undefined;
	private readonly _random: Random;
	private readonly _options: RateFleetOptions;
	private readonly _entries = new Map<string, VirtualEntry>();
	private readonly _limits = new Map<string, RateLimit>();
	private readonly _partitions = new Set<string>();
	/** Entries whose host is gone: connections to them time out instead of being refused. */
	private readonly _silentEntries = new Set<string>();
	private _startCount = 0;
	private readonly _tickMs: number;

	private constructor(options: RateFleetOptions) {
		this._options = options;
		this._tickMs = options.tickMs ?? defaultTickMs;
		this._random = createRandom(options.seed);
		this.table = VirtualShardTable.create(this.time, this._random);
		for (const limit of options.limits) {
			this._limits.set(limit.customer, limit);
		}

		for (const entry of options.entries) {
			this._start(entry, true);
		}
	}

	/** Sets the listener for the outcomes of reservations. */
	onSettled(listener: (settled: ReservationResult) => void): void {
		this._listener = listener;
	}

	entry(id: string): VirtualEntry | undefined {
		return this._entries.get(id);
	}

	isRunning(id: string): boolean {
		const entry = this._entries.get(id);
		return entry !== undefined && entry.isAlive && !entry.isPaused;
	}

	reserve(
		entryId: string,
		requestId: string,
		customer: string,
		tokens: number,
	): void {
		this._entries.get(entryId)?.handleRate({
			type: 'reserveRequested',
			requestId,
			customer,
			tokens,
			maxWaitMs: reservationTimeoutMs,
		});
	}

	returnTokens(entryId: string, requestId: string, tokens: number): void {
		const event: RateEvent = {type: 'tokensReturned', requestId, tokens};
		this._entries.get(entryId)?.handleRate(event);
	}

	/** Sets a new limit. Each entry receives it within `maxDelayMs`. */
	changeLimit(limit: RateLimit, maxDelayMs: number): void {
		this._limits.set(limit.customer, limit);
		for (const id of this._entries.keys()) {
			this.time.after(this._random() * maxDelayMs, () => {
				const current = this._limits.get(limit.customer) ?? limit;
				const event: RateEvent = {type: 'limitsChanged', limits: [current]};
				this._entries.get(id)?.handleRate(event);
			});
		}
	}

	/** @param isSilent whether the host is gone, so that connections to the entry time out instead of being refused */
	kill(id: string, isSilent: boolean): void {
		const entry = this._entries.get(id);
		if (entry !== undefined) {
			entry.isAlive = false;
		}

		if (isSilent) {
			this._silentEntries.add(id);
		}
	}

	/** Restarts a killed or stopped entry at the same address. */
	restart(id: string): void {
		const entry = this._entries.get(id);
		if (entry !== undefined && !entry.isAlive) {
			this._silentEntries.delete(id);
			this._start(entry.self, false);
		}
	}

	/** Releases all shards, then stops the process. */
	stopGracefully(id: string): void {
		const entry = this._entries.get(id);
		entry?.releaseAll();
		this.time.after(this._tickMs, () => {
			if (entry !== undefined) {
				entry.isAlive = false;
			}
		});
	}

	/** @param isClockFrozen whether the entry's monotonic clock stops during the pause */
	pause(id: string, forMs: number, isClockFrozen: boolean): void {
		const entry = this._entries.get(id);
		if (entry === undefined || entry.isPaused) {
			return;
		}

		entry.pause();
		this.time.after(forMs, () => {
			// In production, agents refuse dispatches from an entry with an outdated configuration.
			// The simulation has no agents, so the entry handles the deferred changes before new requests.
			entry.resume(forMs, isClockFrozen);
		});
	}

	setPartitioned(a: string, b: string, isPartitioned: boolean): void {
		for (const pair of [`${a} ${b}`, `${b} ${a}`]) {
			if (isPartitioned) {
				this._partitions.add(pair);
			} else {
				this._partitions.delete(pair);
			}
		}
	}

	/** Sends all entries a host list that contains only the given entries. */
	publishHosts(ids: readonly string[]): void {
		const entries = this._options.entries.filter(entry =>
			ids.includes(entry.id),
		);
		for (const entry of this._entries.values()) {
			entry.handleLease({type: 'entriesChanged', entries});
		}
	}

	private _start(self: RateHolder, isFirstStart: boolean): void {
		const {policy, entries, shards} = this._options;
		const incarnation = `i${this._startCount++}`;
		const environment: EntryEnvironment = {
			time: this.time,
			executeRateCommand: (from, command) => {
				this._executeRateCommand(from, command);
			},
			executeLeaseCommand: (from, command) => {
				this._executeLeaseCommand(from, command);
			},
		};
		const entry = VirtualEntry.create({
			self,
			incarnation,
			policy,
			environment,
			isFirstStart,
		});
		this._entries.set(self.id, entry);
		entry.handleRate({
			type: 'limitsChanged',
			limits: [...this._limits.values()],
		});
		entry.handleLease({type: 'entriesChanged', entries});
		entry.handleLease({type: 'shardsLearned', shards});
		this._tick(entry);
	}

	private _tick(entry: VirtualEntry): void {
		if (!entry.isAlive) {
			return;
		}

		if (!entry.isPaused) {
			entry.handleLease({type: 'tick'});
			entry.handleRate({type: 'tick'});
		}

		this.time.after(this._tickMs, () => {
			this._tick(entry);
		});
	}

	private _executeRateCommand(from: VirtualEntry, command: RateCommand): void {
		switch (command.type) {
			case 'reserved': {
				this._listener?.({requestId: command.requestId, isReserved: true});
				break;
			}

			case 'reserveRefused': {
				const {requestId, retryAfterMs} = command;
				const retry = retryAfterMs === undefined ? {} : {retryAfterMs};
				this._listener?.({requestId, isReserved: false, ...retry});
				break;
			}

			case 'requestTransfer': {
				const {peer, transferId} = command;
				const event: RateEvent = {
					...command,
					type: 'transferRequested',
					peer: from.self.id,
				};
				this._send(from, peer, event, () => {
					from.handleRate({type: 'transferFailed', peer, transferId});
					from.handleLease({type: 'holderRefused', holder: peer});
				});
				break;
			}

			case 'sendTransfer': {
				const {peer, transferId, tokens} = command;
				this._send(from, peer, {
					type: 'transferArrived',
					peer: from.self.id,
					transferId,
					tokens,
				});
				break;
			}

			case 'refreshHolders': {
				from.handleLease({type: 'rowsWanted'});
				break;
			}

			case 'confirmTransfer': {
				const {peer, transferId, customer} = command;
				this._send(from, peer, {type: 'transferSpent', transferId, customer});
				break;
			}

			case 'returnTransfer': {
				const {peer, transferId, customer, tokens} = command;
				this._send(from, peer, {
					type: 'transferReturned',
					transferId,
					customer,
					tokens,
				});
				break;
			}
		}
	}

	private _executeLeaseCommand(
		from: VirtualEntry,
		command: LeaseCommand,
	): void {
		switch (command.type) {
			case 'readRows': {
				this.table.read(rows => {
					from.handleLease(
						rows === undefined
							? {type: 'readFailed'}
							: {type: 'rowsRead', rows},
					);
				});
				break;
			}

			case 'writeRow': {
				const {writeId} = command;
				this.table.write(command, result => {
					from.handleLease({type: 'writeSettled', writeId, result});
				});
				break;
			}

			case 'checkHolder': {
				const {shard, version, peerAddress, incarnation} = command;
				this.time.after(2 * this._delay(), () => {
					const verdict = this._verdict(from, peerAddress, incarnation);
					from.handleLease({type: 'holderChecked', shard, version, verdict});
				});
				break;
			}

			case 'releaseShard': {
				from.release(command.shard);
				break;
			}

			case 'notifyRate': {
				from.handleRate(command.event);
				break;
			}
		}
	}

	private _verdict(
		from: VirtualEntry,
		address: string,
		incarnation: string,
	): HolderVerdict {
		const entry = this._entries.get(address);
		const isReachable =
			!this._partitions.has(`${from.self.id} ${address}`) &&
			!this._silentEntries.has(address);
		if (entry === undefined || !isReachable || entry.isPaused) {
			return 'silent';
		}

		return entry.isAlive && entry.incarnation === incarnation
			? 'alive'
			: 'dead';
	}

	private _send(
		from: VirtualEntry,
		to: string,
		event: RateEvent,
		onRefused?: () => void,
	): void {
		this.messages++;
		const isLost =
			this._partitions.has(`${from.self.id} ${to}`) ||
			this._random() < this.faults.lossShare;
		if (isLost) {
			return;
		}

		const copies = this._random() < this.faults.duplicateShare ? 2 : 1;
		for (let i = 0; i < copies; i++) {
			this.time.after(this._delay(), () => {
				const entry = this._entries.get(to);
				if (entry?.isAlive === false && !this._silentEntries.has(to)) {
					onRefused?.();
				}

				entry?.handleRate(event);
			});
		}
	}

	private _delay(): number {
		const isLate = this._random() < this.faults.lateShare;
		return isLate
			? this._random() * this.faults.maxDelayMs
			: 0.5 + this._random();
	}
}
