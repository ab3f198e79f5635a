import {
	ConfigReplica,
	replicaTickIntervalMs,
	storeSource,
	type ConfigChange,
	type ConfigState,
	type ConfigView,
	type Host,
	type Random,
	type ReplicaCommand,
	type ReplicaEvent,
} from '@balsamtray/core';
import {configChangeSchema, type ConfigResponse} from '@balsamtray/protocol';
import {z} from 'zod';
import type {
	Clock,
	ConfigService,
	Disposable,
	MembershipService,
	Telemetry,
} from '../common/types.js';
import type {ConfigStore} from '../store/config-store.js';
import type {PeerConfigCalls} from './peer-config-client.js';

/** Number of versions between two snapshots in the object store. */
const snapshotInterval = 500;

const changesSchema = z.array(configChangeSchema);

/** Options of a configuration task. */
export type ConfigTaskOptions = {
	/** Identifier of this process. */
	readonly id: string;
	readonly clock: Clock;
	readonly random: Random;
	readonly store: Pick<ConfigStore, 'readAfter' | 'writeSnapshot'>;
	readonly membership: MembershipService;
	readonly peers: PeerConfigCalls;
	readonly telemetry: Pick<Telemetry, 'logger' | 'metrics'>;
};

/** Runs `ConfigReplica`: passes it events and executes the commands that it returns. */
export class ConfigTask implements ConfigService {
	static create(options: ConfigTaskOptions): ConfigTask {
		return new ConfigTask(options);
	}

	private readonly _replica: ConfigReplica;
	private readonly _listeners = new Set<(view: ConfigView) => void>();
	private readonly _subscriptions: Disposable[] = [];
	private readonly _readyListeners: Array<() => void> = [];
	private _isStoreDown = false;

	private constructor(private readonly _options: ConfigTaskOptions) {
		this._replica = ConfigReplica.create({
			id: _options.id,
			random: _options.random,
			now: _options.clock(),
		});
	}

	/** Starts polling the store and exchanging versions with peers. */
	async start(): Promise<void> {
		const {membership} = this._options;
		this._setHosts(membership.hosts());
		this._subscriptions.push(
			membership.onChanged(hosts => {
				this._setHosts(hosts);
			}),
		);
		const timer = setInterval(() => {
			this._handle({type: 'tick'});
		}, replicaTickIntervalMs);
		this._subscriptions.push({
			dispose() {
				clearInterval(timer);
			},
		});
		this._handle({type: 'tick'});
	}

	async stop(): Promise<void> {
		for (const subscription of this._subscriptions.splice(0)) {
			subscription.dispose();
		}
	}

	/** Resolves once the process may serve requests. */
	async ready(): Promise<void> {
		if (this.isReady()) {
			return;
		}

		await new Promise<void>(resolve => {
			this._readyListeners.push(resolve);
		});
	}

	view(): ConfigView {
		return this._replica.state;
	}

	/** Returns the same as `view`, with the additional members that the operators' interface needs. */
	state(): ConfigState {
		return this._replica.state;
	}

	isReady(): boolean {
		return this._replica.isReady;
	}

	/** Version that this process reports to other processes. It is 0 until this process may serve requests. */
	announcedVersion(): number {
		return this._replica.announcedVersion;
	}

	changesAfter(version: number): readonly ConfigChange[] | undefined {
		return this._replica.changesAfter(version);
	}

	/** Returns the response to a peer's `changesAfter`. */
	answerAfter(version: number): ConfigResponse {
		return this._replica.answerAfter(version);
	}

	/** Applies all of the changes, or none if one of them is malformed. */
	learn(source: string, changes: readonly ConfigChange[]): void {
		const result = changesSchema.safeParse(changes);
		if (result.success) {
			this._handle({type: 'changesReceived', source, changes: result.data});
		} else {
			this._count('config.malformed_changes');
		}
	}

	notePeerVersion(peer: string, version: number): void {
		this._handle({type: 'peerVersionSeen', peer, version});
	}

	/** Applies a change of this process that the store has just accepted. */
	accept(change: ConfigChange): void {
		this._handle({type: 'changesReceived', source: 'self', changes: [change]});
		if (change.version % snapshotInterval === 0) {
			void this._writeSnapshot();
		}
	}

	onAdvanced(listener: (view: ConfigView) => void): Disposable {
		this._listeners.add(listener);
		return {
			dispose: () => {
				this._listeners.delete(listener);
			},
		};
	}

	private _setHosts(hosts: readonly Host[]): void {
		this._handle({
			type: 'peersChanged',
			peers: hosts.map(({id}) => id).filter(id => id !== this._options.id),
			fleetSize: Math.max(1, hosts.length),
		});
	}

	private _handle(event: ReplicaEvent): void {
		for (const command of this._replica.handle(event, this._options.clock())) {
			this._execute(command);
		}
	}

	private _execute(command: ReplicaCommand): void {
		switch (command.type) {
			case 'pollStore': {
				void this._pollStore(command.afterVersion);
				break;
			}

			case 'pullFromPeer': {
				void this._pullFromPeer(command.peer, command.afterVersion);
				break;
			}

			case 'exchangeVersion': {
				void this._exchangeVersion(command.peer, command.version);
				break;
			}

			case 'configAdvanced': {
				this._onConfigAdvanced();
				break;
			}

			case 'ready': {
				this._onReady();
				break;
			}
		}
	}

	private async _pollStore(afterVersion: number): Promise<void> {
		try {
			const {snapshot, changes} =
				await this._options.store.readAfter(afterVersion);
			this._noteStoreState(false);
			if (snapshot) {
				this._handle({type: 'snapshotReceived', source: storeSource, snapshot});
			}

			this._handle({type: 'changesReceived', source: storeSource, changes});
		} catch (error) {
			this._noteStoreState(true, error);
			this._handle({type: 'fetchFailed', source: storeSource});
		}
	}

	private async _pullFromPeer(
		peer: string,
		afterVersion: number,
	): Promise<void> {
		try {
			const answer = await this._options.peers.changesAfter(
				this._addressOf(peer),
				afterVersion,
			);
			this._handle(
				answer.kind === 'changes'
					? {type: 'changesReceived', source: peer, changes: answer.changes}
					: {
							type: 'snapshotReceived',
							source: peer,
							snapshot: answer.snapshot,
						},
			);
		} catch {
			this._count('config.pull_failed');
			this._handle({type: 'fetchFailed', source: peer});
		}
	}

	private async _exchangeVersion(peer: string, version: number): Promise<void> {
		try {
			const peerVersion = await this._options.peers.exchangeVersion(
				this._addressOf(peer),
				version,
			);
			this._handle({type: 'exchangeAnswered', peer, version: peerVersion});
		} catch {
			this._count('config.exchange_failed');
			this._handle({type: 'exchangeFailed', peer});
		}
	}

	private _addressOf(peer: string): string {
		// False positive: this is not `Array#find`.
		// eslint-disable-next-line unicorn/no-array-callback-reference
		const host = this._options.membership.find(peer);
		if (!host) {
			throw new Error(`host ${peer} is not in the platform's list`);
		}

		return host.peerAddress;
	}

	private _onConfigAdvanced(): void {
		const view = this.view();
		this._options.telemetry.metrics.gauge('config.version', view.version);
		for (const listener of this._listeners) {
			listener(view);
		}
	}

	private _onReady(): void {
		const {version} = this._replica.state;
		this._options.telemetry.logger.info('config.ready', {version});
		for (const notify of this._readyListeners.splice(0)) {
			notify();
		}
	}

	private _noteStoreState(isDown: boolean, error?: unknown): void {
		this._count(isDown ? 'config.poll_failed' : 'config.poll');
		if (isDown === this._isStoreDown) {
			return;
		}

		this._isStoreDown = isDown;
		const {logger} = this._options.telemetry;
		if (isDown) {
			logger.warn('config.store_down', {
				step: 'store',
				peer: 'table service',
				message: error instanceof Error ? error.message : 'the poll failed',
			});
		} else {
			logger.info('config.store_up');
		}
	}

	private async _writeSnapshot(): Promise<void> {
		try {
			await this._options.store.writeSnapshot(this.state().toSnapshot());
			this._count('config.snapshot');
		} catch {
			// The next snapshot replaces this one. Until then, a starting process reads more changes.
			this._count('config.snapshot_failed');
		}
	}

	private _count(name: string): void {
		this._options.telemetry.metrics.increment(name);
	}
}
