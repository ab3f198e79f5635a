import {adapterKey, type DeclaredVersion} from '../authority/authority-view.js';
import {hashString, rendezvousScore} from '../common/rendezvous.js';
import {
	copyDelayMs,
	copyDelayShare,
	homeDelayMs,
	slotShare,
	spareCopyDelayMs,
	spareLoadsShare,
	versionGraceMs,
} from './constants.js';
import type {ServerState} from './server-state.js';
import type {AdapterWant, ServerNeed} from './types.js';

export type AdapterNeed = ServerNeed & {
	readonly model: string;
	readonly adapter: string;
};

/** The servers on which a request for an adapter may run. */
export type AdapterHolders = {
	readonly holders: readonly ServerState[];
	/** Version that the server must have, where an older one would be wrong. */
	readonly version: number | undefined;
};

export type AdapterPlacementOptions = {
	readonly declaredVersion: (
		model: string,
		adapter: string,
	) => DeclaredVersion | undefined;
	/** Adapters that are on their way over all servers. */
	readonly pendingLoads: (now: number) => number;
	/** An adapter should come to a server, which did not know of it yet. */
	readonly onNewWant: (server: string) => void;
};

/**
 * Which servers an adapter stands on. All entries go by the same order of servers for each adapter, so that they ask
 * the same server to load it, and so that it comes back to servers that held it before and load it ten times as fast.
 */
export class AdapterPlacement {
	static create(options: AdapterPlacementOptions): AdapterPlacement {
		return new AdapterPlacement(options);
	}

	private constructor(private readonly _options: AdapterPlacementOptions) {}

	/** Finds the holders, and asks for the adapter on a further server where that is due. */
	place(
		usable: readonly ServerState[],
		{model, adapter}: AdapterNeed,
		now: number,
	): AdapterHolders {
		const declared = this._options.declaredVersion(model, adapter);
		const isBinding =
			declared !== undefined && now - declared.learnedAt >= versionGraceMs;
		const least = isBinding ? declared.version : 0;
		const holders = usable.filter(server => {
			const version = server.adapterVersion(model, adapter, now);
			return (
				version !== undefined &&
				version >= least &&
				!server.isPending(model, adapter, now)
			);
		});
		this._want(
			usable,
			holders,
			{model, adapter, version: declared?.version ?? 0},
			now,
		);
		return {holders, version: isBinding ? declared.version : undefined};
	}

	private _want(
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
			this._wantOnOne(usable, want, now);
			return;
		}

		const delayMs = Math.min(
			...holders.map(server => server.promptDelayMs(now)),
		);
		const inUse = holders.reduce((sum, server) => sum + server.inUse(key), 0);
		const load = {delayMs, inUse, holders: holders.length};
		const pendingShare = this._options.pendingLoads(now) / usable.length;
		if (deservesCopy(load, pendingShare)) {
			const lighter = usable.filter(
				server => server.promptDelayMs(now) <= delayMs * copyDelayShare,
			);
			this._wantOnOne(lighter, want, now);
		}
	}

	private _wantOnOne(
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
		// A new version in the place of an old one waits for its runs, and the engine takes no other order meanwhile.
		const free = candidates.filter(
			server => server.adapterVersion(model, adapter, now) === undefined,
		);
		const target =
			candidates.find(server => server.isPending(model, adapter, now)) ??
			firstInOrder(free.length > 0 ? free : candidates, want, now);
		if (target?.want(want, now)) {
			this._options.onNewWant(target.record.id);
		}
	}
}

/**
 * Whether an adapter should stand on one more server than it does.
 *
 * @param load The least delay of a prompt among its holders in milliseconds, its requests on them, and their number.
 * @param pendingShare Adapters on their way over all servers, as a share of these.
 */
function deservesCopy(
	load: {
		readonly delayMs: number;
		readonly inUse: number;
		readonly holders: number;
	},
	pendingShare: number,
): boolean {
	return (
		load.delayMs >= copyDelayMs ||
		(load.delayMs >= spareCopyDelayMs &&
			load.inUse > load.holders &&
			pendingShare <= spareLoadsShare)
	);
}

/** The first server in the adapter's order that is neither full nor behind with its prompts. */
function firstInOrder(
	candidates: readonly ServerState[],
	{model, adapter}: AdapterWant,
	now: number,
): ServerState | undefined {
	const keyHash = hashString(adapterKey(model, adapter));
	const scoreOf = ({record}: ServerState) =>
		rendezvousScore(keyHash, hashString(record.id));
	const ordered = candidates.toSorted((a, b) => scoreOf(b) - scoreOf(a));
	const isFree = (server: ServerState) =>
		server.load(now) < server.record.slots * slotShare;
	return (
		ordered.find(
			server => isFree(server) && server.promptDelayMs(now) < homeDelayMs,
		) ??
		ordered.find(server => isFree(server)) ??
		ordered[0]
	);
}
