import type {DemoFleet} from './demo-fleet.js';
import {exampleRoutes, getTownshipAdapter} from './example-document.js';
import type {TrafficOutcome} from './traffic-group.js';

const nameWidth = 32;
const numberWidth = 10;

/** Formats a table of the traffic groups, followed by the errors. */
export function formatOutcomes(outcomes: readonly TrafficOutcome[]): string {
	const head = formatRow('traffic', 'sent', 'correct', 'median ms');
	const rows = outcomes.map(({name, sent, correct, medianMs}) =>
		formatRow(name, String(sent), String(correct), String(medianMs)),
	);
	const errors = outcomes.flatMap(outcome =>
		outcome.errors.map(error => `${outcome.name}: ${error}`),
	);
	return [head, ...rows, ...errors].join('\n');
}

/** Formats the addresses of the fleet and example requests to send by hand. */
export function formatAddresses(demo: DemoFleet): string {
	const {fleet, lakeshoreKey} = demo;
	const [entry] = fleet.entries;
	const lines = [
		...fleet.entries.map(
			({daemon, url, operatorUrl}) =>
				`${daemon.id}: callers ${url}, operators ${operatorUrl}`,
		),
		...fleet.backends.map(
			({daemon, standin}) => `${daemon.id}: backend ${standin.url}`,
		),
		'',
		'Try:',
		`curl ${entry?.url}/v1/chat/completions -H 'Authorization: Bearer ${lakeshoreKey.secret}' \\`,
		`  -H 'Content-Type: application/json' -d '{"model":"${getTownshipAdapter(1)}","messages":[{"role":"user","content":"Which roads first?"}]}'`,
		`curl ${entry?.url}/services/${exampleRoutes.stockChecks}/depots/brandon -H 'Authorization: Bearer ${lakeshoreKey.secret}'`,
	];
	return lines.join('\n');
}

function formatRow(name: string, ...numbers: readonly string[]): string {
	const cells = numbers.map(number => number.padStart(numberWidth));
	return `${name.padEnd(nameWidth)}${cells.join('')}`;
}
