import type {Random} from '../common/random.js';
import {ConfigState} from '../config/config-state.js';
import type {ConfigChange, ConfigSnapshot} from '../config/types.js';
import {ChangeLog} from './change-log.js';
import {
	advanceFanout,
	exchangesPerSecond,
	extraAdvanceFanout,
	extraExchangesPerSecond,
	failureShareWeight,
	mostParallelPulls,
	mostPartnerFailureShare,
	mostPullFailures,
	pullPatienceMs,
	startPeerCount,
	storeSource,
} from './constants.js';
import {PartnerSet} from './partner-set.js';
import {PollSchedule} from './poll-schedule.js';
import {StartGate} from './start-gate.js';
import type {SpreadCommand, SpreadEvent} from './types.js';

/** What a replica is created from. */
export type ConfigReplicaOptions = {
	/** Identifier of this process. */
	readonly id: string;
	readonly random: Random;
	readonly now: number;
	/** Configuration to begin with, for drivers that have just read it from the store. */
	readonly state?: ConfigState;
};

/** Changes after a version, or a snapshot where they are no longer at hand. */
export type ReplicaAnswer =
	| {readonly kind: 'changes'; readonly changes: readonly ConfigChange[]}
	| {readonly kind: 'snapshot'; readonly snapshot: ConfigSnapshot};

const millisecondsPerSecond = 1000;

/**
 * Keeps one process's configuration up to date. Holds the highest version that it has seen whole,
 * refuses lower ones, and fetches missing changes from peers and from the store.
 */
export class ConfigReplica {
	public static create(options: ConfigReplicaOptions): ConfigReplica {
		return new ConfigReplica(options);
	}

	private readonly _random: Random;
	private readonly _log: ChangeLog;
	private readonly _polls: PollSchedule;
	private readonly _gate: StartGate;
	private readonly _partners: PartnerSet;
	private _present: ConfigState;
	private _highestSeen = 0;
	private _highestPeer: string | undefined;
	private _pullStartedAt: number | undefined;
	private _pullFailures = 0;
	private _nextExchangeAt: number;
	private _failureShare = 0;

	private constructor(options: ConfigReplicaOptions) {
		this._partners = PartnerSet.create(options.id, options.random);
		this._random = options.random;
		this._present = options.state ?? ConfigState.empty();
		this._log = ChangeLog.create(this._present.version);
		this._polls = PollSchedule.create(options.random, options.now);
		this._gate = StartGate.create(options.now);
		this._nextExchangeAt = options.now;
		if (options.state) {
			this._gate.storeRead();
			this._polls.beginAnywhere();
		}
	}

	/** The configuration at the highest version that this process has. */
	public get state(): ConfigState {
		return this._present;
	}

	/** Whether the process may serve with its configuration. */
	public get isReady(): boolean {
		return this._gate.isReady;
	}

	/** The version to tell peers: 0 until the process may serve, so that no peer starts by it. */
	public get announcedVersion(): number {
		return this.isReady ? this._present.version : 0;
	}

	/** All changes after the version, or undefined where they are no longer at hand. */
	public changesAfter(version: number): readonly ConfigChange[] | undefined {
		return this._log.after(version);
	}

	/** Answers a peer that pulls. A long answer is cut, and the peer pulls again. */
	public answerAfter(version: number): ReplicaAnswer {
		const changes = this._log.pageAfter(version);
		return changes === undefined
			? {kind: 'snapshot', snapshot: this._present.toSnapshot()}
			: {kind: 'changes', changes};
	}

	public handle(event: SpreadEvent, now: number): readonly SpreadCommand[] {
		const commands = this._decide(event, now);
		const isOpened = this._gate.tryOpen(
			this._present.version,
			this._partners.otherCount,
			now,
		);
		return isOpened ? [...commands, {type: 'ready'}] : commands;
	}

	private _decide(event: SpreadEvent, now: number): readonly SpreadCommand[] {
		switch (event.type) {
			case 'peerVersionSeen': {
				return this._seeVersion(event.peer, event.version, now);
			}

			case 'exchangeAnswered': {
				this._noteExchange(0);
				return this._seeVersion(event.peer, event.version, now);
			}

			case 'changesReceived': {
				return this._receiveChanges(event.source, event.changes, now);
			}

			case 'snapshotReceived': {
				return this._receiveSnapshot(event.source, event.snapshot, now);
			}

			case 'fetchFailed': {
				return this._fetchFailed(event.source, now);
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

	private _seeVersion(
		peer: string,
		version: number,
		now: number,
	): readonly SpreadCommand[] {
		this._gate.peerAnswered(peer, version);
		if (version <= this._present.version) {
			return [];
		}

		this._noteHighest(peer, version);
		return this._pullIfBehind(now);
	}

	private _noteHighest(peer: string, version: number): void {
		if (version > this._highestSeen || this._highestPeer === undefined) {
			this._highestSeen = version;
			this._highestPeer = peer;
		}
	}

	private _receiveChanges(
		source: string,
		changes: readonly ConfigChange[],
		now: number,
	): readonly SpreadCommand[] {
		const fromVersion = this._present.version;
		const isWhole = this._applyAll(changes);
		if (!isWhole && source !== storeSource) {
			// Whoever sent later changes has the missing ones, or knows who has.
			this._noteHighest(source, Math.max(...changes.map(c => c.version)));
		}

		return this._settleFetch(source, fromVersion, isWhole, now);
	}

	private _receiveSnapshot(
		source: string,
		snapshot: ConfigSnapshot,
		now: number,
	): readonly SpreadCommand[] {
		const fromVersion = this._present.version;
		if (snapshot.version > fromVersion) {
			this._present = ConfigState.fromSnapshot(snapshot);
			this._log.reset(snapshot.version);
		}

		// The store's snapshot may lag behind: the changes that follow it are still to come.
		const isWhole = source !== storeSource;
		return this._settleFetch(source, fromVersion, isWhole, now);
	}

	/** Applies changes in the order of their numbers. Returns false if some before them are missing. */
	private _applyAll(changes: readonly ConfigChange[]): boolean {
		const ordered = changes.toSorted((a, b) => a.version - b.version);
		for (const change of ordered) {
			const result = this._present.applyChange(change);
			if (result.kind === 'gap') {
				return false;
			}

			if (result.kind === 'applied') {
				this._present = result.state;
				this._log.push(change);
			}
		}

		return true;
	}

	private _settleFetch(
		source: string,
		fromVersion: number,
		isWhole: boolean,
		now: number,
	): readonly SpreadCommand[] {
		if (source === storeSource && isWhole) {
			this._gate.storeRead();
			this._polls.succeed(now);
		}

		const toVersion = this._present.version;
		const isAdvanced = toVersion > fromVersion;
		if (isAdvanced) {
			this._pullStartedAt = undefined;
			this._pullFailures = 0;
		} else if (isWhole && source === this._highestPeer) {
			// The peer does not have what it was said to have.
			this._forgetHighest();
		}

		if (toVersion >= this._highestSeen) {
			this._forgetHighest();
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

	private _fetchFailed(source: string, now: number): readonly SpreadCommand[] {
		if (source === storeSource) {
			this._gate.storeFailed();
			this._polls.fail(now, this.isReady);
			return [];
		}

		// The next tick repeats the pull. At once would be a loop where a peer can't be reached.
		return [];
	}

	private _tick(now: number): readonly SpreadCommand[] {
		const commands: SpreadCommand[] = [];
		this._partners.tick(now);
		if (this._polls.take(now)) {
			commands.push({
				type: 'pollStore',
				afterVersion: this._present.version,
			});
		}

		if (now >= this._nextExchangeAt) {
			this._nextExchangeAt = now + this._exchangeIntervalMs();
			// A process that can't serve yet asks more peers at once.
			const count = this.isReady ? 1 : startPeerCount;
			commands.push(...this._exchangeWith(count));
		}

		commands.push(...this._pullIfBehind(now));
		return commands;
	}

	private _pullIfBehind(now: number): readonly SpreadCommand[] {
		if (this._highestPeer === undefined) {
			return [];
		}

		const isWaiting =
			this._pullStartedAt !== undefined &&
			now - this._pullStartedAt < pullPatienceMs;
		if (isWaiting) {
			return [];
		}

		if (this._pullStartedAt !== undefined) {
			this._pullFailures++;
		}

		if (this._pullFailures > mostPullFailures) {
			// A later exchange names another peer, if there is one that is ahead.
			this._forgetHighest();
			return [];
		}

		this._pullStartedAt = now;
		// After a failure other peers are asked as well, as they probably have the changes too.
		const wanted = Math.min(2 ** this._pullFailures, mostParallelPulls);
		return [this._highestPeer, ...this._partners.any(wanted - 1)].map(peer => ({
			type: 'pullFromPeer',
			peer,
			afterVersion: this._present.version,
		}));
	}

	private _forgetHighest(): void {
		this._highestSeen = 0;
		this._highestPeer = undefined;
		this._pullStartedAt = undefined;
		this._pullFailures = 0;
	}

	/** Tells some peers at once of a version that was just reached. */
	private _announce(): readonly SpreadCommand[] {
		const extra = Math.round(extraAdvanceFanout * this._failureShare);
		return this.isReady ? this._exchangeWith(advanceFanout + extra) : [];
	}

	private _exchangeWith(count: number): readonly SpreadCommand[] {
		// A process that can't serve yet, or has a bad network, asks all round.
		const isWell = this.isReady && this._failureShare < mostPartnerFailureShare;
		const peers = isWell
			? this._partners.next(count)
			: this._partners.any(count);
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

	/** Follows the share of failed exchanges, so that a process in a bad network asks more often. */
	private _noteExchange(failed: 0 | 1): void {
		this._failureShare += failureShareWeight * (failed - this._failureShare);
	}
}
