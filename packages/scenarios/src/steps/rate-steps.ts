import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import type {FleetWorld} from '../support/fleet-world.js';
import {findLargestExcess} from '../support/rate-window.js';
import {ringsideRate, stockCheckTokens} from '../support/scenario-document.js';

/** Maximum time from a stock check's token reservation to its start at the plain service, on a busy machine. */
const slackMs = 500;

Then(
	'{string} never got more than its rate and burst',
	async function (this: FleetWorld, customer: string) {
		assert.equal(customer, 'ringside');
		const spends = await getStockCheckSpends(this);
		const excess = findLargestExcess(spends, ringsideRate, slackMs);
		assert.equal(excess, undefined, JSON.stringify(excess));
	},
);

Then(
	'at least {int} stock checks of {string} ran',
	async function (this: FleetWorld, minCount: number, customer: string) {
		assert.equal(customer, 'ringside');
		const spends = await getStockCheckSpends(this);
		assert.ok(spends.length >= minCount, `${spends.length} stock checks ran`);
	},
);

/** Returns the tokens of each stock check that ran, at its start time on the plain service. */
async function getStockCheckSpends(world: FleetWorld) {
	const records = await world.readBackendRecords();
	return [...records.byBackend.values()].flatMap(({requests}) =>
		requests.map(({beganAt}) => ({at: beganAt, tokens: stockCheckTokens})),
	);
}
