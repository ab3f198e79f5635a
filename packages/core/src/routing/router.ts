import type {ConfigView} from '../config/types.js';
import type {AgentHost, Host} from '../membership/types.js';
import {
	failuresUntilSuspected,
	preferredServers,
	probesAtOnce,
	rememberedServers,
	rememberedSubjects,
} from './constants.js';
import {PreferenceMemo} from './preference-memo.js';
import {ResidencyMemo} from './residency-memo.js';
import {ReturnRamp} from './return-ramp.js';
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

/** What a router needs. */
export type RouterOptions = {
	readonly entryId: string;
	readonly region: string;
	readonly view: () => ConfigView;
	readonly policy: RoutingPolicy;
	/** Failures in a row after which a server goes to the end of the order. */
	readonly failuresUntilSuspected?: number;
};

/** Chooses servers for requests and learns from what becomes of them. */
export class Router implements RoutingFleet {
	static create(options: RouterOptions): Router {
		return new Router(options);
	}

	private readonly _directory = ServerDirectory.create();
	private readonly _preferences = PreferenceMemo.create(
		rememberedSubjects,
		preferredServers,
	);

	private readonly _residency = ResidencyMemo.create(
		rememberedSubjects,
		preferredServers,
	);

	private readonly _table: ServerTable;
	private readonly _ramp = ReturnRamp.create();
	private _zonesOut: ReadonlySet<string> = new Set();
	private _zones: ReadonlySet<string> = new Set();
	private _hasMembers = false;

	private constructor(private readonly _options: RouterOptions) {
		this._table = ServerTable.create(
			rememberedServers,
			_options.failuresUntilSuspected ?? failuresUntilSuspected,
		);
	}

	/** Servers that failed several times in a row. */
	get suspected(): ReadonlySet<string> {
		return this._table.suspected;
	}

	updateHosts(hosts: readonly Host[], now: number): void {
		const before = new Set(this._directory.ids());
		this._directory.update(hosts);
		const zones = new Set<string>();
		for (const id of this._directory.ids()) {
			zones.add(this._directory.server(id)!.zone);
			if (this._hasMembers && !before.delete(id)) {
				this._ramp.start(`server:${id}`, now);
			}
		}

		for (const id of this._hasMembers ? before : []) {
			this._table.forget(id);
		}

		this._zones = zones;
		this._hasMembers = true;
		this.updateConfig(now);
	}

	/** Notes which zones left and which came back. */
	updateConfig(now: number): void {
		const view = this._options.view();
		const zonesOut = new Set<string>();
		for (const zone of this._zones) {
			if (view.isZoneOut(zone)) {
				zonesOut.add(zone);
			} else if (this._zonesOut.has(zone)) {
				this._ramp.start(`zone:${zone}`, now);
			}
		}

		this._zonesOut = zonesOut;
		this._ramp.prune(now);
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
		for (const group of this._inReach(groups)) {
			const servers = this._preferences.preferred(key, group);
			const usable = this._usable(servers, query, now);
			if (usable.length > 0) {
				return usable;
			}
		}

		// All remembered servers are out of service: look at the rest of the fleet.
		return this.all(query, now).slice(0, preferredServers);
	}

	all(query: RoutingQuery, now: number): readonly AgentHost[] {
		const servers = this._inReach(this._directory.groups(query.backend))
			.flatMap(group => group.members)
			.map(({host}) => host);
		return this._usable(servers, query, now);
	}

	load(server: string, now: number, customer?: string): ServerLoad {
		return this._table.load(server, now, customer);
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

	/** A dispatch got the start of its answer, or ended without one. */
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

	/** Takes note of a probe. Returns whether the server's dispatches are to be taken for lost. */
	noteProbe(server: string, hasSucceeded: boolean): boolean {
		return this._table.noteProbe(server, hasSucceeded);
	}

	/** Servers that are to be probed now. */
	takeDueProbes(now: number): readonly string[] {
		return this._table.takeDueProbes(now, probesAtOnce);
	}

	/** Time of the next probe, if any server is to be probed. */
	nextProbeAt(): number | undefined {
		return this._table.nextProbeAt();
	}

	/** Sizes of what the router remembers. */
	sizes(): {readonly servers: number; readonly subjects: number} {
		return {servers: this._table.size, subjects: this._preferences.size};
	}

	/** Entries divide the servers of a plain service among them; the servers of an adapter are the same for all. */
	private _preferenceKey(query: RoutingQuery): string {
		return query.backend.kind === 'service'
			? `${query.subject}/${this._options.entryId}`
			: query.subject;
	}

	/** The own region comes first. */
	private _inReach(groups: readonly ServerGroup[]): readonly ServerGroup[] {
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
				!this._table.isTurningWorkAway(host.id, now),
		);
		const ramped = inService.filter(host =>
			this._ramp.takes(query.subject, host, now),
		);
		return ramped.length > 0 ? ramped : inService;
	}
}
