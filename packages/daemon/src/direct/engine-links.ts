import {
	adapterKey,
	type FleetView,
	type EngineReport,
	type ServerState,
	type ServiceSpec,
} from '@balsamtray/core';
import type {GossipMessage} from '@balsamtray/protocol';
import {
	demandIntervalMs,
	quietDemandIntervalMs,
	turnTimeoutMs,
} from './constants.js';
import {OpenAsks, type OpenAsksOptions} from './open-asks.js';
import type {Endpoint} from './types.js';

export type EngineLinksOptions = {
	readonly fleet: FleetView;
	readonly clock: () => number;
	readonly serviceOf: (name: string) => ServiceSpec | undefined;
	readonly agentPort: number;
	/** Requests of this entry that wait for an adapter. */
	readonly waitingFor: (adapter: string) => number;
	readonly send: (message: GossipMessage, to: Endpoint) => void;
	/** A report came, which may let waiting requests go on. */
	readonly onReport: () => void;
	/** A question about a prompt's turn ended. */
	readonly onAsked: OpenAsksOptions['onTimed'];
	readonly onLost: (server: string, err: unknown) => void;
	readonly onRegained: (server: string, lostForMs: number) => void;
};

/** Tells the agents beside the engines what this entry wants of them, and takes in their reports. */
export class EngineLinks {
	static create(options: EngineLinksOptions): EngineLinks {
		return new EngineLinks(options);
	}

	private readonly _reportedAt = new Map<string, number>();
	private readonly _demandedAt = new Map<string, number>();
	private readonly _lost = new Set<string>();
	private readonly _turns: OpenAsks<number>;
	private _timer: NodeJS.Timeout | undefined;

	private constructor(private readonly _options: EngineLinksOptions) {
		const {clock, onAsked} = _options;
		this._turns = OpenAsks.create({
			timeoutMs: turnTimeoutMs,
			clock,
			onTimed: onAsked,
		});
	}

	start(): void {
		this._timer = setInterval(() => {
			this._demandOfAll();
		}, demandIntervalMs);
	}

	dispose(): void {
		clearInterval(this._timer);
	}

	/**
	 * Takes the turn of a prompt at an engine. Resolves with the time after which it may be sent, in milliseconds: 0
	 * where no agent answers, as an engine without its agent still serves.
	 */
	async takeTurn(id: string, promptTokens: number): Promise<number> {
		const {fleet, clock, send} = this._options;
		const server = fleet.server(id);
		if (!server?.hasFreshReport(clock())) {
			return 0;
		}

		server.notePrompt(promptTokens, clock());
		const delayMs = await this._turns.ask(askId => {
			send({type: 'turnAsk', askId, promptTokens}, this._agentOf(server));
		});
		return delayMs ?? 0;
	}

	/** Gives back the turn of a prompt that is not sent. */
	returnTurn(id: string, promptTokens: number): void {
		const server = this._options.fleet.server(id);
		if (server !== undefined) {
			this._options.send(
				{type: 'turnReturn', promptTokens},
				this._agentOf(server),
			);
		}
	}

	onTurnAnswer(askId: number, delayMs: number): void {
		this._turns.settle(askId, delayMs);
	}

	/** Tells one agent at once. */
	demandOf(id: string): void {
		const server = this._options.fleet.server(id);
		if (server !== undefined) {
			this._demand(server);
		}
	}

	onReport(id: string, report: EngineReport): void {
		const {fleet, clock, onReport, onRegained} = this._options;
		const now = clock();
		const server = fleet.server(id);
		if (server === undefined || fleet.isReplaced(server)) {
			return;
		}

		if (this._lost.delete(id)) {
			onRegained(id, now - (this._reportedAt.get(id) ?? now));
		}

		this._reportedAt.set(id, now);
		fleet.noteReport(id, report, now);
		onReport();
	}

	private _demandOfAll(): void {
		const {fleet, clock, onLost} = this._options;
		const now = clock();
		const known = new Set<string>();
		for (const server of fleet.servers()) {
			const {id} = server.record;
			known.add(id);
			if (fleet.isReplaced(server)) {
				continue;
			}

			if (this._isDemandDue(server, now)) {
				this._demand(server);
			}

			if (
				this._reportedAt.has(id) &&
				!server.hasFreshReport(now) &&
				!this._lost.has(id)
			) {
				this._lost.add(id);
				onLost(id, 'no report of its agent');
			}
		}

		for (const id of this._reportedAt.keys()) {
			if (!known.has(id)) {
				this._reportedAt.delete(id);
				this._lost.delete(id);
				this._demandedAt.delete(id);
			}
		}
	}

	/** Without wants and uses a demand only keeps the reports coming. */
	private _isDemandDue(server: ServerState, now: number): boolean {
		const demandedAt =
			this._demandedAt.get(server.record.id) ?? Number.NEGATIVE_INFINITY;
		return (
			server.outstanding > 0 ||
			server.wants(now).length > 0 ||
			now - demandedAt >= quietDemandIntervalMs
		);
	}

	private _demand(server: ServerState): void {
		const {fleet, serviceOf, send, clock, waitingFor} = this._options;
		const {id, service} = server.record;
		this._demandedAt.set(id, clock());
		const engine = serviceOf(service)?.engine;
		if (engine === undefined) {
			return;
		}

		send(
			{
				type: 'demand',
				server: id,
				demand: {
					wants: server.wants(clock()).map(want => ({
						...want,
						waiting: waitingFor(adapterKey(want.model, want.adapter)),
					})),
					used: server.takeUsedAdapters(),
					models: engine.models.map(({name}) => name),
					adapterPlaces: engine.adapterPlaces,
					loads: fleet.pendingLoads(clock()),
					engines: fleet.engineCount(service),
				},
			},
			this._agentOf(server),
		);
	}

	/** An agent is on its engine's host. */
	private _agentOf({record: {address}}: ServerState): Endpoint {
		return {
			host: address.slice(0, address.lastIndexOf(':')),
			port: this._options.agentPort,
		};
	}
}
