import {adapterKey} from '../authority/authority-view.js';
import {eraGraceMs} from '../authority/constants.js';
import {
	compareStoreVersions,
	initialStoreVersion,
	versionOfRow,
	type StoreVersion,
} from '../authority/store-version.js';
import {offerOfServer} from '../contention/offer-of-server.js';
import type {ServerOffer} from '../contention/waiting-request.js';
import type {OutputSubject} from '../work/output-lengths.js';
import type {OutputProgress} from '../work/output-progress.js';
import {
	ServerChooser,
	type ServerChooserOptions,
} from '../work/server-chooser.js';
import {
	initialPrefillTokensPerMs,
	minOutageMs,
	resumptionIntervalMs,
	returnWindowMs,
	typicalPromptTokens,
} from './constants.js';
import {RetiredServers} from './retired-servers.js';
import {ServerDepartures} from './server-departures.js';
import {ServerLimits} from './server-limits.js';
import {ServerLeavings} from './server-leavings.js';
import {ServerState} from './server-state.js';
import {ServerSuspensions} from './server-suspensions.js';
import type {
	EngineReport,
	ReportedLoad,
	ServerChange,
	ServerChoice,
	ServerNeed,
	ServerRecord,
	VersionToExpect,
} from './types.js';

const noServers: ReadonlySet<string> = new Set();

/**
 * Whether a request may go to a server: `resuming` servers get requests at a limited rate after a suspension, `limited` ones
 * have used up the limit that they name.
 */
type ServerAdmission = 'open' | 'limited' | 'resuming' | 'suspended' | 'closed';

/** Dependencies and settings of a `FleetView`. */
export type FleetViewOptions = Omit<
	ServerChooserOptions,
	'pendingLoads' | 'waitingFirstLoads'
> & {
	readonly isZoneOut: (zone: string) => boolean;
};

/** Tracks the backend servers and chooses the one that runs a request. */
export class FleetView {
	static create(options: FleetViewOptions): FleetView {
		return new FleetView(options);
	}

	/** Limits that servers name. */
	readonly limits = ServerLimits.create();
	private readonly _servers = new Map<string, ServerState>();
	private readonly _rowVersions = new Map<string, StoreVersion>();
	/** Most recently listed server of each address, with the version of its row. An address has one server at a time. */
	private readonly _currentServers = new Map<
		string,
		{readonly id: string; readonly version: StoreVersion}
	>();

	/** Servers that were listed when the store lost their rows by going back. */
	private readonly _lostByStore = new Set<string>();
	private _outageEndedAt = Number.NEGATIVE_INFINITY;
	private _eraSettledAt = Number.NEGATIVE_INFINITY;
	private readonly _retired = RetiredServers.create();
	private readonly _leavings = ServerLeavings.create();
	private readonly _departures = ServerDepartures.create();
	/** Time at which the list was last known to be the newest, and from when on it was before. */
	private _confirmedAt = Number.NEGATIVE_INFINITY;
	private _confirmedBefore = Number.NEGATIVE_INFINITY;
	private readonly _suspensions = ServerSuspensions.create();
	private readonly _chooser: ServerChooser;
	/** Services whose servers say how long work takes on their hosts. */
	private readonly _pacedServices = new Set<string>();

	private constructor(private readonly _options: FleetViewOptions) {
		this._chooser = ServerChooser.create({
			..._options,
			pendingLoads: now => this.pendingLoads(now),
			waitingFirstLoads: now => this.waitingFirstLoads(now),
		});
	}

	servers(): Iterable<ServerState> {
		return this._servers.values();
	}

	/** Rows of the servers that the platform lists, for sending them to another entry. */
	listedRows(): readonly ServerChange[] {
		return [...this._servers.values()]
			.filter(({vanishedAt}) => vanishedAt === undefined)
			.map(({record}) => {
				const {era, version} =
					this._rowVersions.get(record.id) ?? initialStoreVersion;
				return {
					id: record.id,
					rowVersion: version,
					...(era > 0 && {era}),
					record,
				};
			});
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
		for (const change of changes) {
			const {id, record} = change;
			const version = versionOfRow(change);
			const known = this._rowVersions.get(id) ?? initialStoreVersion;
			if (compareStoreVersions(version, known) <= 0) {
				continue;
			}

			this._rowVersions.set(id, version);
			this._lostByStore.delete(id);
			const server = this._servers.get(id);
			if (record === undefined) {
				this._leavings.noteUnlisted(id, now);
				this._departures.forget(id);
				this._noteDrained(server, now);
				this._markVanished(server, now);
				continue;
			}

			if (server !== undefined && isSuperseded(record, server.record)) {
				continue;
			}

			this._leavings.noteListed(record, now);
			this._departures.note(record, now - this._confirmedBefore, now);
			this._noteCurrentServer(record, version);
			const kept = server ?? this._retired.take(id, now);
			kept?.setRecord(record, now);
			const state = kept ?? ServerState.create(record, now);
			state.tellsPace ||= this._pacedServices.has(record.service);
			this._servers.set(id, state);
		}
	}

	/** Replaces the whole list. Its rows are as of one store version. */
	applyAll(
		changes: readonly ServerChange[],
		{era, version}: StoreVersion,
		now: number,
	): void {
		const listed = new Set(changes.map(({id}) => id));
		const removed = [...this._servers.keys()]
			.filter(id => !listed.has(id))
			.map(id => ({
				id,
				rowVersion: version,
				...(era > 0 && {era}),
				record: undefined,
			}));
		const current = changes.filter(
			change => !this._isFromBeforeExit(change, now),
		);
		const lost =
			now < this._eraSettledAt
				? removed.filter(({id}) => !this._hasExited(this._servers.get(id)))
				: [];
		this.apply([...removed, ...current], now);
		for (const {id} of lost) {
			this._lostByStore.add(id);
		}
	}

	/** Notes that the store came back from a copy. It may have lost servers, and list some that have left. */
	noteEra(now: number): void {
		this._eraSettledAt = now + eraGraceMs;
		this._outageEndedAt = now;
	}

	/**
	 * Notes that the list is known to be the newest, before its rows are applied. After an outage, the store may have
	 * dropped servers that are still alive.
	 *
	 * @param sinceMs time in which this process ran since the list was last known to be the newest, in milliseconds; infinite
	 *   for the first list
	 */
	noteConfirmed(sinceMs: number, now: number): void {
		this._confirmedBefore = this._confirmedAt;
		this._confirmedAt = now;
		if (sinceMs >= minOutageMs && Number.isFinite(sinceMs)) {
			this._outageEndedAt = now;
		}
	}

	noteReport(id: string, report: EngineReport, now: number): void {
		const server = this._servers.get(id);
		if (server !== undefined) {
			const spec = this._options.serviceOf(server.record.service);
			this._leavings.noteBorn(id, report.born);
			server.setReport(report, spec?.coldMs ?? 0, now);
			if (report.isLeaving === true) {
				this.noteLeaving(id, now);
			}
		}
	}

	/**
	 * Notes that a server turns requests away for a time.
	 *
	 * @param share random number in [0, 1) that spreads the first requests of the entries after that time
	 */
	noteSuspension(id: string, forMs: number, share: number, now: number): void {
		const service = this._servers.get(id)?.record.service ?? '';
		this._suspensions.note(id, {forMs, share, service}, now);
	}

	/** Time for which a server wants no requests, listed or not, in milliseconds; 0 if it takes them. */
	suspendedForMs(id: string, now: number): number {
		return this._suspensions.remainingMs(id, now);
	}

	/**
	 * Notes that a server says in a response that it is leaving. Rows that are older than that may still arrive.
	 *
	 * @param born start time of the server that said so, 0 if unknown; an earlier start than the known one is ignored
	 * @returns whether this is news
	 */
	noteLeaving(id: string, now: number, born = this._bornOf(id)): boolean {
		if (born < this._bornOf(id)) {
			return false;
		}

		const server = this._servers.get(id);
		return this._leavings.note(
			id,
			{born, record: server?.record, isListed: !this._isUnlisted(id)},
			now,
		);
	}

	/**
	 * Notes the load that a server tells in a response.
	 *
	 * @param elapsedMs time from the send of the request to the response of a plain service, in milliseconds; undefined if it
	 *   did not run, or ran at an engine
	 */
	noteLoad(
		id: string,
		load: ReportedLoad,
		elapsedMs: number | undefined,
		now: number,
	): void {
		const server = this._servers.get(id);
		if (server === undefined) {
			return;
		}

		const {service} = server.record;
		server.noteLoad(load, now);
		if (load.slowdown !== undefined) {
			this._notePaced(service);
		}

		if (elapsedMs !== undefined) {
			this._chooser.noteWork(service, elapsedMs, load);
		}
	}

	/** Whether the server said that it is leaving, and nothing newer says that it is back. */
	isLeaving(id: string): boolean {
		return this._leavings.has(id);
	}

	/** Usual time of the work of a plain service, in milliseconds; undefined until it is known. */
	workMs(service: string): number | undefined {
		return this._chooser.workMs(service);
	}

	/** What a server can do for waiting requests; undefined if it is unknown or may not be used. */
	offerOf(id: string, now: number): ServerOffer | undefined {
		const server = this._servers.get(id);
		return server !== undefined && this.isUsable(id, now)
			? offerOfServer(server, now)
			: undefined;
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

	/** Number of adapters that no engine holds and that wait for a load, over all servers with a fresh report. */
	waitingFirstLoads(now: number): number {
		let count = 0;
		for (const server of this._servers.values()) {
			count += server.hasFreshReport(now)
				? (server.report!.firstLoads ?? 0)
				: 0;
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

	/** Whether the platform lists a server of the service with this software version, draining or not. */
	hasSoftwareVersion(service: string, softwareVersion: string): boolean {
		return [...this._servers.values()].some(
			server =>
				server.record.service === service &&
				server.softwareVersion === softwareVersion &&
				server.vanishedAt === undefined,
		);
	}

	/** Whether a newer server is listed at the server's address. The server no longer exists then. */
	isReplaced({record: {id, address}}: ServerState): boolean {
		const current = this._currentServers.get(address);
		return current !== undefined && current.id !== id;
	}

	/** Whether a start of a server is over: it has started again, or a newer server is listed at its address. */
	hasStartedAgain(id: string, address: string, born: number): boolean {
		const current = this._currentServers.get(address);
		const knownBorn = this.server(id)?.born ?? 0;
		return (
			(born > 0 && knownBorn > born) ||
			(current !== undefined && current.id !== id)
		);
	}

	/** Whether the time is known of any server that is taken away. */
	get hasDepartures(): boolean {
		return this._departures.size > 0;
	}

	/** Time until a draining server may be gone, in milliseconds, below 0 after that; undefined if its row states none. */
	departsInMs(id: string, now: number): number | undefined {
		return this._departures.leftMs(id, now);
	}

	/** Interval at which requests may move to other servers of the service without a queue of prompts there, in milliseconds. */
	moveSpacingMs(service: string, now: number): number {
		const targets = [...this._servers.values()].filter(
			server => server.record.service === service && this._isOpen(server, now),
		);
		const prefillMs = typicalPromptTokens / initialPrefillTokensPerMs;
		return (
			(prefillMs * this._options.entryCount()) / Math.max(1, targets.length)
		);
	}

	/** Returns what is expected of the output of a request for an engine. */
	startOutput(request: OutputSubject): OutputProgress {
		return this._chooser.startOutput(request);
	}

	/** Chooses a server, or returns what the request has to wait for. */
	choose(need: ServerNeed, now: number): ServerChoice {
		const candidates = this._usable(need, now);
		const usable = candidates.filter(
			server => this._admission(server, now) === 'open',
		);
		if (usable.length === 0) {
			const limited = candidates.filter(
				server => this._admission(server, now) === 'limited',
			);
			if (limited.length > 0) {
				return {
					kind: 'serversLimited',
					delayMs: Math.min(
						...limited.map(({record}) => this.limits.delayMs(record.id, now)),
					),
				};
			}

			const suspensionMs = this._leastSuspensionMs(need, candidates, now);
			return candidates.length === 0 &&
				(suspensionMs === 0 || need.tried.size > 0)
				? {kind: 'noServer'}
				: {
						kind: 'serversSuspended',
						delayMs: Math.max(resumptionIntervalMs, suspensionMs),
					};
		}

		return this._chooser.choose(usable, need, now);
	}

	/** Records the server that has the session's prompt in its cache. Forgets the least recently used sessions. */
	noteSession(session: string, server: string): void {
		this._chooser.noteSession(session, server);
	}

	/** Time until a server of the service takes requests, tried or not, in milliseconds. 0 if one does, or if none is known. */
	suspensionMs(need: ServerNeed, now: number): number {
		const untried = {...need, tried: noServers};
		return this._leastSuspensionMs(untried, this._usable(untried, now), now);
	}

	/** Whether a request may be dispatched to the server now, which it was assigned to some time before. */
	mayDispatch(id: string, now: number): boolean {
		const server = this._servers.get(id);
		return (
			server !== undefined &&
			this.isUsable(id, now) &&
			server.dispatchedWithinSecond(now) < this._chooser.coldLimit(server, now)
		);
	}

	/** Whether the server may get requests. */
	isUsable(id: string, now: number): boolean {
		const server = this._servers.get(id);
		const admission =
			server === undefined ? 'closed' : this._admission(server, now);
		return admission !== 'closed' && admission !== 'suspended';
	}

	/** Returns the version that a request sent to the server now has to expect. */
	versionToExpect(
		id: string,
		{model, adapter}: Pick<ServerNeed, 'model' | 'adapter'>,
		now: number,
	): VersionToExpect {
		if (model === undefined || adapter === undefined) {
			return {kind: 'any'};
		}

		const {newestVersion} = this._options;
		const minVersion = this._options.minVersion(model, adapter, now);
		const version = this._servers.get(id)?.adapterVersion(model, adapter, now);
		if (minVersion === 0) {
			// From a declaration on, the server's report may be older than what it holds when the request arrives.
			return version === undefined ||
				newestVersion(model, adapter) === undefined
				? {kind: 'any'}
				: {kind: 'exactly', version};
		}

		return version !== undefined && version >= minVersion
			? {kind: 'exactly', version}
			: {kind: 'outdated'};
	}

	/**
	 * Whether a request may be sent to the server now whose headers were written some time before.
	 *
	 * @param expected version that the headers tell the server to expect; undefined if they accept any
	 */
	acceptsHeaders(
		id: string,
		need: Pick<ServerNeed, 'model' | 'adapter'>,
		expected: number | undefined,
		now: number,
	): boolean {
		const toExpect = this.versionToExpect(id, need, now);
		return (
			toExpect.kind === 'any' ||
			(toExpect.kind === 'exactly' && expected === toExpect.version)
		);
	}

	/**
	 * Whether a row of a whole list may be older than the exit of its server, which this entry read in an earlier era: the
	 * store has lost the exit, and the server may not have written it again yet.
	 */
	private _isFromBeforeExit(change: ServerChange, now: number): boolean {
		const {id, era = 0, record} = change;
		const known = this._rowVersions.get(id);
		if (
			known === undefined ||
			known.era >= era ||
			record === undefined ||
			record.isDraining ||
			now >= this._eraSettledAt ||
			this._lostByStore.has(id)
		) {
			return false;
		}

		const server = this._servers.get(id);
		return this._hasExited(server) && !isNewerStart(record, server?.record);
	}

	/** Whether a server is known to leave, or to be gone. */
	private _hasExited(server: ServerState | undefined): boolean {
		return (
			server === undefined ||
			server.vanishedAt !== undefined ||
			server.record.isDraining ||
			this.isLeaving(server.record.id) ||
			this.isReplaced(server)
		);
	}

	private _noteCurrentServer(
		{id, address}: ServerRecord,
		version: StoreVersion,
	): void {
		const current = this._currentServers.get(address);
		if (
			current === undefined ||
			compareStoreVersions(version, current.version) > 0
		) {
			this._currentServers.set(address, {id, version});
		}
	}

	/** Notes that a draining server is leaving whose row goes, so that no older row of this start brings it back. */
	private _noteDrained(server: ServerState | undefined, now: number): void {
		if (server?.record.isDraining === true && server.born > 0) {
			const {record, born} = server;
			this._leavings.note(record.id, {born, record, isListed: false}, now);
		}
	}

	private _markVanished(server: ServerState | undefined, now: number): void {
		if (server === undefined) {
			return;
		}

		const {id, address} = server.record;
		const isCurrent = this._currentServers.get(address)?.id === id;
		if (isCurrent && now >= this._eraSettledAt) {
			this._currentServers.delete(address);
		}

		server.vanishedAt ??= now;
		if (!this._isListedOrInGrace(server, now) && server.outstanding === 0) {
			this._servers.delete(id);
			this._retired.add(server, now);
		}
	}

	private _isListedOrInGrace({vanishedAt}: ServerState, now: number): boolean {
		return (
			vanishedAt === undefined ||
			(vanishedAt >= this._outageEndedAt &&
				now - this._outageEndedAt < returnWindowMs)
		);
	}

	/** Whether a request may go to the server now, by the list and by what the server has said of itself. */
	private _admission(server: ServerState, now: number): ServerAdmission {
		if (!this._isOpen(server, now)) {
			return 'closed';
		}

		const {id} = server.record;
		if (this._suspensions.remainingMs(id, now) > 0) {
			return 'suspended';
		}

		const sentSince = (at: number) => server.sentSince(at);
		if (!this._suspensions.isTakingRequests(id, sentSince, now)) {
			return 'resuming';
		}

		return this.limits.isOpen(id, now) ? 'open' : 'limited';
	}

	/** Takes the servers of a service as ones that say how long work takes on their hosts, once the first one does. */
	private _notePaced(service: string): void {
		if (!this._pacedServices.has(service)) {
			this._pacedServices.add(service);
			for (const server of this._servers.values()) {
				server.tellsPace ||= server.record.service === service;
			}
		}
	}

	private _isOpen(server: ServerState, now: number): boolean {
		const {id, isDraining, zone} = server.record;
		return (
			!isDraining &&
			!this.isLeaving(id) &&
			!this.isReplaced(server) &&
			!this._options.isZoneOut(zone) &&
			this._isListedOrInGrace(server, now)
		);
	}

	private _usable(need: ServerNeed, now: number): readonly ServerState[] {
		const {softwareVersion} = need;
		const usable = [...this._servers.values()].filter(
			server =>
				server.record.service === need.service &&
				!need.tried.has(server.record.id) &&
				(softwareVersion === undefined ||
					server.softwareVersion === softwareVersion) &&
				this._admission(server, now) !== 'closed',
		);
		const unsuspected = usable.filter(server => !server.isSuspected(now));
		return unsuspected.length > 0 ? unsuspected : usable;
	}

	/**
	 * Time until the first of the servers takes requests, in milliseconds. Without any, that of those that want none and
	 * whose rows are gone, since they may return.
	 */
	private _leastSuspensionMs(
		{service, tried, softwareVersion}: ServerNeed,
		servers: readonly ServerState[],
		now: number,
	): number {
		const ids =
			servers.length > 0 || softwareVersion !== undefined
				? servers.map(({record: {id}}) => id)
				: this._suspensions
						.suspendedServers(service, now)
						.filter(id => !tried.has(id) && this._isUnlisted(id));
		return ids.length === 0
			? 0
			: Math.min(...ids.map(id => this.suspendedForMs(id, now)));
	}

	/** Time of the server's last known start; 0 if unknown. */
	private _bornOf(id: string): number {
		return this._servers.get(id)?.born ?? 0;
	}

	private _isUnlisted(id: string): boolean {
		const server = this._servers.get(id);
		return server === undefined || server.vanishedAt !== undefined;
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

/** Whether a record is of a later start of the server than the known one, by its own account. */
function isNewerStart(
	{born = 0}: ServerRecord,
	known: ServerRecord | undefined,
): boolean {
	return known !== undefined && born > (known.born ?? born);
}
