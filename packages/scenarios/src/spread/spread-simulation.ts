import {
	ConfigReplica,
	type ConfigState,
	createRandom,
	replicaTickIntervalMs,
	storeSource,
	type ConfigChange,
	type ConfigOp,
	type Random,
	type ReplicaCommand,
	type ReplicaEvent,
} from '@balsamtray/core';
import type {SpreadCounts, SpreadFaults, SpreadFleet} from './types.js';
import {VirtualClock} from './virtual-clock.js';

/** Number of children of a process under the `tree` policy. */
const treeFanout = 16;
const exchangeTimeoutMs = 500;
const pullTimeoutMs = 2000;
const storeTimeoutMs = 2000;
/** Time after which an idle connection is closed, in milliseconds. */
const idleConnectionMs = 60_000;

const noFaults: SpreadFaults = {
	lossShare: 0,
	isStoreDown: false,
	storeDelayMs: 5,
	storeLossShare: 0,
};

/** One simulated process. A restart replaces its replica, so the process loses its state. */
export type SimulatedProcess = {
	readonly id: string;
	readonly index: number;
	readonly region: number;
	incarnation: number;
	replica: ConfigReplica;
	isReady: boolean;
	/** Number of calls that the process sent or received. */
	calls: number;
	/** Virtual time of the last call to each peer. */
	readonly calledAt: Map<string, number>;
};

/** Called when a process has advanced to a newer version. */
export type AdvanceListener = (
	process: SimulatedProcess,
	fromVersion: number,
	toVersion: number,
) => void;

/** A call of one process to another. */
type Call = {
	readonly peerId: string;
	readonly timeoutMs: number;
	/** Event that the caller gets if a message was lost. */
	readonly failure: ReplicaEvent;
	readonly respond: (peer: SimulatedProcess) => ReplicaEvent;
};

/**
 * Simulates in virtual time how configuration changes propagate through a fleet of processes.
 * Each process runs the daemon's replica. Messages between processes and the store's responses
 * are delayed and may be lost.
 */
export class SpreadSimulation {
	/** Creates a fleet whose processes all start with the state, or empty if it is absent. */
	static create(
		fleet: SpreadFleet,
		onAdvanced: AdvanceListener,
		state?: ConfigState,
	): SpreadSimulation {
		return new SpreadSimulation(fleet, onAdvanced, state);
	}

	readonly clock = VirtualClock.create();
	/** All accepted changes in order. This is the reference model: each process must converge to it. */
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
	private readonly _initialVersion: number;

	private constructor(
		private readonly _fleet: SpreadFleet,
		private readonly _onAdvanced: AdvanceListener,
		private readonly _initialState: ConfigState | undefined,
	) {
		this._random = createRandom(_fleet.seed);
		this._initialVersion = _initialState?.version ?? 0;
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
				replica: this._createReplica(id, _initialState),
				isReady: false,
				calls: 0,
				calledAt: new Map(),
			});
		}

		for (const process of this.processes) {
			this._start(process);
		}
	}

	/** The latest version that the store has accepted. */
	get acceptedVersion(): number {
		return this._initialVersion + this.accepted.length;
	}

	/**
	 * Submits a change from a process to the store.
	 * @param isResponseLost whether the store's response to the author is lost
	 * @returns false if the store is down or out of the author's reach
	 */
	change(
		author: number,
		ops: readonly ConfigOp[],
		isResponseLost = false,
	): boolean {
		const process = this.processes[author];
		if (
			!process ||
			this.faults.isStoreDown ||
			this._isPartitioned(process.region, undefined)
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
		if (!isResponseLost) {
			// An author reads the store before it submits a change, so it has all earlier changes.
			const missing = this.accepted.slice(
				Math.max(0, process.replica.state.version - this._initialVersion),
			);
			this._handle(process, {
				type: 'changesReceived',
				source: 'self',
				changes: missing,
			});
			this._notifyRoot(process);
		}

		return true;
	}

	/** Restarts a process, which loses its state. */
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
		this._handle(process, {
			type: 'peersChanged',
			peers: this._ids,
			fleetSize: this._fleet.reportedFleetSize ?? this._fleet.processCount,
		});
		this._scheduleTick(
			process,
			process.incarnation,
			this._random() * replicaTickIntervalMs,
		);
	}

	private _scheduleTick(
		process: SimulatedProcess,
		incarnation: number,
		delayMs: number,
	): void {
		this.clock.after(delayMs, () => {
			if (process.incarnation === incarnation) {
				this._handle(process, {type: 'tick'});
				this._scheduleTick(process, incarnation, replicaTickIntervalMs);
			}
		});
	}

	private _handle(process: SimulatedProcess, event: ReplicaEvent): void {
		const commands = process.replica.handle(event, this.clock.now);
		for (const command of commands) {
			this._execute(process, command);
		}
	}

	/** Delivers the event after the delay, unless the process restarts before. */
	private _handleAfter(
		process: SimulatedProcess,
		delayMs: number,
		event: ReplicaEvent,
	): void {
		const {incarnation} = process;
		this.clock.after(delayMs, () => {
			if (process.incarnation === incarnation) {
				this._handle(process, event);
			}
		});
	}

	private _execute(process: SimulatedProcess, command: ReplicaCommand): void {
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
				this._notifyChildren(process);
				break;
			}

			case 'ready': {
				process.isReady = true;
				break;
			}
		}
	}

	/** Under the `tree` policy, each process announces its version to its children. */
	private _notifyChildren(process: SimulatedProcess): void {
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

	/** Under the `tree` policy, the author of a change announces its version to the root. */
	private _notifyRoot(process: SimulatedProcess): void {
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
			this._isPartitioned(process.region, undefined) ||
			this._random() < storeLossShare ||
			storeDelayMs >= storeTimeoutMs;
		if (isFailed) {
			const delayMs = isStoreDown ? 1 : storeTimeoutMs;
			const event = {type: 'fetchFailed', source: storeSource} as const;
			this._handleAfter(process, delayMs, event);
			return;
		}

		if (afterVersion < this._initialVersion && this._initialState) {
			const snapshot = this._initialState.toSnapshot();
			this._handleAfter(process, storeDelayMs, {
				type: 'snapshotReceived',
				source: storeSource,
				snapshot,
			});
		}

		// The store reads when the call arrives, so the response may be outdated on arrival.
		const from = Math.max(0, afterVersion - this._initialVersion);
		const changes = this.accepted.slice(from);
		this._handleAfter(process, storeDelayMs, {
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
			respond: peer => {
				this._handle(peer, {
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
			respond: peer => {
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

	/** Makes a call to a peer. The request or the response may be lost. */
	private _call(process: SimulatedProcess, call: Call): void {
		const {peerId, timeoutMs, failure, respond} = call;
		const peer = this._processById(peerId);
		const delayMs = this._delayMs(process, peer);
		if (this._isLost(process, peer)) {
			this._handleAfter(process, timeoutMs, failure);
			return;
		}

		const {incarnation} = process;
		this.clock.after(delayMs, () => {
			const event = respond(peer);
			if (process.incarnation !== incarnation) {
				return;
			}

			if (this._isLost(peer, process)) {
				this._handleAfter(process, timeoutMs - delayMs, failure);
			} else {
				this._handleAfter(process, delayMs, event);
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
		this._processById(peerId).calls++;
	}

	private _processById(id: string): SimulatedProcess {
		const process = this.processes[Number(id.slice('process-'.length))];
		if (!process) {
			throw new Error(`process ${id} does not exist`);
		}

		return process;
	}

	private _delayMs(from: SimulatedProcess, to: SimulatedProcess): number {
		return from.region === to.region
			? this._fleet.intraRegionDelayMs
			: this._fleet.interRegionDelayMs;
	}

	private _isLost(from: SimulatedProcess, to: SimulatedProcess): boolean {
		return (
			this._isPartitioned(from.region, to.region) ||
			this._random() < this.faults.lossShare
		);
	}

	/** Returns whether a partition separates two regions. An undefined region stands for the store. */
	private _isPartitioned(from: number, to: number | undefined): boolean {
		const {partitionedRegion} = this.faults;
		return (
			partitionedRegion !== undefined &&
			from !== to &&
			(from === partitionedRegion || to === partitionedRegion)
		);
	}
}
