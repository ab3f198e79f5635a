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

	private readonly replica: ConfigReplica;
	private readonly listeners = new Set<(view: ConfigView) => void>();
	private readonly disposables: Disposable[] = [];
	private readonly readyWaiters: Array<() => void> = [];
	private isStoreDown = false;

	private constructor(private readonly options: ConfigTaskOptions) {
		this.replica = ConfigReplica.create({
			id: options.id,
			random: options.random,
			now: options.clock(),
		});
	}

	/** Begins to poll the store and to talk with peers. */
	async start(): Promise<void> {
		const {membership} = this.options;
		this.setHosts(membership.hosts());
		this.disposables.push(
			membership.onChanged(hosts => {
				this.setHosts(hosts);
			}),
		);
		const timer = setInterval(() => {
			this.feed({type: 'tick'});
		}, spreadTickIntervalMs);
		this.disposables.push({
			dispose() {
				clearInterval(timer);
			},
		});
		this.feed({type: 'tick'});
	}

	async stop(): Promise<void> {
		for (const disposable of this.disposables.splice(0)) {
			disposable.dispose();
		}
	}

	/** Resolves once the process may serve. */
	async ready(): Promise<void> {
		if (this.isReady()) {
			return;
		}

		await new Promise<void>(resolve => {
			this.readyWaiters.push(resolve);
		});
	}

	view(): ConfigView {
		return this.replica.state;
	}

	/** The same as `view`, with what operators need besides. */
	state(): ConfigState {
		return this.replica.state;
	}

	isReady(): boolean {
		return this.replica.isReady;
	}

	/** Version to tell other processes: 0 until this one may serve. */
	announcedVersion(): number {
		return this.replica.announcedVersion;
	}

	changesAfter(version: number): readonly ConfigChange[] | undefined {
		return this.replica.changesAfter(version);
	}

	/** Answer to a peer's `changesAfter`. */
	answerAfter(version: number): ConfigAnswer {
		return this.replica.answerAfter(version);
	}

	/** Takes in all of the changes, or none where one of them is malformed. */
	learn(source: string, changes: readonly ConfigChange[]): void {
		const result = changesSchema.safeParse(changes);
		if (result.success) {
			this.feed({type: 'changesReceived', source, changes: result.data});
		} else {
			this.count('config.malformed_changes');
		}
	}

	seeVersion(peer: string, version: number): void {
		this.feed({type: 'peerVersionSeen', peer, version});
	}

	/** Takes in a change that the store has just accepted from this process. */
	accept(change: ConfigChange): void {
		this.feed({type: 'changesReceived', source: 'self', changes: [change]});
		if (change.version % snapshotInterval === 0) {
			void this.storeSnapshot();
		}
	}

	onAdvanced(listener: (view: ConfigView) => void): Disposable {
		this.listeners.add(listener);
		return {
			dispose: () => {
				this.listeners.delete(listener);
			},
		};
	}

	private setHosts(hosts: readonly Host[]): void {
		this.feed({
			type: 'peersChanged',
			peers: hosts.map(({id}) => id).filter(id => id !== this.options.id),
			fleetSize: Math.max(1, hosts.length),
		});
	}

	private feed(event: SpreadEvent): void {
		for (const command of this.replica.handle(event, this.options.clock())) {
			this.carryOut(command);
		}
	}

	private carryOut(command: SpreadCommand): void {
		switch (command.type) {
			case 'pollStore': {
				void this.pollStore(command.afterVersion);
				break;
			}

			case 'pullFromPeer': {
				void this.pullFromPeer(command.peer, command.afterVersion);
				break;
			}

			case 'exchangeVersion': {
				void this.exchangeVersion(command.peer, command.version);
				break;
			}

			case 'configAdvanced': {
				this.advanced();
				break;
			}

			case 'ready': {
				this.becameReady();
				break;
			}
		}
	}

	private async pollStore(afterVersion: number): Promise<void> {
		try {
			const {snapshot, changes} =
				await this.options.store.readAfter(afterVersion);
			this.noteStore(false);
			if (snapshot) {
				this.feed({type: 'snapshotReceived', source: storeSource, snapshot});
			}

			this.feed({type: 'changesReceived', source: storeSource, changes});
		} catch (error) {
			this.noteStore(true, error);
			this.feed({type: 'fetchFailed', source: storeSource});
		}
	}

	private async pullFromPeer(
		peer: string,
		afterVersion: number,
	): Promise<void> {
		try {
			const answer = await this.options.peers.changesAfter(
				this.addressOf(peer),
				afterVersion,
			);
			this.feed(
				answer.kind === 'changes'
					? {type: 'changesReceived', source: peer, changes: answer.changes}
					: {
							type: 'snapshotReceived',
							source: peer,
							snapshot: answer.snapshot,
						},
			);
		} catch {
			this.count('config.pull_failed');
			this.feed({type: 'fetchFailed', source: peer});
		}
	}

	private async exchangeVersion(peer: string, version: number): Promise<void> {
		try {
			const theirs = await this.options.peers.exchangeVersion(
				this.addressOf(peer),
				version,
			);
			this.feed({type: 'exchangeAnswered', peer, version: theirs});
		} catch {
			this.count('config.exchange_failed');
			this.feed({type: 'exchangeFailed', peer});
		}
	}

	private addressOf(peer: string): string {
		// Not the `find` of an array.
		// eslint-disable-next-line unicorn/no-array-callback-reference
		const host = this.options.membership.find(peer);
		if (!host) {
			throw new Error(`no host ${peer} in the platform's list`);
		}

		return host.peerAddress;
	}

	private advanced(): void {
		const view = this.view();
		this.options.telemetry.metrics.gauge('config.version', view.version);
		for (const listener of this.listeners) {
			listener(view);
		}
	}

	private becameReady(): void {
		const {version} = this.replica.state;
		this.options.telemetry.logger.info('config.ready', {version});
		for (const resolve of this.readyWaiters.splice(0)) {
			resolve();
		}
	}

	private noteStore(isDown: boolean, error?: unknown): void {
		this.count(isDown ? 'config.poll_failed' : 'config.poll');
		if (isDown === this.isStoreDown) {
			return;
		}

		this.isStoreDown = isDown;
		const {logger} = this.options.telemetry;
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

	private async storeSnapshot(): Promise<void> {
		try {
			await this.options.store.writeSnapshot(this.state().toSnapshot());
			this.count('config.snapshot');
		} catch {
			// The next snapshot takes its place; a starting process reads more changes until then.
			this.count('config.snapshot_failed');
		}
	}

	private count(name: string): void {
		this.options.telemetry.metrics.increment(name);
	}
}
