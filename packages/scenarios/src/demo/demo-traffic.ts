import {parseRefusal, type CallResult} from '../harness/call-result.js';
import type {Caller} from '../harness/caller.js';
import {checkCompletion} from '../harness/check-completion.js';
import type {DemoFleet} from './demo-fleet.js';
import {
	getDepotAdapter,
	exampleRoutes,
	getTownshipAdapter,
	getWeights,
} from './example-document.js';
import {
	summarize,
	type CheckedResponse,
	type TrafficOutcome,
} from './traffic-group.js';

const adapterCount = 6;
const callsPerAdapter = 4;
const callCount = 10;

/** Sends all groups of the demo's traffic at once and checks each response. */
export async function runTraffic(
	demo: DemoFleet,
): Promise<readonly TrafficOutcome[]> {
	const {fleet, lakeshoreKey, prairieKey} = demo;
	const lakeshore = fleet.caller('entry-a', lakeshoreKey.secret);
	const prairie = fleet.caller('entry-b', prairieKey.secret);
	const groups = [
		sendCompletions(
			'dispatch notes, streamed',
			lakeshore,
			createNames(getTownshipAdapter),
			true,
		),
		sendCompletions(
			'rental answers, not streamed',
			prairie,
			createNames(getDepotAdapter),
			false,
		),
		sendSaltOrders(demo, lakeshore),
		sendStockChecks(prairie),
		sendRefusedCalls(demo, lakeshore, prairie),
	];
	return Promise.all(groups);
}

function createNames(nameOf: (number: number) => string): readonly string[] {
	return Array.from({length: adapterCount}, (_, i) => nameOf(i + 1));
}

async function sendCompletions(
	name: string,
	caller: Caller,
	adapters: readonly string[],
	isStreamed: boolean,
): Promise<TrafficOutcome> {
	const calls = adapters.flatMap(adapter =>
		Array.from({length: callsPerAdapter}, async (_, i) => {
			const prompt = `Notes for ${adapter}, number ${i}`;
			const result = await caller.complete({
				model: adapter,
				prompt,
				isStreamed,
			});
			const servedName = `${adapter}@v2`;
			const weights = getWeights(adapter, 'v2');
			return createCheckedResponse(
				result,
				checkCompletion(result, {servedName, weights, prompt}),
			);
		}),
	);
	return summarize(name, await Promise.all(calls));
}

/** Sends each order twice with the same idempotency key and checks that it ran exactly once. */
async function sendSaltOrders(
	demo: DemoFleet,
	caller: Caller,
): Promise<TrafficOutcome> {
	const responses = await Promise.all(
		Array.from({length: callCount}, async (_, i) => placeOrderTwice(caller, i)),
	);
	const runCounts = await countOrderRuns(demo);
	const wrong = Object.entries(runCounts).filter(([, count]) => count !== 1);
	const errors = wrong.map(([ref, count]) => `order ${ref} ran ${count} times`);
	const missing = callCount - Object.keys(runCounts).length;
	return summarize('salt orders, each sent twice', [
		...responses.flat(),
		...(errors.length > 0 || missing > 0
			? [{errors: [...errors, `${missing} orders missing`], durationMs: 0}]
			: []),
	]);
}

async function placeOrderTwice(
	caller: Caller,
	number: number,
): Promise<readonly CheckedResponse[]> {
	const order = {
		method: 'POST',
		path: `/services/${exampleRoutes.saltOrders}/orders`,
		headers: {'idempotency-key': `order-${number}`},
		body: {tons: 20, note: `ref=salt-${number}`},
	} as const;
	const first = await caller.call(order);
	const second = await caller.call(order);
	return [
		createCheckedResponse(first, checkStatus(first, 200)),
		createCheckedResponse(second, [
			...checkStatus(second, 200),
			...(second.text === first.text ? [] : ['the two responses differ']),
		]),
	];
}

async function countOrderRuns(
	demo: DemoFleet,
): Promise<Readonly<Record<string, number>>> {
	const desks = demo.fleet.backends.filter(({daemon}) =>
		daemon.id.startsWith('desk'),
	);
	const records = await Promise.all(
		desks.map(async ({standin}) => standin.record()),
	);
	const runCounts: Record<string, number> = {};
	for (const {runsByRef} of records) {
		for (const [ref, count] of Object.entries(runsByRef)) {
			runCounts[ref] = (runCounts[ref] ?? 0) + count;
		}
	}

	return runCounts;
}

async function sendStockChecks(caller: Caller): Promise<TrafficOutcome> {
	const path = `/services/${exampleRoutes.stockChecks}/depots/brandon`;
	const responses = await Promise.all(
		Array.from({length: callCount}, async () => {
			const result = await caller.call({path});
			return createCheckedResponse(result, checkStatus(result, 200));
		}),
	);
	return summarize('stock checks', responses);
}

/** Sends calls that must be refused, each with its status and a refusal that says "not run". */
async function sendRefusedCalls(
	demo: DemoFleet,
	lakeshore: Caller,
	prairie: Caller,
): Promise<TrafficOutcome> {
	const {fleet} = demo;
	const req = {model: getTownshipAdapter(1), prompt: 'must be refused'};
	const results = await Promise.all([
		checkRefusal(fleet.caller('entry-a').complete(req), 401),
		checkRefusal(fleet.caller('entry-b', 'wrong').complete(req), 401),
		checkRefusal(prairie.complete(req), 403),
		checkRefusal(lakeshore.complete({...req, model: 'no-such-model'}), 404),
	]);
	return summarize('calls that must be refused', results);
}

async function checkRefusal(
	call: Promise<CallResult>,
	status: number,
): Promise<CheckedResponse> {
	const result = await call;
	const errors = [...checkStatus(result, status)];
	if (errors.length === 0 && !parseRefusal(result).notRun) {
		errors.push(`the refusal with status ${status} does not say "not run"`);
	}

	return createCheckedResponse(result, errors);
}

function checkStatus(result: CallResult, status: number): readonly string[] {
	return result.status === status
		? []
		: [`status ${result.status ?? 'none'}, expected ${status}: ${result.text}`];
}

function createCheckedResponse(
	result: CallResult,
	errors: readonly string[],
): CheckedResponse {
	return {errors, durationMs: result.endedAt - result.sentAt};
}
