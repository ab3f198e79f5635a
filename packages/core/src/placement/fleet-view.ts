import type {DeclaredVersion} from '../authority/authority-view.js';
import type {ServiceSpec} from '../authority/types.js';
import {AdapterPlacement, type AdapterNeed} from './adapter-placement.js';
import {
	runningRequestCostMs,
	maxMemoryUtilization,
	crossZoneCostMs,
	minOutageMs,
	resumptionIntervalMs,
	returnWindowMs,
	maxPlainRequestsPerSlot,
	maxTrackedSessions,
	cachedPromptCreditMs,
	maxSlotUtilization,
} from './constants.js';
import {ServerState} from './server-state.js';
import type {
	EngineReport,
	ServerChange,
	ServerChoice,
	ServerNeed,
	ServerRecord,
} from './types.js';

const noServers: ReadonlySet<string> = new Set();

/** Dependencies and settings of a `FleetView`. */
export type FleetViewOptions = {
	/** Zone of this entry. */
	readonly zone: string;
	readonly isZoneOut: (zone: string) => boolean;
	readonly declaredVersion: (
		model: string,
		adapter: string,
	) => DeclaredVersion | undefined;
	readonly serviceOf: (name: string) => ServiceSpec | undefined;
	/** Maximum requests per second that a cold server of the service may get from all entries together. */
	readonly coldBound: (service: ServiceSpec) => number;
	/** Number of entries that may send to the same servers, including this one. */
	readonly entryCount: () => number;
	/** Called when a server gets a new want, or one for another version. */
	readonly onNewWant: (server: string) => void;
};

/** Tracks the backend servers and chooses the one that runs a request. */
export class FleetView {
	static create(options: FleetViewOptions): FleetView {
		return new FleetView(options);
	}

	private readonly _servers = new Map<string, ServerState>();
	private readonly _rowVersions = new Map<string, number>();
	/** Server that caches each session's prompt, least recently used session first. */
	private readonly _sessions = new Map<string, string>();
	/** Most recently listed server of each address, with its row version. An address has one server at a time. */
	private readonly _currentServers = new Map<
		string,
		{readonly id: string; readonly rowVersion: number}
	>();

	private _outageEndedAt = Number.NEGATIVE_INFINITY;
	private readonly _placement: AdapterPlacement;

	private constructor(private readonly _options: FleetViewOptions) {
		const {declaredVersion, onNewWant} = _options;
		this._placement = AdapterPlacement.create({
			declaredVersion,
			onNewWant,
			pendingLoads: now => this.pendingLoads(now),
		});
	}

	servers(): Iterable<ServerState> {
		return this._servers.values();
	}

	/** Rows of the servers that the platform lists, for sending them to another entry. */
	listedRows(): readonly ServerChange[] {
		return [...this._servers.values()]
			.filter(({vanishedAt}) => vanishedAt === undefined)
			.map(({record}) => ({
				id: record.id,
				rowVersion: this._rowVersions.get(record.id) ?? 0,
				record,
			}));
	}

	/**
	 * Text that differs if the list differs in something that other entries have to know. Agents report the adapters, and
	 * every entry counts down the time until a server is warm, so these are left out.
	 */
	listedDigest(): string {
		return JSON.stringify(
			[...this._servers.values()]
				.filter(({vanishedAt}) => vanishedAt === undefined)
				.map(({record, coldStarts}) => [
					{...record, models: [], coldLeftMs: 0},
					coldStarts,
				]),
		);
	}

	server(id: string): ServerState | undefined {
		return this._servers.get(id);
	}

	/** Applies changes of the platform's list. Rows that are not newer than the known ones are ignored. */
	apply(changes: readonly ServerChange[], now: number): void {
		for (const {id, rowVersion, record} of changes) {
			if (rowVersion <= (this._rowVersions.get(id) ?? 0)) {
				continue;
			}

			this._rowVersions.set(id, rowVersion);
			const server = this._servers.get(id);
			if (record === undefined) {
				this._markVanished(server, now);
				continue;
			}

			if (server !== undefined && isSuperseded(record, server.record)) {
				continue;
			}

			this._noteCurrentServer(record, rowVersion);
			if (server === undefined) {
				this._servers.set(id, ServerState.create(record, now));
			} else {
				server.setRecord(record, now);
			}
		}
	}

	/** Replaces the whole list. Its rows are as of one store version. */
	applyAll(
		changes: readonly ServerChange[],
		storeVersion: number,
		now: number,
	): void {
		const listed = new Set(changes.map(({id}) => id));
		const removed = [...this._servers.keys()]
			.filter(id => !listed.has(id))
			.map(id => ({id, rowVersion: storeVersion, record: undefined}));
		this.apply([...removed, ...changes], now);
	}

	/**
	 * Notes that the list is known to be the newest, before its rows are applied. After an outage, the store may have
	 * dropped servers that are still alive.
	 *
	 * @param sinceMs time in which this process ran since the list was last known to be the newest, in milliseconds; infinite
	 *   for the first list
	 */
	noteConfirmed(sinceMs: number, now: number): void {
		if (sinceMs >= minOutageMs && Number.isFinite(sinceMs)) {
			this._outageEndedAt = now;
		}
	}

	noteReport(id: string, report: EngineReport, now: number): void {
		const server = this._servers.get(id);
		if (server !== undefined) {
			const spec = this._options.serviceOf(server.record.service);
			server.setReport(report, spec?.coldMs ?? 0, now);
		}
	}

	/** Number of pending loads over all servers with a fresh report. */
	pendingLoads(now: number): number {
		let count = 0;
		for (const server of this._servers.values()) {
			if (server.hasFreshReport(now)) {
				count += server.report!.pending.length;
			}
		}

		return count;
	}

	/** Number of known servers of a service. */
	engineCount(service: string): number {
		let count = 0;
		for (const {record} of this._servers.values()) {
			count += record.service === service ? 1 : 0;
		}

		return count;
	}

	/** Whether a newer server is listed at the server's address. The server no longer exists then. */
	isReplaced({record: {id, address}}: ServerState): boolean {
		const current = this._currentServers.get(address);
		return current !== undefined && current.id !== id;
	}

	/** Chooses a server, or returns what the request has to wait for. */
	choose(need: ServerNeed, now: number): ServerChoice {
		const candidates = this._usable(need, now);
		if (candidates.length === 0) {
			return {kind: 'noServer'};
		}

		const usable = candidates.filter(server => server.isTakingRequests(now));
		if (usable.length === 0) {
			const delayMs = Math.max(
				resumptionIntervalMs,
				leastSuspensionMs(candidates, now),
			);
			return {kind: 'serversSuspended', delayMs};
		}

		if (need.model === undefined) {
			return this._choosePlain(usable, now);
		}

		const {model, adapter} = need;
		if (adapter === undefined) {
			const holders = usable.filter(server => server.hasModel(model, now));
			return this._chooseAmong(holders, need, undefined, now);
		}

		return this._chooseForAdapter(usable, {...need, model, adapter}, now);
	}

	/** Records the server that has the session's prompt in its cache. Forgets the least recently used sessions. */
	noteSession(session: string, server: string): void {
		this._sessions.delete(session);
		this._sessions.set(session, server);
		for (const oldest of this._sessions.keys()) {
			if (this._sessions.size <= maxTrackedSessions) {
				return;
			}

			this._sessions.delete(oldest);
		}
	}

	/** Time until a server of the service takes requests, tried or not, in milliseconds. 0 if one does, or if none is usable. */
	suspensionMs(need: ServerNeed, now: number): number {
		return leastSuspensionMs(
			this._usable({...need, tried: noServers}, now),
			now,
		);
	}

	/** Whether the server may get requests. */
	isUsable(id: string, now: number): boolean {
		const server = this._servers.get(id);
		return (
			server !== undefined &&
			this._isUsable(server, now) &&
			server.suspendedForMs(now) === 0
		);
	}

	private _noteCurrentServer(
		{id, address}: ServerRecord,
		rowVersion: number,
	): void {
		const current = this._currentServers.get(address);
		if (current === undefined || rowVersion > current.rowVersion) {
			this._currentServers.set(address, {id, rowVersion});
		}
	}

	private _markVanished(server: ServerState | undefined, now: number): void {
		if (server === undefined) {
			return;
		}

		const {id, address} = server.record;
		if (this._currentServers.get(address)?.id === id) {
			this._currentServers.delete(address);
		}

		server.vanishedAt ??= now;
		if (!this._isListedOrInGrace(server, now) && server.outstanding === 0) {
			this._servers.delete(server.record.id);
		}
	}

	private _isListedOrInGrace({vanishedAt}: ServerState, now: number): boolean {
		return (
			vanishedAt === undefined ||
			(vanishedAt >= this._outageEndedAt &&
				now - this._outageEndedAt < returnWindowMs)
		);
	}

	private _isUsable(server: ServerState, now: number): boolean {
		const {isDraining, zone} = server.record;
		return (
			!isDraining &&
			!server.isLeaving &&
			!this.isReplaced(server) &&
			!this._options.isZoneOut(zone) &&
			this._isListedOrInGrace(server, now)
		);
	}

	private _usable(need: ServerNeed, now: number): readonly ServerState[] {
		const usable = [...this._servers.values()].filter(
			server =>
				server.record.service === need.service &&
				!need.tried.has(server.record.id) &&
				this._isUsable(server, now),
		);
		const unsuspected = usable.filter(server => !server.isSuspected(now));
		return unsuspected.length > 0 ? unsuspected : usable;
	}

	private _choosePlain(
		usable: readonly ServerState[],
		now: number,
	): ServerChoice {
		const open = usable.filter(
			server =>
				server.outstanding < server.record.slots * maxPlainRequestsPerSlot &&
				this._isWithinColdLimit(server, now),
		);
		const [best] = open.toSorted(
			(a, b) =>
				a.outstanding - b.outstanding ||
				this._zoneDistance(a) - this._zoneDistance(b) ||
				a.sentWithinSecond(now) - b.sentWithinSecond(now),
		);
		return best === undefined
			? {kind: 'full'}
			: {kind: 'send', server: best.record.id, version: undefined};
	}

	private _chooseForAdapter(
		usable: readonly ServerState[],
		need: AdapterNeed,
		now: number,
	): ServerChoice {
		const {holders, version} = this._placement.place(usable, need, now);
		return holders.length === 0
			? {kind: 'awaitAdapter'}
			: this._chooseAmong(holders, need, version, now);
	}

	private _chooseAmong(
		holders: readonly ServerState[],
		need: ServerNeed,
		version: number | undefined,
		now: number,
	): ServerChoice {
		const open = holders.filter(
			server =>
				server.requestCount(now) < server.record.slots * maxSlotUtilization &&
				server.hasMemoryFor(need.tokens, maxMemoryUtilization, now) &&
				this._isWithinColdLimit(server, now),
		);
		const delays = open.map(server =>
			server.promptDelayMs(now, need.promptTokens),
		);
		const delayMs = Math.min(...delays);
		if (open.length > 0 && delayMs > need.maxPromptWaitMs) {
			return {kind: 'promptQueue', delayMs};
		}

		const sessionServer =
			need.session === undefined ? undefined : this._sessions.get(need.session);
		let best: {readonly id: string; readonly cost: number} | undefined;
		for (const [i, server] of open.entries()) {
			const {id} = server.record;
			const cost =
				delays[i]! +
				runningRequestCostMs * server.requestCount(now) +
				crossZoneCostMs * this._zoneDistance(server) -
				(id === sessionServer ? cachedPromptCreditMs : 0);
			if (best === undefined || cost < best.cost) {
				best = {id, cost};
			}
		}

		if (best === undefined) {
			return {kind: holders.length === 0 ? 'noServer' : 'full'};
		}

		return {kind: 'send', server: best.id, version};
	}

	/** Whether a server may get another request. A cold server gets at most this entry's share of the limit per second. */
	private _isWithinColdLimit(server: ServerState, now: number): boolean {
		const spec = this._options.serviceOf(server.record.service);
		if (
			spec === undefined ||
			spec.coldRequestsPerSecond <= 0 ||
			!server.isCold(now)
		) {
			return true;
		}

		const limit = Math.max(
			1,
			Math.floor(this._options.coldBound(spec) / this._options.entryCount()),
		);
		return server.sentWithinSecond(now) < limit;
	}

	private _zoneDistance({record}: ServerState): number {
		return record.zone === this._options.zone ? 0 : 1;
	}
}

/**
 * Whether the server sent the record before the known one. A write that is carried out late has a newer row version, but
 * a server never takes requests again after it said that it drains, until its next start.
 */
function isSuperseded(record: ServerRecord, known: ServerRecord): boolean {
	return (
		record.born !== undefined &&
		known.born !== undefined &&
		(record.born < known.born ||
			(record.born === known.born && known.isDraining && !record.isDraining))
	);
}

function leastSuspensionMs(
	servers: readonly ServerState[],
	now: number,
): number {
	return servers.length === 0
		? 0
		: Math.min(...servers.map(server => server.suspendedForMs(now)));
}
