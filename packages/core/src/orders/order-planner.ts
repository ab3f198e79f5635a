import {adapterKey} from '../authority/authority-view.js';
import {maxPendingAdapters} from '../placement/constants.js';
import type {AdapterWant, EngineReport} from '../placement/types.js';
import {
	acceptedLoadMs,
	doubtMs,
	evictionQuietMs,
	wantLifetimeMs,
} from './constants.js';

/** An order to an engine, with the count of accepted orders at which it is valid. */
export type EngineOrder = {
	readonly operation: 'load' | 'unload';
	readonly model: string;
	/** Absent for an order that concerns the model itself. */
	readonly adapter: string | undefined;
	/** Version to load; absent for the newest. */
	readonly version: number | undefined;
	readonly expectedSequence: number;
};

/** What became of an order. */
export type OrderOutcome =
	| 'accepted'
	| 'alreadyHolds'
	| 'refused'
	/** No answer: the order may be carried out, also later. */
	| 'unknown';

/** What entries tell of the engine that they want to use. */
export type EngineDemand = {
	readonly wants: readonly AdapterWant[];
	/** Adapters in use, by `adapterKey`. */
	readonly used: readonly string[];
	/** Models that the service is to hold. */
	readonly models: readonly string[];
	readonly adapterPlaces: number;
};

type Want = {
	readonly want: AdapterWant;
	readonly firstAt: number;
	readonly lastAt: number;
};

type Doubt = {
	readonly order: EngineOrder;
	readonly born: number;
	readonly until: number;
};

/** Decides the orders to one engine, of which it is the only giver. */
export class OrderPlanner {
	static create(): OrderPlanner {
		return new OrderPlanner();
	}

	private readonly _wants = new Map<string, Want>();
	private readonly _usedAt = new Map<string, number>();
	private _models: readonly string[] = [];
	private _places = 0;
	private _doubts: Doubt[] = [];
	/** Times of accepted loads that the report does not show yet, by adapter. */
	private readonly _accepted = new Map<string, number>();

	private constructor() {}

	/** Whether anything is wanted that the engine does not hold yet. */
	get hasWants(): boolean {
		return this._wants.size > 0;
	}

	noteDemand(demand: EngineDemand, now: number): void {
		this._models = demand.models;
		this._places = demand.adapterPlaces;
		for (const want of demand.wants) {
			const key = adapterKey(want.model, want.adapter);
			const firstAt = this._wants.get(key)?.firstAt ?? now;
			this._wants.set(key, {want, firstAt, lastAt: now});
		}

		for (const key of demand.used) {
			this._usedAt.set(key, now);
		}
	}

	noteOutcome(
		order: EngineOrder,
		outcome: OrderOutcome,
		born: number,
		now: number,
	): void {
		if (outcome === 'unknown') {
			this._doubts.push({order, born, until: now + doubtMs});
		}

		if (outcome === 'accepted' && order.operation === 'load') {
			this._usedAt.set(keyOf(order), now);
			this._accepted.set(keyOf(order), now);
		}
	}

	/** The next order, undefined where nothing is to be done. */
	plan(report: EngineReport, now: number): EngineOrder | undefined {
		this._forget(report, now);
		const model = this._missingModel(report);
		if (model !== undefined) {
			return report.isBusy || report.models.length > 0
				? undefined
				: order('load', {model}, report);
		}

		for (const {want} of this._openWants(report)) {
			const planned = this._planWant(want, report, now);
			if (planned !== undefined) {
				return planned;
			}
		}

		return undefined;
	}

	private _missingModel(report: EngineReport): string | undefined {
		return this._models.find(
			model => !report.models.some(({name}) => name === model),
		);
	}

	private _openWants(report: EngineReport): readonly Want[] {
		for (const [key, {want}] of this._wants) {
			if (holds(report, want)) {
				this._wants.delete(key);
				this._accepted.delete(key);
			}
		}

		return [...this._wants.values()]
			.filter(
				({want}) =>
					report.models.some(({name}) => name === want.model) &&
					!this._accepted.has(adapterKey(want.model, want.adapter)) &&
					!isPending(report, want),
			)
			.toSorted((a, b) => a.firstAt - b.firstAt);
	}

	private _planWant(
		want: AdapterWant,
		report: EngineReport,
		now: number,
	): EngineOrder | undefined {
		if (report.pending.length >= maxPendingAdapters) {
			return undefined;
		}

		const taken =
			residentKeys(report).length +
			report.pending.length +
			this._doubtfulLoads();
		if (taken < this._places) {
			// Without a version the engine loads the newest, which may be newer than the one that entries know.
			const {model, adapter} = want;
			const isReplacement = residentKeys(report).some(
				held => held.model === model && held.adapter === adapter,
			);
			return order('load', isReplacement ? want : {model, adapter}, report);
		}

		const victim = this._leastRecentlyUsed(report, now);
		return victim === undefined ? undefined : order('unload', victim, report);
	}

	private _leastRecentlyUsed(
		report: EngineReport,
		now: number,
	): {readonly model: string; readonly adapter: string} | undefined {
		const [victim] = residentKeys(report)
			.map(held => ({
				...held,
				usedAt:
					this._usedAt.get(adapterKey(held.model, held.adapter)) ??
					Number.NEGATIVE_INFINITY,
			}))
			.filter(
				({model, adapter, usedAt}) =>
					now - usedAt >= evictionQuietMs &&
					!this._wants.has(adapterKey(model, adapter)),
			)
			.toSorted((a, b) => a.usedAt - b.usedAt);
		return victim;
	}

	/** Loads without an answer that may still take a place. */
	private _doubtfulLoads(): number {
		return this._doubts.filter(
			({order: {operation, adapter}}) =>
				operation === 'load' && adapter !== undefined,
		).length;
	}

	private _forget(report: EngineReport, now: number): void {
		for (const [key, {lastAt}] of this._wants) {
			if (now - lastAt >= wantLifetimeMs) {
				this._wants.delete(key);
			}
		}

		for (const [key, at] of this._accepted) {
			if (now - at >= acceptedLoadMs) {
				this._accepted.delete(key);
			}
		}

		// The engine accepted another order at the same count, so that the doubtful one is void.
		this._doubts = this._doubts.filter(
			doubt =>
				now < doubt.until &&
				!(
					doubt.born === report.born &&
					report.sequence > doubt.order.expectedSequence
				),
		);
	}
}

function order(
	operation: 'load' | 'unload',
	target: {
		readonly model: string;
		readonly adapter?: string;
		readonly version?: number;
	},
	report: EngineReport,
): EngineOrder {
	const {model, adapter, version} = target;
	return {
		operation,
		model,
		adapter,
		version:
			operation === 'load' && version !== undefined && version > 0
				? version
				: undefined,
		expectedSequence: report.sequence,
	};
}

function keyOf({model, adapter}: EngineOrder): string {
	return adapterKey(model, adapter ?? '');
}

function residentKeys(
	report: EngineReport,
): ReadonlyArray<{readonly model: string; readonly adapter: string}> {
	return report.models.flatMap(({name, adapters}) =>
		Object.keys(adapters).map(adapter => ({model: name, adapter})),
	);
}

function holds(report: EngineReport, want: AdapterWant): boolean {
	const held = report.models.find(({name}) => name === want.model)?.adapters[
		want.adapter
	];
	return held !== undefined && held >= want.version;
}

function isPending(report: EngineReport, want: AdapterWant): boolean {
	return report.pending.some(
		({model, adapter}) => model === want.model && adapter === want.adapter,
	);
}
