import {adapterKey} from '../authority/authority-view.js';
import {hashString, rendezvousScore} from '../common/rendezvous.js';
import {maxAskLoads} from '../work/constants.js';
import {needsPacedReplica, type LoadFigures} from '../work/needs-replica.js';
import {hasRoomForAdapter, pickPacedLoadTarget} from '../work/load-targets.js';
import {
	replicaDelayMs,
	maxReplicaDelayShare,
	maxReplicaUtilizationShare,
	replicaSlotUtilization,
	maxLoadTargetDelayMs,
	maxSlotUtilization,
	spareReplicaDelayMs,
	spareLoadsPerEngine,
} from './constants.js';
import type {ServerState} from './server-state.js';
import type {AdapterWant, ServerNeed} from './types.js';

/** Requirements of a request that runs on an adapter. */
export type AdapterNeed = ServerNeed & {
	readonly model: string;
	readonly adapter: string;
};

export type AdapterPlacementOptions = {
	/** Returns the newest declared version of an adapter; undefined if none was declared. */
	readonly newestVersion: (
		model: string,
		adapter: string,
	) => number | undefined;
	/** Returns the oldest version of an adapter on which a request may run; 0 if any may. */
	readonly minVersion: (model: string, adapter: string, now: number) => number;
	/** Returns the number of pending loads over all servers. */
	readonly pendingLoads: (now: number) => number;
	/** Returns the number of adapters that no server holds and that wait for a load. */
	readonly waitingFirstLoads: (now: number) => number;
	/** Estimated prompt tokens per millisecond that all entries send for an adapter; 0 if too few requests tell. */
	readonly demand: (key: string, now: number) => number;
	/** What the weight store can do. */
	readonly loadFigures: (servers: number) => LoadFigures;
	/** Called when a server gets a new want, or one for another version. */
	readonly onNewWant: (server: string) => void;
};

/**
 * Decides on which servers an adapter is loaded. All entries rank the servers of an adapter by the same rendezvous hash,
 * so they ask the same server to load it. An evicted adapter also returns to servers that held it before, which load
 * it ten times as fast.
 */
export class AdapterPlacement {
	static create(options: AdapterPlacementOptions): AdapterPlacement {
		return new AdapterPlacement(options);
	}

	private constructor(private readonly _options: AdapterPlacementOptions) {}

	/** Returns the holders of an adapter, and requests a load on another server if one is needed. */
	place(
		usable: readonly ServerState[],
		{model, adapter}: AdapterNeed,
		now: number,
	): readonly ServerState[] {
		const {minVersion, newestVersion} = this._options;
		const oldest = minVersion(model, adapter, now);
		const newest = newestVersion(model, adapter) ?? 0;
		const holders = usable.filter(server => {
			const version = server.adapterVersion(model, adapter, now);
			return (
				version !== undefined &&
				version >= oldest &&
				// A server may keep a request that is taken back, and begin it on the old version once its turn comes.
				(version >= newest || !server.hasQueue(now)) &&
				!server.isPending(model, adapter, now)
			);
		});
		this._requestLoads(
			usable,
			holders,
			{
				model,
				adapter,
				version: this._options.newestVersion(model, adapter) ?? 0,
			},
			now,
		);
		return holders;
	}

	private _requestLoads(
		usable: readonly ServerState[],
		holders: readonly ServerState[],
		want: AdapterWant,
		now: number,
	): void {
		const {model, adapter, version} = want;
		const key = adapterKey(model, adapter);
		const isCurrent = holders.some(
			server => server.adapterVersion(model, adapter, now)! >= version,
		);
		if (!isCurrent) {
			this._requestLoadOnOne(usable, want, now);
			return;
		}

		const delayMs = Math.min(
			...holders.map(server => server.promptDelayMs(now)),
		);
		const inUse = holders.reduce(
			(sum, server) => sum + server.inUseCount(key),
			0,
		);
		const utilization = Math.min(
			...holders.map(server => server.slotUtilization(now)),
		);
		const load = {delayMs, inUse, utilization, holders: holders.length};
		const pendingPerServer = this._options.pendingLoads(now) / usable.length;
		if (isPaceKnown(usable, now)) {
			this._requestPacedReplica(usable, holders, want, now);
			return;
		}

		if (needsReplica(load, pendingPerServer)) {
			const lessBusy = usable.filter(
				server =>
					server.promptDelayMs(now) <= delayMs * maxReplicaDelayShare &&
					(utilization < replicaSlotUtilization ||
						server.slotUtilization(now) <=
							utilization * maxReplicaUtilizationShare),
			);
			this._requestLoadOnOne(lessBusy, {...want, isReplica: true}, now);
		}
	}

	/** Requests a replica on an engine with little work, unless a load of the adapter is in progress. */
	private _requestPacedReplica(
		usable: readonly ServerState[],
		holders: readonly ServerState[],
		want: AdapterWant,
		now: number,
	): void {
		const {model, adapter} = want;
		const delayMs = Math.min(
			...holders.map(server => server.promptDelayMs(now)),
		);
		const load = {
			delayMs,
			demand: this._options.demand(adapterKey(model, adapter), now),
			holderTokensPerMs: holders.reduce(
				(sum, server) => sum + server.prefillTokensPerMs,
				0,
			),
		};
		const {pendingLoads, waitingFirstLoads} = this._options;
		const pendingPerServer =
			(pendingLoads(now) + waitingFirstLoads(now)) / usable.length;
		const isLoading = usable.some(server =>
			server.isPending(model, adapter, now),
		);
		const figures = this._options.loadFigures(usable.length);
		if (!isLoading && needsPacedReplica(load, pendingPerServer, figures)) {
			this._requestLoadOnOne(
				usable.filter(
					server =>
						hasRoomForAdapter(server, now) &&
						server.promptDelayMs(now) <= delayMs * maxReplicaDelayShare,
				),
				{...want, isReplica: true},
				now,
			);
		}
	}

	private _requestLoadOnOne(
		usable: readonly ServerState[],
		want: AdapterWant,
		now: number,
	): void {
		const {model, adapter, version} = want;
		const candidates = usable.filter(server => {
			const held = server.adapterVersion(model, adapter, now);
			return (
				server.hasFreshReport(now) &&
				server.hasModel(model, now) &&
				(held === undefined || held < version)
			);
		});
		// Prefer servers without the adapter: replacing a version waits for the requests on the old one, and the engine
		// accepts no other order meanwhile.
		const withoutAdapter = candidates.filter(
			server => server.adapterVersion(model, adapter, now) === undefined,
		);
		const preferred = withoutAdapter.length > 0 ? withoutAdapter : candidates;
		const {loadMs} = this._options.loadFigures(usable.length);
		const target =
			candidates.find(server => server.isPending(model, adapter, now)) ??
			(isPaceKnown(candidates, now)
				? pickPacedLoadTarget(preferred, want, maxAskLoads * loadMs, now)
				: pickLoadTarget(preferred, want, now));
		if (target?.addWant(want, now)) {
			this._options.onNewWant(target.record.id);
		}
	}
}

/** Whether all engines with a fresh report say how long work takes on their hosts. */
function isPaceKnown(servers: readonly ServerState[], now: number): boolean {
	const reported = servers.filter(server => server.hasFreshReport(now));
	return (
		reported.length > 0 &&
		reported.every(server => server.pace(now) !== undefined)
	);
}

/**
 * Returns whether an adapter should get another replica.
 *
 * @param load the least prompt delay among the holders in milliseconds, this entry's requests on them, the least share
 *   of slots in use among them, and their number
 * @param pendingPerServer pending loads over all servers, divided by the number of usable servers
 */
function needsReplica(
	load: {
		readonly delayMs: number;
		readonly inUse: number;
		readonly utilization: number;
		readonly holders: number;
	},
	pendingPerServer: number,
): boolean {
	return (
		load.delayMs >= replicaDelayMs ||
		load.utilization >= replicaSlotUtilization ||
		(load.delayMs >= spareReplicaDelayMs &&
			load.inUse > load.holders &&
			pendingPerServer <= spareLoadsPerEngine)
	);
}

/**
 * Returns the first server in the adapter's rendezvous order that has free slots and a short prompt delay. Falls back to
 * the first with free slots, then to the first of all.
 */
function pickLoadTarget(
	candidates: readonly ServerState[],
	{model, adapter}: AdapterWant,
	now: number,
): ServerState | undefined {
	const keyHash = hashString(adapterKey(model, adapter));
	const scoreOf = ({record}: ServerState) =>
		rendezvousScore(keyHash, hashString(record.id));
	const ordered = candidates.toSorted((a, b) => scoreOf(b) - scoreOf(a));
	const isFree = (server: ServerState) =>
		server.requestCount(now) < server.record.slots * maxSlotUtilization;
	return (
		ordered.find(
			server =>
				isFree(server) && server.promptDelayMs(now) < maxLoadTargetDelayMs,
		) ??
		ordered.find(server => isFree(server)) ??
		ordered[0]
	);
}
