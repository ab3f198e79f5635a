import {When} from '@cucumber/cucumber';
import type {FleetWorld, ModelRequest} from '../support/fleet-world.js';
import {Traffic} from '../support/traffic.js';

/** Several adapters, so that every engine gets requests. */
const mixedAdapters = [
	'shared',
	'salt',
	'winter-1',
	'winter-2',
	'winter-3',
	'winter-4',
];

When(
	'{string} sends {int} streamed and {int} whole requests for {string} at once',
	async function (
		this: FleetWorld,
		customer: string,
		streamed: number,
		notStreamed: number,
		model: string,
	) {
		const requests = Array.from({length: streamed + notStreamed}, (_, i) => ({
			customer,
			model,
			isStreamed: i < streamed,
		}));
		await callAll(this, requests);
	},
);

When(
	'{string} sends {int} requests for {string} at once with a deadline of {int} ms',
	async function (
		this: FleetWorld,
		customer: string,
		count: number,
		model: string,
		deadlineMs: number,
	) {
		const requests = Array.from({length: count}, () => ({
			customer,
			model,
			deadlineMs,
			maxTokens: 30,
			isStreamed: false,
		}));
		await callAll(this, requests);
	},
);

When(
	'{string} sends the same request with the text {string} for {string} {int} times, one after the other',
	async function (
		this: FleetWorld,
		customer: string,
		text: string,
		model: string,
		count: number,
	) {
		// The prompt contains the reference, so all requests have the same body.
		const ref = this.getOrCreateLabelledRef(text);
		for (let i = 0; i < count; i++) {
			// The caller repeats the request after each response.
			// eslint-disable-next-line no-await-in-loop
			await callAll(this, [{customer, model, text, ref, isStreamed: false}]);
		}
	},
);

When(
	'{string} asks each of {names} {int} times at once',
	async function (
		this: FleetWorld,
		customer: string,
		models: readonly string[],
		times: number,
	) {
		const requests = models.flatMap(model =>
			Array.from({length: times}, (_, i) => ({
				customer,
				model,
				isStreamed: i % 2 === 0,
			})),
		);
		await callAll(this, requests);
	},
);

When(
	'{string} begins {int} streamed answers of {int} tokens on {string}',
	async function (
		this: FleetWorld,
		customer: string,
		count: number,
		maxTokens: number,
		model: string,
	) {
		await this.getKey(customer);
		for (let i = 0; i < count; i++) {
			this.trackCall(
				this.callModel({
					customer,
					model,
					maxTokens,
					isStreamed: true,
					entryId: this.pickEntry(),
				}),
			);
		}

		await this.waitForRunning(1);
	},
);

When(
	'{string} begins to ask {string} {int} times a second over all entries',
	function (
		this: FleetWorld,
		customer: string,
		model: string,
		callsPerSecond: number,
	) {
		const traffic = Traffic.start(callsPerSecond, async number =>
			this.callModel({
				customer,
				model,
				isStreamed: number % 2 === 0,
				entryId: this.pickEntry(),
			}),
		);
		this.traffic.push(traffic);
	},
);

When(
	'{string} begins to ask several adapters {int} times a second over all entries',
	function (this: FleetWorld, customer: string, callsPerSecond: number) {
		const traffic = Traffic.start(callsPerSecond, async number =>
			this.callModel({
				customer,
				model: mixedAdapters[number % mixedAdapters.length] ?? 'shared',
				isStreamed: number % 2 === 0,
				entryId: this.pickEntry(),
			}),
		);
		this.traffic.push(traffic);
	},
);

When('back ends run requests', async function (this: FleetWorld) {
	await this.waitForRunning(1);
});

When('the calls end', async function (this: FleetWorld) {
	await this.waitForCalls();
});

When('the traffic stops', async function (this: FleetWorld) {
	await this.stopTraffic();
});

async function callAll(
	world: FleetWorld,
	requests: ReadonlyArray<Omit<ModelRequest, 'entryId'>>,
): Promise<void> {
	const calls = requests.map(async req =>
		world.callModel({...req, entryId: world.pickEntry()}),
	);
	world.calls.push(...(await Promise.all(calls)));
}
