import {
	ConfigReplica,
	spreadTickIntervalMs,
	storeSource,
	type ConfigChange,
	type ConfigState,
	type ConfigView,
	type Host,
	type Random,
	type SpreadCommand,
	type SpreadEvent,
} from '@balsamtray/core';
import {configChangeSchema, type ConfigAnswer} from '@balsamtray/protocol';
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

/** Versions between two snapshots in the object store. */
const snapshotInterval = 500;

const changesSchema = z.array(configChangeSchema);

/** What a configuration task is created from. */
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

/** Carries out what the replica of this process's configuration decides. */
export class ConfigTask implements ConfigService {
	static create(options: ConfigTaskOptions): ConfigTask {
		return new ConfigTask(options);
	}

	private readonly _replica: ConfigReplica;
	private readonly _listeners = new Set<(view: ConfigView) => void>();
	private readonly _disposables: Disposable[] = [];
	private readonly _readyWaiters: Array<() => void> = [];
	private _isStoreDown = false;

	private constructor(private readonly _options: ConfigTaskOptions) {
		this._replica = ConfigReplica.create({
			id: _options.id,
			random: _options.random,
			now: _options.clock(),
		});
	}

	/** Begins to poll the store and to talk with peers. */
	async start(): Promise<void> {
		const {membership} = this._options;
		this._setHosts(membership.hosts());
		this._disposables.push(
			membership.onChanged(hosts => {
				this._setHosts(hosts);
			}),
		);
		const timer = setInterval(() => {
			this._feed({type: 'tick'});
		}, spreadTickIntervalMs);
		this._disposables.push({
			dispose() {
				clearInterval(timer);
			},
		});
		this._feed({type: 'tick'});
	}

	async stop(): Promise<void> {
		for (const disposable of this._disposables.splice(0)) {
			disposable.dispose();
		}
	}

	/** Resolves once the process may serve. */
	async ready(): Promise<void> {
		if (this.isReady()) {
			return;
		}

		await new Promise<void>(resolve => {
			this._readyWaiters.push(resolve);
		});
	}

	view(): ConfigView {
		return this._replica.state;
	}

	/** The same as `view`, with what operators need besides. */
	state(): ConfigState {
		return this._replica.state;
	}

	isReady(): boolean {
		return this._replica.isReady;
	}

	/** Version to tell other processes: 0 until this one may serve. */
	announcedVersion(): number {
		return this._replica.announcedVersion;
	}

	changesAfter(version: number): readonly ConfigChange[] | undefined {
		return this._replica.changesAfter(version);
	}

	/** Answer to a peer's `changesAfter`. */
	answerAfter(version: number): ConfigAnswer {
		return this._replica.answerAfter(version);
	}

	/** Takes in all of the changes, or none where one of them is malformed. */
	learn(source: string, changes: readonly ConfigChange[]): void {
		const result = changesSchema.safeParse(changes);
		if (result.success) {
			this._feed({type: 'changesReceived', source, changes: result.data});
		} else {
			this._count('config.malformed_changes');
		}
	}

	seeVersion(peer: string, version: number): void {
		this._feed({type: 'peerVersionSeen', peer, version});
	}

	/** Takes in a change that the store has just accepted from this process. */
	accept(change: ConfigChange): void {
		this._feed({type: 'changesReceived', source: 'self', changes: [change]});
		if (change.version % snapshotInterval === 0) {
			void this._storeSnapshot();
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
		this._feed({
			type: 'peersChanged',
			peers: hosts.map(({id}) => id).filter(id => id !== this._options.id),
			fleetSize: Math.max(1, hosts.length),
		});
	}

	private _feed(event: SpreadEvent): void {
		for (const command of this._replica.handle(event, this._options.clock())) {
			this._carryOut(command);
		}
	}

	private _carryOut(command: SpreadCommand): void {
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
				this._advanced();
				break;
			}

			case 'ready': {
				this._becameReady();
				break;
			}
		}
	}

	private async _pollStore(afterVersion: number): Promise<void> {
		try {
			const {snapshot, changes} =
				await this._options.store.readAfter(afterVersion);
			this._noteStore(false);
			if (snapshot) {
				this._feed({type: 'snapshotReceived', source: storeSource, snapshot});
			}

			this._feed({type: 'changesReceived', source: storeSource, changes});
		} catch (error) {
			this._noteStore(true, error);
			this._feed({type: 'fetchFailed', source: storeSource});
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
			this._feed(
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
			this._feed({type: 'fetchFailed', source: peer});
		}
	}

	private async _exchangeVersion(peer: string, version: number): Promise<void> {
		try {
			const theirs = await this._options.peers.exchangeVersion(
				this._addressOf(peer),
				version,
			);
			this._feed({type: 'exchangeAnswered', peer, version: theirs});
		} catch {
			this._count('config.exchange_failed');
			this._feed({type: 'exchangeFailed', peer});
		}
	}

	private _addressOf(peer: string): string {
		// Not the `find` of an array.
		// eslint-disable-next-line unicorn/no-array-callback-reference
		const host = this._options.membership.find(peer);
		if (!host) {
			throw new Error(`no host ${peer} in the platform's list`);
		}

		return host.peerAddress;
	}

	private _advanced(): void {
		const view = this.view();
		this._options.telemetry.metrics.gauge('config.version', view.version);
		for (const listener of this._listeners) {
			listener(view);
		}
	}

	private _becameReady(): void {
		const {version} = this._replica.state;
		this._options.telemetry.logger.info('config.ready', {version});
		for (const resolve of this._readyWaiters.splice(0)) {
			resolve();
		}
	}

	private _noteStore(isDown: boolean, error?: unknown): void {
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

	private async _storeSnapshot(): Promise<void> {
		try {
			await this._options.store.writeSnapshot(this.state().toSnapshot());
			this._count('config.snapshot');
		} catch {
			// The next snapshot takes its place; a starting process reads more changes until then.
			this._count('config.snapshot_failed');
		}
	}

	private _count(name: string): void {
		this._options.telemetry.metrics.increment(name);
	}
}
