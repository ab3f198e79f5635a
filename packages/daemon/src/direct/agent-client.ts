import {
	adapterKey,
	type AdapterLoadTimes,
	type FleetView,
	type EngineReport,
	type ServerState,
	type ServiceSpec,
} from '@balsamtray/core';
import type {GossipMessage, PrefillQuery} from '@balsamtray/protocol';
import {
	demandIntervalMs,
	idleDemandIntervalMs,
	relayTimeoutMs,
} from './constants.js';
import type {TurnReply} from './engine-turn.js';
import type {PendingQueriesOptions} from './pending-queries.js';
import type {Endpoint} from './types.js';

export type AgentClientOptions = {
	readonly fleet: FleetView;
	readonly loadTimes: AdapterLoadTimes;
	readonly clock: () => number;
	readonly serviceOf: (name: string) => ServiceSpec | undefined;
	readonly agentPort: number;
	/** Number of requests of this entry that wait for an adapter. */
	readonly waitingCount: (adapter: string) => number;
	/** Whether this entry relays the reports of the server's agent to its zone. */
	readonly isRelay: (server: string) => boolean;
	readonly send: (message: GossipMessage, to: Endpoint) => void;
	/** Called after a report, which may allow waiting requests to proceed. */
	readonly onReport: (server: string) => void;
	/** Called when a prefill query ends. */
	readonly onQueryEnded: PendingQueriesOptions['onEnded'];
	readonly onLost: (server: string, err: unknown) => void;
	readonly onRegained: (server: string, lostForMs: number) => void;
};

/** Exchanges messages with the agents: sends demands and prefill queries, and applies engine reports. */
export class AgentClient {
	static create(options: AgentClientOptions): AgentClient {
		return new AgentClient(options);
	}

	private readonly _lastReportAt = new Map<string, number>();
	private readonly _lastDemandAt = new Map<string, number>();
	/** Time of each server's last report, or the time at which it became known. */
	private readonly _silentSince = new Map<string, number>();
	private readonly _lostServers = new Set<string>();
	/** Prompts that wait for replies of agents, by `askId`. */
	private readonly _turns = new Map<number, (reply: TurnReply) => void>();
	/** Starts at random, so that a restarted process does not repeat the identifiers of its last queries. */
	private _nextAskId = Math.floor(Math.random() * 2 ** 31);
	private _timer: NodeJS.Timeout | undefined;

	private constructor(private readonly _options: AgentClientOptions) {}

	start(): void {
		this._timer = setInterval(() => {
			this._refreshDemands();
		}, demandIntervalMs);
	}

	dispose(): void {
		clearInterval(this._timer);
	}

	/**
	 * Registers a prompt that is to ask for its turn at an engine.
	 *
	 * @returns the `askId` of its queries; undefined if the agent has not been heard lately, so that asking is of no use
	 */
	openTurn(
		id: string,
		promptTokens: number,
		onReply: (reply: TurnReply) => void,
	): number | undefined {
		const {fleet, clock} = this._options;
		const server = fleet.server(id);
		if (!server?.hasFreshReport(clock())) {
			return undefined;
		}

		server.notePrompt(promptTokens, clock());
		const askId = this._nextAskId++;
		this._turns.set(askId, onReply);
		return askId;
	}

	closeTurn(askId: number): void {
		this._turns.delete(askId);
	}

	askTurn(id: string, query: PrefillQuery): void {
		this._sendTo(id, query);
	}

	/** Records how an ask for a turn ended, by its reply or by timeout. */
	onTurnAskEnded(outcome: 'answered' | 'silent', durationMs: number): void {
		this._options.onQueryEnded(outcome, durationMs);
	}

	/** Releases the place or the turn of a prompt that is not sent. */
	releasePrefill(id: string, promptTokens: number, askId: number): void {
		this._sendTo(id, {type: 'turnReturn', promptTokens, askId});
	}

	/** Tells the agent of a prompt that is sent although the agent did not reply. */
	noteSentWithoutTurn(id: string, askId: number, promptTokens: number): void {
		this._sendTo(id, {type: 'turnTaken', askId, promptTokens});
	}

	/** Tells the agent how long work takes on the engine's host, as a response of the engine says. */
	sendPace(id: string, slowdown: number): void {
		this._sendTo(id, {type: 'pace', server: id, slowdown});
	}

	/** Passes on a reply or a grant. Those for prompts that no longer wait are ignored. */
	onPrefillReply(askId: number, reply: TurnReply): void {
		this._turns.get(askId)?.(reply);
	}

	/** Sends a demand to one agent at once. */
	sendDemand(id: string): void {
		const server = this._options.fleet.server(id);
		if (server !== undefined) {
			this._sendDemandTo(server);
		}
	}

	onReport(id: string, report: EngineReport): void {
		const {fleet, loadTimes, clock, onReport, onRegained} = this._options;
		const now = clock();
		const server = fleet.server(id);
		if (server === undefined || fleet.isReplaced(server)) {
			return;
		}

		if (this._lostServers.delete(id)) {
			onRegained(id, now - (this._lastReportAt.get(id) ?? now));
		}

		this._lastReportAt.set(id, now);
		this._silentSince.set(id, now);
		fleet.noteReport(id, report, now);
		loadTimes.noteReport(id, report, now, {
			isCached: key => server.heldRecently(key),
			engines: fleet.engineCount(server.record.service),
		});
		onReport(id);
	}

	private _refreshDemands(): void {
		const {fleet, clock, onLost} = this._options;
		const now = clock();
		const known = new Set<string>();
		for (const server of fleet.servers()) {
			const {id} = server.record;
			known.add(id);
			if (!this._silentSince.has(id)) {
				this._silentSince.set(id, now);
			}

			if (fleet.isReplaced(server)) {
				continue;
			}

			if (this._isDemandDue(server, now)) {
				this._sendDemandTo(server);
			}

			if (
				this._lastReportAt.has(id) &&
				!server.hasFreshReport(now) &&
				!this._lostServers.has(id)
			) {
				this._lostServers.add(id);
				onLost(id, 'no report from its agent');
			}
		}

		for (const id of this._silentSince.keys()) {
			if (!known.has(id)) {
				this._silentSince.delete(id);
				this._lastReportAt.delete(id);
				this._lostServers.delete(id);
				this._lastDemandAt.delete(id);
			}
		}
	}

	/** A server without wanted adapters or running requests needs demands only to keep the reports coming. */
	private _isDemandDue(server: ServerState, now: number): boolean {
		const lastDemandAt =
			this._lastDemandAt.get(server.record.id) ?? Number.NEGATIVE_INFINITY;
		return (
			server.outstanding > 0 ||
			server.wants(now).length > 0 ||
			server.hasUnreportedUse ||
			(now - lastDemandAt >= idleDemandIntervalMs &&
				this._needsReports(server, now))
		);
	}

	/**
	 * Whether the agent has to send its reports to this entry: it relays them to its zone, waits for a load, or has none
	 * yet, or the zone's relay does not pass them on.
	 */
	private _needsReports(server: ServerState, now: number): boolean {
		const {id} = server.record;
		return (
			this._options.isRelay(id) ||
			server.wants(now).length > 0 ||
			!this._lastReportAt.has(id) ||
			now - (this._silentSince.get(id) ?? now) > relayTimeoutMs
		);
	}

	/** With each demand, an agent is told that its engine is leaving, as datagrams may be lost and agents may restart. */
	private _sendDemandTo(server: ServerState): void {
		const {fleet, serviceOf, send, clock, waitingCount} = this._options;
		const {id, service} = server.record;
		this._lastDemandAt.set(id, clock());
		const engine = serviceOf(service)?.engine;
		if (engine === undefined) {
			return;
		}

		const eventMs = server.takeEventMs();
		send(
			{
				type: 'demand',
				server: id,
				isSubscribing: this._needsReports(server, clock()),
				demand: {
					wants: server.wants(clock()).map(want => ({
						...want,
						waiting: waitingCount(adapterKey(want.model, want.adapter)),
					})),
					used: server.takeUsedAdapters(),
					models: engine.models.map(({name}) => name),
					adapterPlaces: engine.adapterPlaces,
					loads: fleet.pendingLoads(clock()),
					firstLoads: fleet.waitingFirstLoads(clock()),
					engines: fleet.engineCount(service),
					prefills: server.takePrefills(),
					...(eventMs !== undefined && {
						eventMs: Math.round(eventMs * 10) / 10,
					}),
				},
			},
			this._agentEndpoint(server),
		);
		if (fleet.isLeaving(id)) {
			send(
				{type: 'leaving', server: id, born: server.born},
				this._agentEndpoint(server),
			);
		}
	}

	private _sendTo(id: string, message: GossipMessage): void {
		const server = this._options.fleet.server(id);
		if (server !== undefined) {
			this._options.send(message, this._agentEndpoint(server));
		}
	}

	/** An agent runs on the host of its engine. */
	private _agentEndpoint({record: {address}}: ServerState): Endpoint {
		return {
			host: address.slice(0, address.lastIndexOf(':')),
			port: this._options.agentPort,
		};
	}
}
