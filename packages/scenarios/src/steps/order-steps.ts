import {When} from '@cucumber/cucumber';
import {createRef, type FleetWorld} from '../support/fleet-world.js';
import {Traffic} from '../support/traffic.js';

When(
	'{string} sends {int} salt orders at once, each to both entries with the same idempotency key',
	async function (this: FleetWorld, customer: string, count: number) {
		const calls = Array.from({length: count}, () => createRef()).flatMap(ref =>
			this.entryIds.map(async entryId =>
				this.placeOrder({customer, entryId, ref}),
			),
		);
		this.calls.push(...(await Promise.all(calls)));
	},
);

When(
	'{string} sends {int} salt orders over all entries',
	async function (this: FleetWorld, customer: string, count: number) {
		const calls = Array.from({length: count}, async () =>
			this.placeOrder({customer, entryId: this.pickEntry()}),
		);
		this.calls.push(...(await Promise.all(calls)));
	},
);

When(
	'{string} begins {int} salt orders over all entries',
	async function (this: FleetWorld, customer: string, count: number) {
		for (let i = 0; i < count; i++) {
			const entryId = this.pickEntry();
			this.trackCall(this.placeOrder({customer, entryId}));
		}
	},
);

When(
	'{string} sends a salt order {string} to {string}',
	async function (
		this: FleetWorld,
		customer: string,
		label: string,
		entryId: string,
	) {
		this.calls.push(
			await this.placeOrder({
				customer,
				label,
				entryId,
				ref: this.createLabelledRef(label),
			}),
		);
	},
);

When(
	'{string} sends a salt order {string} with the text {string} to {string}',
	async function (
		this: FleetWorld,
		customer: string,
		label: string,
		text: string,
		entryId: string,
	) {
		const ref = this.createLabelledRef(label);
		this.orderTexts.set(label, text);
		this.calls.push(
			await this.placeOrder({customer, label, text, entryId, ref}),
		);
	},
);

When(
	'{string} begins a salt order {string} at {string}',
	function (
		this: FleetWorld,
		customer: string,
		label: string,
		entryId: string,
	) {
		const ref = this.createLabelledRef(label);
		this.trackCall(this.placeOrder({customer, label, entryId, ref}));
	},
);

When(
	'{string} sends the salt order {string} again to {string}',
	async function (
		this: FleetWorld,
		customer: string,
		label: string,
		entryId: string,
	) {
		const text = this.orderTexts.get(label);
		this.calls.push(
			await this.placeOrder({
				customer,
				label,
				entryId,
				ref: this.getLabelledRef(label),
				...(text !== undefined && {text}),
			}),
		);
	},
);

When(
	'{string} sends another order with the idempotency key of {string} to {string}',
	async function (
		this: FleetWorld,
		customer: string,
		label: string,
		entryId: string,
	) {
		const idempotencyKey = `order-${this.getLabelledRef(label)}`;
		this.calls.push(
			await this.placeOrder({
				customer,
				entryId,
				idempotencyKey,
				text: 'another order',
			}),
		);
	},
);

When(
	'{string} sends a salt order without an idempotency key',
	async function (this: FleetWorld, customer: string) {
		this.calls.push(
			await this.callService({
				customer,
				route: 'salt-orders',
				entryId: this.pickEntry(),
			}),
		);
	},
);

When(
	'{string} sends {int} stock checks over all entries',
	async function (this: FleetWorld, customer: string, count: number) {
		const calls = Array.from({length: count}, async () =>
			checkStock(this, customer),
		);
		this.calls.push(...(await Promise.all(calls)));
	},
);

When(
	'{string} begins to send {int} stock checks a second over all entries',
	function (this: FleetWorld, customer: string, callsPerSecond: number) {
		this.traffic.push(
			Traffic.start(callsPerSecond, async () => checkStock(this, customer)),
		);
	},
);

When(
	'{string} sends {int} stock checks a second over all entries for {int} seconds',
	async function (
		this: FleetWorld,
		customer: string,
		callsPerSecond: number,
		seconds: number,
	) {
		this.traffic.push(
			Traffic.start(callsPerSecond, async () => checkStock(this, customer)),
		);
		await this.wait(seconds * 1000);
		await this.stopTraffic();
	},
);

async function checkStock(world: FleetWorld, customer: string) {
	return world.callService({
		customer,
		route: 'stock-checks',
		entryId: world.pickEntry(),
	});
}
