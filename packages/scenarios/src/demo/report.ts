import type {DemoFleet} from './demo-fleet.js';
import {exampleRoutes, townshipAdapter} from './example-document.js';
import type {TrafficOutcome} from './traffic-group.js';

const nameWidth = 32;
const numberWidth = 10;

/** The table of what happened. */
export function formatOutcomes(outcomes: readonly TrafficOutcome[]): string {
	const head = formatRow('traffic', 'sent', 'right', 'median ms');
	const rows = outcomes.map(({name, sent, right, medianMs}) =>
		formatRow(name, String(sent), String(right), String(medianMs)),
	);
	const faults = outcomes.flatMap(outcome =>
		outcome.faults.map(fault => `${outcome.name}: ${fault}`),
	);
	return [head, ...rows, ...faults].join('\n');
}

/** Addresses and a first request to try by hand. */
export function formatAddresses(demo: DemoFleet): string {
	const {fleet, lakeshoreKey} = demo;
	const [entry] = fleet.entries;
	const lines = [
		...fleet.entries.map(
			({daemon, url, operatorUrl}) =>
				`${daemon.id}: callers ${url}, operators ${operatorUrl}`,
		),
		...fleet.backends.map(
			({daemon, standin}) => `${daemon.id}: back end ${standin.url}`,
		),
		'',
		'Try:',
		`curl ${entry?.url}/v1/chat/completions -H 'Authorization: Bearer ${lakeshoreKey.secret}' \\`,
		`  -H 'Content-Type: application/json' -d '{"model":"${townshipAdapter(1)}","messages":[{"role":"user","content":"Which roads first?"}]}'`,
		`curl ${entry?.url}/services/${exampleRoutes.stockChecks}/depots/brandon -H 'Authorization: Bearer ${lakeshoreKey.secret}'`,
	];
	return lines.join('\n');
}

function formatRow(name: string, ...numbers: readonly string[]): string {
	const cells = numbers.map(number => number.padStart(numberWidth));
	return `${name.padEnd(nameWidth)}${cells.join('')}`;
}
