import {Fleet} from '../harness/fleet.js';
import type {FleetPlan} from '../harness/fleet-options.js';
import type {IssuedKey} from '../harness/operator.js';
import {repairFleet} from './fleet-reset.js';
import {Balancer} from './balancer.js';
import {scenarioDocument} from './scenario-document.js';

/** A fleet that runs the scenarios' document, with the keys issued so far. */
export type PreparedFleet = {
	readonly fleet: Fleet;
	readonly keys: Map<string, IssuedKey>;
	readonly balancer: Balancer;
};

/** Keeps one fleet from one scenario to the next, where the next wants the same and the last left it unharmed. */
export class FleetPool {
	static create(): FleetPool {
		return new FleetPool();
	}

	private _planText: string | undefined;
	private _prepared: PreparedFleet | undefined;

	private constructor() {
		this._planText = undefined;
	}

	/** Gives out a fleet of this plan, the kept one if it fits. */
	async take(plan: FleetPlan): Promise<PreparedFleet> {
		const planText = JSON.stringify(plan);
		if (this._prepared !== undefined && this._planText === planText) {
			return this._prepared;
		}

		await this.discard();
		const fleet = await Fleet.create(plan);
		this._planText = planText;
		const balancer = Balancer.create(fleet);
		this._prepared = {fleet, keys: new Map(), balancer};
		await fleet.applyDocument(scenarioDocument());
		await balancer.start();
		return this._prepared;
	}

	/** Undoes what a scenario did to the kept fleet. Stops it where that fails. */
	async repair(): Promise<void> {
		try {
			if (this._prepared !== undefined) {
				await repairFleet(this._prepared.fleet);
			}
		} catch {
			await this.discard();
		}
	}

	/** Stops the kept fleet. */
	async discard(): Promise<void> {
		const prepared = this._prepared;
		this._prepared = undefined;
		prepared?.balancer.stop();
		await prepared?.fleet.stop();
	}
}
