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
	mostPullFailures,
	pullPatienceMs,
	startPeerCount,
	storeSource,
} from './constants.js';
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

	private readonly id: string;
	private readonly random: Random;
	private readonly log: ChangeLog;
	private readonly polls: PollSchedule;
	private readonly gate: StartGate;
	private present: ConfigState;
	private peers: readonly string[] = [];
	private peerCount = 0;
	private highestSeen = 0;
	private highestPeer: string | undefined;
	private pullStartedAt: number | undefined;
	private pullFailures = 0;
	private nextExchangeAt: number;
	private failureShare = 0;

	private constructor(options: ConfigReplicaOptions) {
		this.id = options.id;
		this.random = options.random;
		this.present = options.state ?? ConfigState.empty();
		this.log = ChangeLog.create(this.present.version);
		this.polls = PollSchedule.create(options.random, options.now);
		this.gate = StartGate.create(options.now);
		this.nextExchangeAt = options.now;
		if (options.state) {
			this.gate.storeRead();
			this.polls.beginAnywhere();
		}
	}

	/** The configuration at the highest version that this process has. */
	public get state(): ConfigState {
		return this.present;
	}

	/** Whether the process may serve with its configuration. */
	public get isReady(): boolean {
		return this.gate.isReady;
	}

	/** The version to tell peers: 0 until the process may serve, so that no peer starts by it. */
	public get announcedVersion(): number {
		return this.isReady ? this.present.version : 0;
	}

	/** All changes after the version, or undefined where they are no longer at hand. */
	public changesAfter(version: number): readonly ConfigChange[] | undefined {
		return this.log.after(version);
	}

	/** Answers a peer that pulls. A long answer is cut, and the peer pulls again. */
	public answerAfter(version: number): ReplicaAnswer {
		const changes = this.log.pageAfter(version);
		return changes === undefined
			? {kind: 'snapshot', snapshot: this.present.toSnapshot()}
			: {kind: 'changes', changes};
	}

	public handle(event: SpreadEvent, now: number): readonly SpreadCommand[] {
		const commands = this.decide(event, now);
		const isOpened = this.gate.tryOpen(
			this.present.version,
			this.peerCount,
			now,
		);
		return isOpened ? [...commands, {type: 'ready'}] : commands;
	}

	private decide(event: SpreadEvent, now: number): readonly SpreadCommand[] {
		switch (event.type) {
			case 'peerVersionSeen': {
				return this.seeVersion(event.peer, event.version, now);
			}

			case 'exchangeAnswered': {
				this.noteExchange(0);
				return this.seeVersion(event.peer, event.version, now);
			}

			case 'changesReceived': {
				return this.receiveChanges(event.source, event.changes, now);
			}

			case 'snapshotReceived': {
				return this.receiveSnapshot(event.source, event.snapshot, now);
			}

			case 'fetchFailed': {
				return this.fetchFailed(event.source, now);
			}

			case 'exchangeFailed': {
				this.noteExchange(1);
				return [];
			}

			case 'peersChanged': {
				this.peers = event.peers;
				this.peerCount = event.peers.filter(peer => peer !== this.id).length;
				this.polls.setFleetSize(event.fleetSize, now);
				return [];
			}

			case 'tick': {
				return this.tick(now);
			}
		}
	}

	private seeVersion(
		peer: string,
		version: number,
		now: number,
	): readonly SpreadCommand[] {
		this.gate.peerAnswered(peer, version);
		if (version <= this.present.version) {
			return [];
		}

		this.noteHighest(peer, version);
		return this.pullIfBehind(now);
	}

	private noteHighest(peer: string, version: number): void {
		if (version > this.highestSeen || this.highestPeer === undefined) {
			this.highestSeen = version;
			this.highestPeer = peer;
		}
	}

	private receiveChanges(
		source: string,
		changes: readonly ConfigChange[],
		now: number,
	): readonly SpreadCommand[] {
		const fromVersion = this.present.version;
		const isWhole = this.applyAll(changes);
		if (!isWhole && source !== storeSource) {
			// Whoever sent later changes has the missing ones, or knows who has.
			this.noteHighest(source, Math.max(...changes.map(c => c.version)));
		}

		return this.settleFetch(source, fromVersion, isWhole, now);
	}

	private receiveSnapshot(
		source: string,
		snapshot: ConfigSnapshot,
		now: number,
	): readonly SpreadCommand[] {
		const fromVersion = this.present.version;
		if (snapshot.version > fromVersion) {
			this.present = ConfigState.fromSnapshot(snapshot);
			this.log.reset(snapshot.version);
		}

		// The store's snapshot may lag behind: the changes that follow it are still to come.
		const isWhole = source !== storeSource;
		return this.settleFetch(source, fromVersion, isWhole, now);
	}

	/** Applies changes in the order of their numbers. Returns false if some before them are missing. */
	private applyAll(changes: readonly ConfigChange[]): boolean {
		const ordered = changes.toSorted((a, b) => a.version - b.version);
		for (const change of ordered) {
			const result = this.present.applyChange(change);
			if (result.kind === 'gap') {
				return false;
			}

			if (result.kind === 'applied') {
				this.present = result.state;
				this.log.push(change);
			}
		}

		return true;
	}

	private settleFetch(
		source: string,
		fromVersion: number,
		isWhole: boolean,
		now: number,
	): readonly SpreadCommand[] {
		if (source === storeSource && isWhole) {
			this.gate.storeRead();
			this.polls.succeed(now);
		}

		const toVersion = this.present.version;
		const isAdvanced = toVersion > fromVersion;
		if (isAdvanced) {
			this.pullStartedAt = undefined;
			this.pullFailures = 0;
		} else if (isWhole && source === this.highestPeer) {
			// The peer does not have what it was said to have.
			this.forgetHighest();
		}

		if (toVersion >= this.highestSeen) {
			this.forgetHighest();
		}

		const pulls = this.pullIfBehind(now);
		return isAdvanced
			? [
					{type: 'configAdvanced', fromVersion, toVersion},
					...this.announce(),
					...pulls,
				]
			: pulls;
	}

	private fetchFailed(source: string, now: number): readonly SpreadCommand[] {
		if (source === storeSource) {
			this.gate.storeFailed();
			this.polls.fail(now, this.isReady);
			return [];
		}

		// The next tick repeats the pull. At once would be a loop where a peer can't be reached.
		return [];
	}

	private tick(now: number): readonly SpreadCommand[] {
		const commands: SpreadCommand[] = [];
		if (this.polls.take(now)) {
			commands.push({
				type: 'pollStore',
				afterVersion: this.present.version,
			});
		}

		if (now >= this.nextExchangeAt) {
			this.nextExchangeAt = now + this.exchangeIntervalMs();
			// A process that can't serve yet asks more peers at once.
			const count = this.isReady ? 1 : startPeerCount;
			commands.push(...this.exchangeWith(count));
		}

		commands.push(...this.pullIfBehind(now));
		return commands;
	}

	private pullIfBehind(now: number): readonly SpreadCommand[] {
		if (this.highestPeer === undefined) {
			return [];
		}

		const isWaiting =
			this.pullStartedAt !== undefined &&
			now - this.pullStartedAt < pullPatienceMs;
		if (isWaiting) {
			return [];
		}

		if (this.pullStartedAt !== undefined) {
			this.pullFailures++;
		}

		if (this.pullFailures > mostPullFailures) {
			// A later exchange names another peer, if there is one that is ahead.
			this.forgetHighest();
			return [];
		}

		this.pullStartedAt = now;
		// After a failure other peers are asked as well, as they probably have the changes too.
		const wanted = Math.min(2 ** this.pullFailures, mostParallelPulls);
		return [this.highestPeer, ...this.pickPeers(wanted - 1)].map(peer => ({
			type: 'pullFromPeer',
			peer,
			afterVersion: this.present.version,
		}));
	}

	private forgetHighest(): void {
		this.highestSeen = 0;
		this.highestPeer = undefined;
		this.pullStartedAt = undefined;
		this.pullFailures = 0;
	}

	/** Tells some peers at once of a version that was just reached. */
	private announce(): readonly SpreadCommand[] {
		const extra = Math.round(extraAdvanceFanout * this.failureShare);
		return this.isReady ? this.exchangeWith(advanceFanout + extra) : [];
	}

	private exchangeWith(count: number): readonly SpreadCommand[] {
		return this.pickPeers(count).map(peer => ({
			type: 'exchangeVersion',
			peer,
			version: this.announcedVersion,
		}));
	}

	private exchangeIntervalMs(): number {
		const rate =
			exchangesPerSecond + extraExchangesPerSecond * this.failureShare;
		return (millisecondsPerSecond / rate) * (0.75 + this.random() / 2);
	}

	/** Follows the share of failed exchanges, so that a process in a bad network asks more often. */
	private noteExchange(failed: 0 | 1): void {
		this.failureShare += failureShareWeight * (failed - this.failureShare);
	}

	/** Picks distinct random peers. */
	private pickPeers(count: number): readonly string[] {
		const picked = new Set<string>();
		const tries = Math.min(count, this.peers.length) * 4;
		for (let i = 0; i < tries && picked.size < count; i++) {
			const peer = this.peers[Math.floor(this.random() * this.peers.length)];
			if (peer !== undefined && peer !== this.id) {
				picked.add(peer);
			}
		}

		return [...picked];
	}
}
