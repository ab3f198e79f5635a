import type {
	FleetView,
	EngineReport,
	ServerState,
	ServiceSpec,
} from '@balsamtray/core';
import type {DemandMessage} from '@balsamtray/protocol';
import {demandIntervalMs, quietDemandIntervalMs} from './constants.js';
import type {Endpoint} from './types.js';

export type EngineLinksOptions = {
	readonly fleet: FleetView;
	readonly clock: () => number;
	readonly serviceOf: (name: string) => ServiceSpec | undefined;
	readonly agentPort: number;
	readonly send: (message: DemandMessage, to: Endpoint) => void;
	/** A report came, which may let waiting requests go on. */
	readonly onReport: () => void;
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
	private _timer: NodeJS.Timeout | undefined;

	private constructor(private readonly _options: EngineLinksOptions) {}

	start(): void {
		this._timer = setInterval(() => {
			this._demandOfAll();
		}, demandIntervalMs);
	}

	dispose(): void {
		clearInterval(this._timer);
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
		const {serviceOf, send, agentPort, clock} = this._options;
		const {id, service, address} = server.record;
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
					wants: server.wants(clock()),
					used: server.takeUsedAdapters(),
					models: engine.models.map(({name}) => name),
					adapterPlaces: engine.adapterPlaces,
				},
			},
			{host: address.slice(0, address.lastIndexOf(':')), port: agentPort},
		);
	}
}
