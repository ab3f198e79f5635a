import {When} from '@cucumber/cucumber';
import type {FleetWorld, ModelAsk} from '../support/fleet-world.js';
import {Traffic} from '../support/traffic.js';

/** Enough adapters that every engine gets work. */
const severalAdapters = [
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
		whole: number,
		model: string,
	) {
		const asks = Array.from({length: streamed + whole}, (_, i) => ({
			customer,
			model,
			isStreamed: i < streamed,
		}));
		await askAll(this, asks);
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
		const asks = Array.from({length: count}, () => ({
			customer,
			model,
			deadlineMs,
			maxTokens: 30,
			isStreamed: false,
		}));
		await askAll(this, asks);
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
		// The same text, so that it is the same request to the fleet.
		const ref = this.sameRef(text);
		for (let i = 0; i < count; i++) {
			// The caller sends it again when it has the last answer.
			// eslint-disable-next-line no-await-in-loop
			await askAll(this, [{customer, model, text, ref, isStreamed: false}]);
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
		const asks = models.flatMap(model =>
			Array.from({length: times}, (_, i) => ({
				customer,
				model,
				isStreamed: i % 2 === 0,
			})),
		);
		await askAll(this, asks);
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
		await this.keyOf(customer);
		for (let i = 0; i < count; i++) {
			this.begin(
				this.askModel({
					customer,
					model,
					maxTokens,
					isStreamed: true,
					entryId: this.nextEntry(),
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
			this.askModel({
				customer,
				model,
				isStreamed: number % 2 === 0,
				entryId: this.nextEntry(),
			}),
		);
		this.traffic.push(traffic);
	},
);

When(
	'{string} begins to ask several adapters {int} times a second over all entries',
	function (this: FleetWorld, customer: string, callsPerSecond: number) {
		const traffic = Traffic.start(callsPerSecond, async number =>
			this.askModel({
				customer,
				model: severalAdapters[number % severalAdapters.length] ?? 'shared',
				isStreamed: number % 2 === 0,
				entryId: this.nextEntry(),
			}),
		);
		this.traffic.push(traffic);
	},
);

When('back ends run requests', async function (this: FleetWorld) {
	await this.waitForRunning(1);
});

When('the calls end', async function (this: FleetWorld) {
	await this.settleCalls();
});

When('the traffic stops', async function (this: FleetWorld) {
	await this.stopTraffic();
});

async function askAll(
	world: FleetWorld,
	asks: ReadonlyArray<Omit<ModelAsk, 'entryId'>>,
): Promise<void> {
	const calls = asks.map(async ask =>
		world.askModel({...ask, entryId: world.nextEntry()}),
	);
	world.calls.push(...(await Promise.all(calls)));
}
