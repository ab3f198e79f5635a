import {Fleet} from '../harness/fleet.js';
import type {FleetPlan} from '../harness/fleet-options.js';
import type {IssuedKey} from '../harness/operator.js';
import {resetFleet} from './fleet-reset.js';
import {Balancer} from './balancer.js';
import {createScenarioDocument} from './scenario-document.js';

/** A fleet with the scenarios' document applied, and the keys issued so far by customer. */
export type PreparedFleet = {
	readonly fleet: Fleet;
	readonly keys: Map<string, IssuedKey>;
	readonly balancer: Balancer;
};

/** Reuses one fleet across scenarios that need the same plan, as long as it can be reset between them. */
export class FleetPool {
	static create(): FleetPool {
		return new FleetPool();
	}

	private _planJson: string | undefined;
	private _prepared: PreparedFleet | undefined;

	private constructor() {
		this._planJson = undefined;
	}

	/** Returns a fleet for the plan: the pooled one if its plan is the same, else a new one. */
	async acquire(plan: FleetPlan): Promise<PreparedFleet> {
		const planJson = JSON.stringify(plan);
		if (this._prepared !== undefined && this._planJson === planJson) {
			return this._prepared;
		}

		await this.discard();
		const fleet = await Fleet.create(plan);
		this._planJson = planJson;
		const balancer = Balancer.create(fleet);
		this._prepared = {fleet, keys: new Map(), balancer};
		await fleet.applyDocument(createScenarioDocument());
		await balancer.start();
		return this._prepared;
	}

	/** Undoes a scenario's changes to the pooled fleet. Discards the fleet if that fails. */
	async reset(): Promise<void> {
		try {
			if (this._prepared !== undefined) {
				await resetFleet(this._prepared.fleet);
			}
		} catch {
			await this.discard();
		}
	}

	/** Stops the pooled fleet. */
	async discard(): Promise<void> {
		const prepared = this._prepared;
		this._prepared = undefined;
		prepared?.balancer.stop();
		await prepared?.fleet.stop();
	}
}
