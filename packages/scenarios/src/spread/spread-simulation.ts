import {
	ConfigReplica,
	type ConfigState,
	createRandom,
	spreadTickIntervalMs,
	storeSource,
	type ConfigChange,
	type ConfigOp,
	type Random,
	type SpreadCommand,
	type SpreadEvent,
} from '@balsamtray/core';
import type {SpreadCounts, SpreadFaults, SpreadFleet} from './types.js';
import {VirtualClock} from './virtual-clock.js';

/** Children of a process in a fixed tree. */
const treeFanout = 16;
const exchangeTimeoutMs = 500;
const pullTimeoutMs = 2000;
const storeTimeoutMs = 2000;
/** Time after which an unused connection is closed. */
const idleConnectionMs = 60_000;

const noFaults: SpreadFaults = {
	lossShare: 0,
	isStoreDown: false,
	storeDelayMs: 5,
	storeLossShare: 0,
};

/** One simulated process. A restart replaces its replica and loses all that it knew. */
export type SimulatedProcess = {
	readonly id: string;
	readonly index: number;
	readonly region: number;
	incarnation: number;
	replica: ConfigReplica;
	isReady: boolean;
	/** Calls that the process sent or got. */
	calls: number;
	/** When the process called each peer last. */
	readonly calledAt: Map<string, number>;
};

/** Called whenever a process has moved forward. */
export type AdvanceListener = (
	process: SimulatedProcess,
	fromVersion: number,
	toVersion: number,
) => void;

/** A call of one process to another. */
type Call = {
	readonly peerId: string;
	readonly timeoutMs: number;
	/** What the caller sees when a message was lost. */
	readonly failure: SpreadEvent;
	readonly answer: (peer: SimulatedProcess) => SpreadEvent;
};

/**
 * A fleet of processes in virtual time. Each runs the replica that the daemon runs;
 * messages between them and the store's answers take time and may be lost.
 */
export class SpreadSimulation {
	/** Creates a fleet whose processes all begin with the state, or without any. */
	static create(
		fleet: SpreadFleet,
		onAdvanced: AdvanceListener,
		state?: ConfigState,
	): SpreadSimulation {
		return new SpreadSimulation(fleet, onAdvanced, state);
	}

	readonly clock = VirtualClock.create();
	/** The one variable against which the spread is held: all accepted changes. */
	readonly accepted: ConfigChange[] = [];
	readonly processes: SimulatedProcess[] = [];
	readonly counts: SpreadCounts = {
		exchanges: 0,
		pulls: 0,
		pulledChanges: 0,
		pulledSnapshots: 0,
		storeReads: 0,
		newConnections: 0,
	};

	faults: SpreadFaults = noFaults;
	private readonly _random: Random;
	private readonly _ids: readonly string[];
	private readonly _baseVersion: number;

	private constructor(
		private readonly _fleet: SpreadFleet,
		private readonly _onAdvanced: AdvanceListener,
		private readonly _state: ConfigState | undefined,
	) {
		this._random = createRandom(_fleet.seed);
		this._baseVersion = _state?.version ?? 0;
		this._ids = Array.from(
			{length: _fleet.processCount},
			(_, i) => `process-${i}`,
		);
		for (const [index, id] of this._ids.entries()) {
			this.processes.push({
				id,
				index,
				region: index % _fleet.regionCount,
				incarnation: 0,
				replica: this._createReplica(id, _state),
				isReady: false,
				calls: 0,
				calledAt: new Map(),
			});
		}

		for (const process of this.processes) {
			this._start(process);
		}
	}

	/** The version that the store has accepted last. */
	get acceptedVersion(): number {
		return this._baseVersion + this.accepted.length;
	}

	/** Lets the store accept a change of the process, unless the store is down. Returns whether it did. */
	change(
		author: number,
		ops: readonly ConfigOp[],
		isAnswerLost = false,
	): boolean {
		const process = this.processes[author];
		if (
			!process ||
			this.faults.isStoreDown ||
			this._isCut(process.region, undefined)
		) {
			return false;
		}

		const version = this.acceptedVersion + 1;
		const change: ConfigChange = {
			version,
			changeId: `change-${version}`,
			author: 'operator',
			writtenAt: this.clock.now,
			summary: `change ${version}`,
			ops,
		};
		this.accepted.push(change);
		if (!isAnswerLost) {
			// An author reads the store before it offers a change, so that it lacks none.
			const missing = this.accepted.slice(
				Math.max(0, process.replica.state.version - this._baseVersion),
			);
			this._feed(process, {
				type: 'changesReceived',
				source: 'self',
				changes: missing,
			});
			this._tellRoot(process);
		}

		return true;
	}

	/** Replaces a process: what it knew is gone. */
	restart(index: number): void {
		const process = this.processes[index];
		if (process) {
			process.incarnation++;
			process.isReady = false;
			process.calledAt.clear();
			process.replica = this._createReplica(process.id, undefined);
			this._start(process);
		}
	}

	private _createReplica(
		id: string,
		state: ConfigState | undefined,
	): ConfigReplica {
		return ConfigReplica.create({
			id,
			random: this._random,
			now: this.clock.now,
			...(state && {state}),
		});
	}

	private _start(process: SimulatedProcess): void {
		this._feed(process, {
			type: 'peersChanged',
			peers: this._ids,
			fleetSize: this._fleet.reportedCount ?? this._fleet.processCount,
		});
		this._tickLater(
			process,
			process.incarnation,
			this._random() * spreadTickIntervalMs,
		);
	}

	private _tickLater(
		process: SimulatedProcess,
		incarnation: number,
		delayMs: number,
	): void {
		this.clock.after(delayMs, () => {
			if (process.incarnation === incarnation) {
				this._feed(process, {type: 'tick'});
				this._tickLater(process, incarnation, spreadTickIntervalMs);
			}
		});
	}

	private _feed(process: SimulatedProcess, event: SpreadEvent): void {
		const commands = process.replica.handle(event, this.clock.now);
		for (const command of commands) {
			this._carryOut(process, command);
		}
	}

	/** Feeds the event to the process unless it was restarted since. */
	private _feedLater(
		process: SimulatedProcess,
		delayMs: number,
		event: SpreadEvent,
	): void {
		const {incarnation} = process;
		this.clock.after(delayMs, () => {
			if (process.incarnation === incarnation) {
				this._feed(process, event);
			}
		});
	}

	private _carryOut(process: SimulatedProcess, command: SpreadCommand): void {
		switch (command.type) {
			case 'pollStore': {
				this._poll(process, command.afterVersion);
				break;
			}

			case 'pullFromPeer': {
				this._pull(process, command.peer, command.afterVersion);
				break;
			}

			case 'exchangeVersion': {
				if ((this._fleet.policy ?? 'exchange') === 'exchange') {
					this._exchange(process, command.peer, command.version);
				}

				break;
			}

			case 'configAdvanced': {
				this._onAdvanced(process, command.fromVersion, command.toVersion);
				this._tellChildren(process);
				break;
			}

			case 'ready': {
				process.isReady = true;
				break;
			}
		}
	}

	/** In a fixed tree each process tells its children. */
	private _tellChildren(process: SimulatedProcess): void {
		if (this._fleet.policy !== 'tree' || !process.isReady) {
			return;
		}

		const {announcedVersion} = process.replica;
		const first = process.index * treeFanout + 1;
		const children = this._ids.slice(first, first + treeFanout);
		for (const id of children) {
			this._exchange(process, id, announcedVersion);
		}
	}

	/** In a fixed tree the author of a change tells the root. */
	private _tellRoot(process: SimulatedProcess): void {
		const [root] = this._ids;
		if (this._fleet.policy === 'tree' && root !== undefined) {
			this._exchange(process, root, process.replica.announcedVersion);
		}
	}

	private _poll(process: SimulatedProcess, afterVersion: number): void {
		const {isStoreDown, storeDelayMs, storeLossShare} = this.faults;
		this.counts.storeReads++;
		const isFailed =
			isStoreDown ||
			this._isCut(process.region, undefined) ||
			this._random() < storeLossShare ||
			storeDelayMs >= storeTimeoutMs;
		if (isFailed) {
			const delayMs = isStoreDown ? 1 : storeTimeoutMs;
			const event = {type: 'fetchFailed', source: storeSource} as const;
			this._feedLater(process, delayMs, event);
			return;
		}

		if (afterVersion < this._baseVersion && this._state) {
			const snapshot = this._state.toSnapshot();
			this._feedLater(process, storeDelayMs, {
				type: 'snapshotReceived',
				source: storeSource,
				snapshot,
			});
		}

		// The store reads when the call arrives; the answer may be old when it comes back.
		const from = Math.max(0, afterVersion - this._baseVersion);
		const changes = this.accepted.slice(from);
		this._feedLater(process, storeDelayMs, {
			type: 'changesReceived',
			source: storeSource,
			changes,
		});
	}

	private _exchange(
		process: SimulatedProcess,
		peerId: string,
		version: number,
	): void {
		this.counts.exchanges++;
		this._countCall(process, peerId);
		this._call(process, {
			peerId,
			timeoutMs: exchangeTimeoutMs,
			failure: {type: 'exchangeFailed', peer: peerId},
			answer: peer => {
				this._feed(peer, {
					type: 'peerVersionSeen',
					peer: process.id,
					version,
				});
				return {
					type: 'exchangeAnswered',
					peer: peerId,
					version: peer.replica.announcedVersion,
				};
			},
		});
	}

	private _pull(
		process: SimulatedProcess,
		peerId: string,
		afterVersion: number,
	): void {
		this.counts.pulls++;
		this._countCall(process, peerId);
		this._call(process, {
			peerId,
			timeoutMs: pullTimeoutMs,
			failure: {type: 'fetchFailed', source: peerId},
			answer: peer => {
				const answer = peer.replica.answerAfter(afterVersion);
				if (answer.kind === 'changes') {
					this.counts.pulledChanges += answer.changes.length;
					return {
						type: 'changesReceived',
						source: peerId,
						changes: answer.changes,
					};
				}

				this.counts.pulledSnapshots++;
				return {
					type: 'snapshotReceived',
					source: peerId,
					snapshot: answer.snapshot,
				};
			},
		});
	}

	/** A call to a peer and its answer. Either message may be lost. */
	private _call(process: SimulatedProcess, call: Call): void {
		const {peerId, timeoutMs, failure, answer} = call;
		const peer = this._find(peerId);
		const delayMs = this._delayMs(process, peer);
		if (this._isLost(process, peer)) {
			this._feedLater(process, timeoutMs, failure);
			return;
		}

		const {incarnation} = process;
		this.clock.after(delayMs, () => {
			const event = answer(peer);
			if (process.incarnation !== incarnation) {
				return;
			}

			if (this._isLost(peer, process)) {
				this._feedLater(process, timeoutMs - delayMs, failure);
			} else {
				this._feedLater(process, delayMs, event);
			}
		});
	}

	private _countCall(process: SimulatedProcess, peerId: string): void {
		process.calls++;
		const {now} = this.clock;
		const calledAt = process.calledAt.get(peerId);
		if (calledAt === undefined || now - calledAt > idleConnectionMs) {
			this.counts.newConnections++;
		}

		process.calledAt.set(peerId, now);
		this._find(peerId).calls++;
	}

	private _find(id: string): SimulatedProcess {
		const process = this.processes[Number(id.slice('process-'.length))];
		if (!process) {
			throw new Error(`no process ${id}`);
		}

		return process;
	}

	private _delayMs(from: SimulatedProcess, to: SimulatedProcess): number {
		return from.region === to.region
			? this._fleet.nearDelayMs
			: this._fleet.farDelayMs;
	}

	private _isLost(from: SimulatedProcess, to: SimulatedProcess): boolean {
		return (
			this._isCut(from.region, to.region) ||
			this._random() < this.faults.lossShare
		);
	}

	/** Whether a cut lies between the regions. The store has none. */
	private _isCut(from: number, to: number | undefined): boolean {
		const {cutRegion} = this.faults;
		return (
			cutRegion !== undefined &&
			from !== to &&
			(from === cutRegion || to === cutRegion)
		);
	}
}
