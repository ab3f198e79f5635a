import type {Random} from '../common/random.js';
import {ConfigState} from '../config/config-state.js';
import type {ConfigChange, ConfigSnapshot} from '../config/types.js';
import {ChangeLog} from './change-log.js';
import {
	announceFanout,
	exchangesPerSecond,
	extraAnnounceFanout,
	extraExchangesPerSecond,
	failureShareWeight,
	maxParallelPulls,
	maxPartnerFailureShare,
	maxPullFailures,
	pullTimeoutMs,
	startupPeerCount,
	storeSource,
} from './constants.js';
import {PartnerSet} from './partner-set.js';
import {PollSchedule} from './poll-schedule.js';
import {ReadinessGate} from './readiness-gate.js';
import type {ReplicaCommand, ReplicaEvent} from './types.js';

/** Options of a replica. */
export type ConfigReplicaOptions = {
	/** Identifier of this process. */
	readonly id: string;
	readonly random: Random;
	readonly now: number;
	/** Initial configuration, for drivers that have just read it from the store. */
	readonly state?: ConfigState;
};

/** Answer to a pull: the changes after a version, or a snapshot if the log no longer has them. */
export type ReplicaAnswer =
	| {readonly kind: 'changes'; readonly changes: readonly ConfigChange[]}
	| {readonly kind: 'snapshot'; readonly snapshot: ConfigSnapshot};

const millisecondsPerSecond = 1000;

/**
 * Keeps one process's configuration up to date. Holds the highest version that it has received completely,
 * ignores lower ones, and fetches missing changes from peers and from the store.
 */
export class ConfigReplica {
	public static create(options: ConfigReplicaOptions): ConfigReplica {
		return new ConfigReplica(options);
	}

	private readonly _random: Random;
	private readonly _log: ChangeLog;
	private readonly _polls: PollSchedule;
	private readonly _readiness: ReadinessGate;
	private readonly _partners: PartnerSet;
	private _state: ConfigState;
	/** Highest version that a peer is known to have beyond this process's own; 0 if there is none. */
	private _highestPeerVersion = 0;
	/** Peer that has the version `_highestPeerVersion`. */
	private _highestPeer: string | undefined;
	private _pullStartedAt: number | undefined;
	private _pullFailures = 0;
	private _nextExchangeAt: number;
	/** Moving average of failed exchanges: 0 if none fail, 1 if all fail. */
	private _failureShare = 0;

	private constructor(options: ConfigReplicaOptions) {
		this._partners = PartnerSet.create(options.id, options.random);
		this._random = options.random;
		this._state = options.state ?? ConfigState.empty();
		this._log = ChangeLog.create(this._state.version);
		this._polls = PollSchedule.create(options.random, options.now);
		this._readiness = ReadinessGate.create(options.now);
		this._nextExchangeAt = options.now;
		if (options.state) {
			this._readiness.noteStoreRead();
			this._polls.randomizeFirstPoll();
		}
	}

	/** The configuration at the highest version that this process has received completely. */
	public get state(): ConfigState {
		return this._state;
	}

	/** Whether the process may serve requests with its configuration. */
	public get isReady(): boolean {
		return this._readiness.isReady;
	}

	/**
	 * Version announced to peers. It is 0 until this process is ready, because peers that start while the store is down
	 * become ready at the highest announced version.
	 */
	public get announcedVersion(): number {
		return this.isReady ? this._state.version : 0;
	}

	/** All changes after the version, or undefined if the log no longer has some of them. */
	public changesAfter(version: number): readonly ConfigChange[] | undefined {
		return this._log.after(version);
	}

	/** Answers a pull of a peer. A long answer is limited in size, and the peer pulls again for the rest. */
	public answerAfter(version: number): ReplicaAnswer {
		const changes = this._log.pageAfter(version);
		return changes === undefined
			? {kind: 'snapshot', snapshot: this._state.toSnapshot()}
			: {kind: 'changes', changes};
	}

	/** Handles an event and returns the commands to execute. */
	public handle(event: ReplicaEvent, now: number): readonly ReplicaCommand[] {
		const commands = this._handleEvent(event, now);
		const isOpened = this._readiness.tryOpen(
			this._state.version,
			this._partners.otherPeerCount,
			now,
		);
		return isOpened ? [...commands, {type: 'ready'}] : commands;
	}

	private _handleEvent(
		event: ReplicaEvent,
		now: number,
	): readonly ReplicaCommand[] {
		switch (event.type) {
			case 'peerVersionSeen': {
				return this._handlePeerVersion(event.peer, event.version, now);
			}

			case 'exchangeAnswered': {
				this._noteExchange(0);
				return this._handlePeerVersion(event.peer, event.version, now);
			}

			case 'changesReceived': {
				return this._receiveChanges(event.source, event.changes, now);
			}

			case 'snapshotReceived': {
				return this._receiveSnapshot(event.source, event.snapshot, now);
			}

			case 'fetchFailed': {
				return this._handleFetchFailure(event.source, now);
			}

			case 'exchangeFailed': {
				this._noteExchange(1);
				this._partners.replace(event.peer);
				return [];
			}

			case 'peersChanged': {
				this._partners.setPeers(event.peers);
				this._polls.setFleetSize(event.fleetSize, now);
				return [];
			}

			case 'tick': {
				return this._tick(now);
			}
		}
	}

	private _handlePeerVersion(
		peer: string,
		version: number,
		now: number,
	): readonly ReplicaCommand[] {
		this._readiness.notePeerVersion(peer, version);
		if (version <= this._state.version) {
			return [];
		}

		this._noteHighestPeer(peer, version);
		return this._pullIfBehind(now);
	}

	private _noteHighestPeer(peer: string, version: number): void {
		if (version > this._highestPeerVersion || this._highestPeer === undefined) {
			this._highestPeerVersion = version;
			this._highestPeer = peer;
		}
	}

	private _receiveChanges(
		source: string,
		changes: readonly ConfigChange[],
		now: number,
	): readonly ReplicaCommand[] {
		const fromVersion = this._state.version;
		const isComplete = this._applyInOrder(changes);
		if (!isComplete && source !== storeSource) {
			// The sender of later changes has the missing ones, or knows a peer that does.
			this._noteHighestPeer(source, Math.max(...changes.map(c => c.version)));
		}

		return this._completeFetch(source, fromVersion, isComplete, now);
	}

	private _receiveSnapshot(
		source: string,
		snapshot: ConfigSnapshot,
		now: number,
	): readonly ReplicaCommand[] {
		const fromVersion = this._state.version;
		if (snapshot.version > fromVersion) {
			this._state = ConfigState.fromSnapshot(snapshot);
			this._log.reset(snapshot.version);
		}

		// The store's snapshot may lag behind the latest version: the changes after it are still missing.
		const isComplete = source !== storeSource;
		return this._completeFetch(source, fromVersion, isComplete, now);
	}

	/** Applies changes in order of version. Returns false if changes before them are missing. */
	private _applyInOrder(changes: readonly ConfigChange[]): boolean {
		const ordered = changes.toSorted((a, b) => a.version - b.version);
		for (const change of ordered) {
			const result = this._state.applyChange(change);
			if (result.kind === 'gap') {
				return false;
			}

			if (result.kind === 'applied') {
				this._state = result.state;
				this._log.push(change);
			}
		}

		return true;
	}

	private _completeFetch(
		source: string,
		fromVersion: number,
		isComplete: boolean,
		now: number,
	): readonly ReplicaCommand[] {
		if (source === storeSource && isComplete) {
			this._readiness.noteStoreRead();
			this._polls.noteSuccess(now);
		}

		const toVersion = this._state.version;
		const isAdvanced = toVersion > fromVersion;
		if (isAdvanced) {
			this._pullStartedAt = undefined;
			this._pullFailures = 0;
		} else if (isComplete && source === this._highestPeer) {
			// The peer lacks the version that it announced.
			this._clearHighestPeer();
		}

		if (toVersion >= this._highestPeerVersion) {
			this._clearHighestPeer();
		}

		const pulls = this._pullIfBehind(now);
		return isAdvanced
			? [
					{type: 'configAdvanced', fromVersion, toVersion},
					...this._announce(),
					...pulls,
				]
			: pulls;
	}

	private _handleFetchFailure(
		source: string,
		now: number,
	): readonly ReplicaCommand[] {
		if (source === storeSource) {
			this._readiness.noteStoreFailure();
			this._polls.noteFailure(now, this.isReady);
			return [];
		}

		// The next tick retries the pull. An immediate retry would loop while the peer is unreachable.
		return [];
	}

	private _tick(now: number): readonly ReplicaCommand[] {
		const commands: ReplicaCommand[] = [];
		this._partners.tick(now);
		if (this._polls.tryStart(now)) {
			commands.push({
				type: 'pollStore',
				afterVersion: this._state.version,
			});
		}

		if (now >= this._nextExchangeAt) {
			this._nextExchangeAt = now + this._exchangeIntervalMs();
			// A process that is not ready yet exchanges versions with more peers at once.
			const count = this.isReady ? 1 : startupPeerCount;
			commands.push(...this._exchangeWith(count));
		}

		commands.push(...this._pullIfBehind(now));
		return commands;
	}

	private _pullIfBehind(now: number): readonly ReplicaCommand[] {
		if (this._highestPeer === undefined) {
			return [];
		}

		const isWaiting =
			this._pullStartedAt !== undefined &&
			now - this._pullStartedAt < pullTimeoutMs;
		if (isWaiting) {
			return [];
		}

		if (this._pullStartedAt !== undefined) {
			this._pullFailures++;
		}

		if (this._pullFailures > maxPullFailures) {
			// A later exchange finds another peer that is ahead, if there is one.
			this._clearHighestPeer();
			return [];
		}

		this._pullStartedAt = now;
		// After failures, pulls from other peers as well: they probably have the changes too.
		const pullCount = Math.min(2 ** this._pullFailures, maxParallelPulls);
		return [
			this._highestPeer,
			...this._partners.randomPeers(pullCount - 1),
		].map(peer => ({
			type: 'pullFromPeer',
			peer,
			afterVersion: this._state.version,
		}));
	}

	private _clearHighestPeer(): void {
		this._highestPeerVersion = 0;
		this._highestPeer = undefined;
		this._pullStartedAt = undefined;
		this._pullFailures = 0;
	}

	/** Announces a version that was just reached to some peers immediately. */
	private _announce(): readonly ReplicaCommand[] {
		const extra = Math.round(extraAnnounceFanout * this._failureShare);
		return this.isReady ? this._exchangeWith(announceFanout + extra) : [];
	}

	private _exchangeWith(count: number): readonly ReplicaCommand[] {
		// A process that is not ready yet, or whose exchanges often fail, picks random peers instead of its partners.
		const isHealthy =
			this.isReady && this._failureShare < maxPartnerFailureShare;
		const peers = isHealthy
			? this._partners.next(count)
			: this._partners.randomPeers(count);
		return peers.map(peer => ({
			type: 'exchangeVersion',
			peer,
			version: this.announcedVersion,
		}));
	}

	private _exchangeIntervalMs(): number {
		const rate =
			exchangesPerSecond + extraExchangesPerSecond * this._failureShare;
		return (millisecondsPerSecond / rate) * (0.75 + this._random() / 2);
	}

	/** Updates the moving average of failed exchanges. A process whose exchanges often fail exchanges more often. */
	private _noteExchange(failed: 0 | 1): void {
		this._failureShare += failureShareWeight * (failed - this._failureShare);
	}
}
