import {refusalOf, type CallResult} from '../harness/call-result.js';
import type {Caller} from '../harness/caller.js';
import {faultsOfCompletion} from '../harness/check-completion.js';
import type {DemoFleet} from './demo-fleet.js';
import {
	depotAdapter,
	exampleRoutes,
	townshipAdapter,
	weightsOf,
} from './example-document.js';
import {
	summarize,
	type CheckedAnswer,
	type TrafficOutcome,
} from './traffic-group.js';

const adaptersAsked = 6;
const callsOfEach = 4;
const orders = 10;

/** Sends every kind of the demo's traffic and checks each answer. */
export async function runTraffic(
	demo: DemoFleet,
): Promise<readonly TrafficOutcome[]> {
	const {fleet, lakeshoreKey, prairieKey} = demo;
	const lakeshore = fleet.caller('entry-a', lakeshoreKey.secret);
	const prairie = fleet.caller('entry-b', prairieKey.secret);
	const groups = [
		completions(
			'dispatch notes, streamed',
			lakeshore,
			names(townshipAdapter),
			true,
		),
		completions('rental answers, whole', prairie, names(depotAdapter), false),
		saltOrders(demo, lakeshore),
		stockChecks(prairie),
		refusals(demo, lakeshore, prairie),
	];
	return Promise.all(groups);
}

function names(nameOf: (number: number) => string): readonly string[] {
	return Array.from({length: adaptersAsked}, (_, i) => nameOf(i + 1));
}

async function completions(
	name: string,
	caller: Caller,
	adapters: readonly string[],
	isStreamed: boolean,
): Promise<TrafficOutcome> {
	const calls = adapters.flatMap(adapter =>
		Array.from({length: callsOfEach}, async (_, i) => {
			const prompt = `Notes for ${adapter}, number ${i}`;
			const result = await caller.complete({
				model: adapter,
				prompt,
				isStreamed,
			});
			const servedName = `${adapter}@v2`;
			const weights = weightsOf(adapter, 'v2');
			return checked(
				result,
				faultsOfCompletion(result, {servedName, weights, prompt}),
			);
		}),
	);
	return summarize(name, await Promise.all(calls));
}

/** Each order is sent twice with the same idempotency key, and must land once. */
async function saltOrders(
	demo: DemoFleet,
	caller: Caller,
): Promise<TrafficOutcome> {
	const answers = await Promise.all(
		Array.from({length: orders}, async (_, i) => placeOrderTwice(caller, i)),
	);
	const landings = await countLandings(demo);
	const wrong = Object.entries(landings).filter(([, count]) => count !== 1);
	const faults = wrong.map(
		([ref, count]) => `order ${ref} landed ${count} times`,
	);
	const missing = orders - Object.keys(landings).length;
	return summarize('salt orders, each sent twice', [
		...answers.flat(),
		...(faults.length > 0 || missing > 0
			? [{faults: [...faults, `${missing} orders missing`], durationMs: 0}]
			: []),
	]);
}

async function placeOrderTwice(
	caller: Caller,
	number: number,
): Promise<readonly CheckedAnswer[]> {
	const order = {
		method: 'POST',
		path: `/services/${exampleRoutes.saltOrders}/orders`,
		headers: {'idempotency-key': `order-${number}`},
		body: {tons: 20, note: `ref=salt-${number}`},
	} as const;
	const first = await caller.call(order);
	const second = await caller.call(order);
	return [
		checked(first, faultsOfStatus(first, 200)),
		checked(second, [
			...faultsOfStatus(second, 200),
			...(second.text === first.text ? [] : ['the answers differ']),
		]),
	];
}

async function countLandings(
	demo: DemoFleet,
): Promise<Readonly<Record<string, number>>> {
	const desks = demo.fleet.backends.filter(({daemon}) =>
		daemon.id.startsWith('desk'),
	);
	const records = await Promise.all(
		desks.map(async ({standin}) => standin.record()),
	);
	const landings: Record<string, number> = {};
	for (const {runsByRef} of records) {
		for (const [ref, count] of Object.entries(runsByRef)) {
			landings[ref] = (landings[ref] ?? 0) + count;
		}
	}

	return landings;
}

async function stockChecks(caller: Caller): Promise<TrafficOutcome> {
	const path = `/services/${exampleRoutes.stockChecks}/depots/brandon`;
	const answers = await Promise.all(
		Array.from({length: orders}, async () => {
			const result = await caller.call({path});
			return checked(result, faultsOfStatus(result, 200));
		}),
	);
	return summarize('stock checks', answers);
}

/** Calls that must be refused, each with its status and a truthful "not run". */
async function refusals(
	demo: DemoFleet,
	lakeshore: Caller,
	prairie: Caller,
): Promise<TrafficOutcome> {
	const {fleet} = demo;
	const ask = {model: townshipAdapter(1), prompt: 'must be refused'};
	const results = await Promise.all([
		refusedWith(fleet.caller('entry-a').complete(ask), 401),
		refusedWith(fleet.caller('entry-b', 'wrong').complete(ask), 401),
		refusedWith(prairie.complete(ask), 403),
		refusedWith(lakeshore.complete({...ask, model: 'no-such-model'}), 404),
	]);
	return summarize('refusals as they should be', results);
}

async function refusedWith(
	call: Promise<CallResult>,
	status: number,
): Promise<CheckedAnswer> {
	const result = await call;
	const faults = [...faultsOfStatus(result, status)];
	if (faults.length === 0 && !refusalOf(result).notRun) {
		faults.push(`a refusal with ${status} does not say "not run"`);
	}

	return checked(result, faults);
}

function faultsOfStatus(result: CallResult, status: number): readonly string[] {
	return result.status === status
		? []
		: [
				`status ${result.status ?? 'none'} in place of ${status}: ${result.text}`,
			];
}

function checked(result: CallResult, faults: readonly string[]): CheckedAnswer {
	return {faults, durationMs: result.endedAt - result.sentAt};
}
