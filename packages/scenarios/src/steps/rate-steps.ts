import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import type {FleetWorld} from '../support/fleet-world.js';
import {worstExcess} from '../support/rate-window.js';
import {ringsideRate, stockCheckTokens} from '../support/scenario-document.js';

/** Time that a stock check may take from its reservation to its start at the plain service, on a busy machine. */
const slackMs = 500;

Then(
	'{string} never got more than its rate and burst',
	async function (this: FleetWorld, customer: string) {
		assert.equal(customer, 'ringside');
		const spends = await spendsOf(this);
		const excess = worstExcess(spends, ringsideRate, slackMs);
		assert.equal(excess, undefined, JSON.stringify(excess));
	},
);

Then(
	'at least {int} stock checks of {string} ran',
	async function (this: FleetWorld, least: number, customer: string) {
		assert.equal(customer, 'ringside');
		const spends = await spendsOf(this);
		assert.ok(spends.length >= least, `${spends.length} stock checks ran`);
	},
);

/** What the stock checks that ran cost, at the time at which the plain services began them. */
async function spendsOf(world: FleetWorld) {
	const truth = await world.groundTruth();
	return [...truth.records.values()].flatMap(({requests}) =>
		requests.map(({beganAt}) => ({at: beganAt, tokens: stockCheckTokens})),
	);
}
