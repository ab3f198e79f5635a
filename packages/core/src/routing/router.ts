import type {ConfigView} from '../config/types.js';
import type {AgentHost, Host} from '../membership/types.js';
import {
	failuresUntilSuspected,
	maxPreferredServers,
	maxProbesAtOnce,
	maxTrackedServers,
	maxCachedSubjects,
} from './constants.js';
import {PreferenceCache} from './preference-cache.js';
import {ResidencyTracker} from './residency-tracker.js';
import {SlowStart} from './slow-start.js';
import {ServerDirectory, type ServerGroup} from './server-directory.js';
import {ServerTable} from './server-table.js';
import type {
	DispatchResult,
	RoutingChoice,
	RoutingFleet,
	RoutingPolicy,
	RoutingQuery,
	ServerLoad,
	StatusReport,
} from './types.js';

/** Options of a router. */
export type RouterOptions = {
	readonly entryId: string;
	readonly region: string;
	readonly view: () => ConfigView;
	readonly policy: RoutingPolicy;
	/** Consecutive failures after which a server is suspected and ranks last. */
	readonly failuresUntilSuspected?: number;
};

/** Chooses servers for requests and tracks load, failures and adapter states from their results and reports. */
export class Router implements RoutingFleet {
	static create(options: RouterOptions): Router {
		return new Router(options);
	}

	private readonly _directory = ServerDirectory.create();
	private readonly _preferences = PreferenceCache.create(
		maxCachedSubjects,
		maxPreferredServers,
	);

	private readonly _residency = ResidencyTracker.create(
		maxCachedSubjects,
		maxPreferredServers,
	);

	private readonly _table: ServerTable;
	private readonly _slowStart = SlowStart.create();
	private _zonesOut: ReadonlySet<string> = new Set();
	private _drained: ReadonlySet<string> = new Set();
	private _zones: ReadonlySet<string> = new Set();
	private _hasHosts = false;

	private constructor(private readonly _options: RouterOptions) {
		this._table = ServerTable.create(
			maxTrackedServers,
			_options.failuresUntilSuspected ?? failuresUntilSuspected,
		);
	}

	/** Servers that failed several times in a row. */
	get suspected(): ReadonlySet<string> {
		return this._table.suspected;
	}

	updateHosts(hosts: readonly Host[], now: number): void {
		const previousIds = new Set(this._directory.ids());
		this._directory.update(hosts);
		const zones = new Set<string>();
		for (const id of this._directory.ids()) {
			zones.add(this._directory.server(id)!.zone);
			if (this._hasHosts && !previousIds.delete(id)) {
				this._slowStart.start(`server:${id}`, now);
			}
		}

		for (const id of this._hasHosts ? previousIds : []) {
			this._table.remove(id);
		}

		this._zones = zones;
		this._hasHosts = true;
		this.updateConfig(now);
	}

	/** Updates the zones that are out and the drained servers. Begins the slow start of those that are back in service. */
	updateConfig(now: number): void {
		const view = this._options.view();
		const drained = new Set<string>();
		for (const id of this._directory.ids()) {
			if (view.isServerDrained(id)) {
				drained.add(id);
			} else if (this._drained.has(id)) {
				this._slowStart.start(`server:${id}`, now);
			}
		}

		this._drained = drained;
		const zonesOut = new Set<string>();
		for (const zone of this._zones) {
			if (view.isZoneOut(zone)) {
				zonesOut.add(zone);
			} else if (this._zonesOut.has(zone)) {
				this._slowStart.start(`zone:${zone}`, now);
			}
		}

		this._zonesOut = zonesOut;
		this._slowStart.prune(now);
	}

	choose(query: RoutingQuery, now: number): RoutingChoice {
		const host = this._options.policy.choose(query, this, now);
		if (host === undefined) {
			return {kind: 'noServer'};
		}

		const {expectedWaitMs} = this.load(host.id, now, query.customer);
		if (expectedWaitMs > query.timeLeftMs) {
			return {
				kind: 'tooLate',
				retryAfterMs: Math.ceil(expectedWaitMs - query.timeLeftMs),
			};
		}

		return {kind: 'server', host};
	}

	preferred(query: RoutingQuery, now: number): readonly AgentHost[] {
		const key = this._preferenceKey(query);
		const groups = this._directory.groups(query.backend);
		for (const group of this._orderByRegion(groups)) {
			const servers = this._preferences.preferred(key, group);
			const usable = this._usable(servers, query, now);
			if (usable.length > 0) {
				return usable;
			}
		}

		// All preferred servers are unusable, so the whole fleet is searched.
		return this.all(query, now).slice(0, maxPreferredServers);
	}

	all(query: RoutingQuery, now: number): readonly AgentHost[] {
		const servers = this._orderByRegion(this._directory.groups(query.backend))
			.flatMap(group => group.members)
			.map(({host}) => host);
		return this._usable(servers, query, now);
	}

	load(server: string, now: number, customer?: string): ServerLoad {
		return this._table.load(server, now, customer);
	}

	isInSlowStart(host: AgentHost, now: number): boolean {
		return this._slowStart.isActive(host, now);
	}

	adapterState(subject: string, server: string) {
		return this._residency.state(subject, server);
	}

	demand(subject: string): number {
		return this._residency.demand(subject);
	}

	noteDispatch(subject: string, server: string, now: number): void {
		this._table.noteDispatch(server, now);
		this._residency.noteDispatch(subject, server);
	}

	/** Records that the answer to a dispatch has started, or that the dispatch ended without one. */
	noteAnswered(server: string): void {
		this._table.noteAnswered(server);
	}

	noteEnd(subject: string, server: string): void {
		this._table.noteEnd(server);
		this._residency.noteEnd(subject);
	}

	noteResult(subject: string, server: string, result: DispatchResult): void {
		this._table.noteResult(server, result);
		if (result !== 'succeeded') {
			this._residency.noteState(subject, server, 'absent');
		}
	}

	noteStatus({status, subject}: StatusReport, now: number): void {
		this._table.noteStatus(status, now);
		if (subject !== undefined) {
			this._residency.noteState(subject, status.server, status.adapterState);
		}
	}

	/** Records the result of a probe. Returns whether the server's dispatches count as lost. */
	noteProbe(server: string, hasSucceeded: boolean): boolean {
		return this._table.noteProbe(server, hasSucceeded);
	}

	/** Returns the servers to probe now and marks them as probed. */
	takeDueProbes(now: number): readonly string[] {
		return this._table.takeDueProbes(now, maxProbesAtOnce);
	}

	/** Time of the next probe, or undefined if no server needs one. */
	nextProbeAt(): number | undefined {
		return this._table.nextProbeAt();
	}

	/** Numbers of tracked servers and of subjects with cached preferences. */
	sizes(): {readonly servers: number; readonly subjects: number} {
		return {servers: this._table.size, subjects: this._preferences.size};
	}

	/** Each entry prefers different servers for a service. For an adapter, all entries prefer the same servers. */
	private _preferenceKey(query: RoutingQuery): string {
		return query.backend.kind === 'service'
			? `${query.subject}/${this._options.entryId}`
			: query.subject;
	}

	/** Puts the group of this entry's region first. */
	private _orderByRegion(
		groups: readonly ServerGroup[],
	): readonly ServerGroup[] {
		const {region} = this._options;
		if (groups.length < 2 || groups[0]!.region === region) {
			return groups;
		}

		return [
			...groups.filter(group => group.region === region),
			...groups.filter(group => group.region !== region),
		];
	}

	private _usable(
		servers: readonly AgentHost[],
		query: RoutingQuery,
		now: number,
	): readonly AgentHost[] {
		const view = this._options.view();
		const inService = servers.filter(
			host =>
				!query.avoid.has(host.id) &&
				!view.isZoneOut(host.zone) &&
				!view.isServerDrained(host.id) &&
				!this._table.isRejectingWork(host.id, now),
		);
		const eligible = inService.filter(host =>
			this._slowStart.isEligible(query.subject, host, now),
		);
		return eligible.length > 0 ? eligible : inService;
	}
}
