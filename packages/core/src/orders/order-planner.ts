import {adapterKey} from '../authority/authority-view.js';
import {maxPendingAdapters} from '../placement/constants.js';
import type {AdapterWant, EngineReport} from '../placement/types.js';
import {
	acceptedLoadMs,
	busyLoadsPerEngine,
	doubtMs,
	evictionQuietMs,
	keptAdapters,
} from './constants.js';
import {WantQueue} from './want-queue.js';

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
	/** Loads under way over all engines, and the engines, as the entry knows them. */
	readonly loads?: number;
	readonly engines?: number;
};

/** A load that the engine accepted and does not show yet. */
type AcceptedLoad = {
	readonly at: number;
	/** Version that was ordered; undefined for the newest. */
	readonly version: number | undefined;
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

	private readonly _wants = WantQueue.create();
	private readonly _kept = new Map<string, true>();
	private _keptBorn = 0;
	private _isStoreBusy = false;
	private readonly _usedAt = new Map<string, number>();
	private _models: readonly string[] = [];
	private _places = 0;
	private _doubts: Doubt[] = [];
	private readonly _accepted = new Map<string, AcceptedLoad>();

	private constructor() {}

	/** Whether anything is wanted that the engine does not hold yet. */
	get hasWants(): boolean {
		return this._wants.size > 0;
	}

	/** @param from the entry that demands */
	noteDemand(demand: EngineDemand, from: string, now: number): void {
		const {models, adapterPlaces, wants, used, loads = 0, engines = 1} = demand;
		this._models = models;
		this._places = adapterPlaces;
		this._isStoreBusy = loads >= engines * busyLoadsPerEngine;
		for (const want of wants) {
			this._wants.note(want, from, now);
		}

		for (const key of used) {
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
			this._accepted.set(keyOf(order), {at: now, version: order.version});
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

		for (const want of this._openWants(report)) {
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

	/** Wants that may be ordered now: adapters that the engine has at hand first, as they cost the store nothing. */
	private _openWants(report: EngineReport): readonly AdapterWant[] {
		const open = this._wants
			.ordered()
			.filter(
				want =>
					report.models.some(({name}) => name === want.model) &&
					!this._accepted.has(wantKey(want)) &&
					!isPending(report, want),
			);
		const atHand = open.filter(want => this._kept.has(wantKey(want)));
		const fetched = open.filter(want => !this._kept.has(wantKey(want)));
		return this._isStoreBusy && report.pending.length > 0
			? atHand
			: [...atHand, ...fetched];
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

	/** Remembers which adapters the engine held since its start, the latest last. */
	private _noteKept(report: EngineReport): void {
		if (report.born !== this._keptBorn) {
			this._keptBorn = report.born;
			this._kept.clear();
		}

		for (const {model, adapter} of residentKeys(report)) {
			const key = adapterKey(model, adapter);
			this._kept.delete(key);
			this._kept.set(key, true);
		}

		for (const key of this._kept.keys()) {
			if (this._kept.size <= keptAdapters) {
				return;
			}

			this._kept.delete(key);
		}
	}

	/** Loads without an answer that may still take a place. */
	private _doubtfulLoads(): number {
		return this._doubts.filter(
			({order: {operation, adapter}}) =>
				operation === 'load' && adapter !== undefined,
		).length;
	}

	private _forget(report: EngineReport, now: number): void {
		this._wants.forget(want => holds(report, want), now);
		this._noteKept(report);
		for (const [key, {at, version = 0}] of this._accepted) {
			const [model = '', adapter = ''] = key.split('/');
			const isShown = holds(report, {model, adapter, version});
			if (isShown || now - at >= acceptedLoadMs) {
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

function wantKey({model, adapter}: AdapterWant): string {
	return adapterKey(model, adapter);
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
