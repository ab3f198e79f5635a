import {stringify} from 'yaml';

/** Base model of the example's adapters. */
export const exampleBaseModel = 'great-lakes-8b';

/** Customers of the example document. */
export const exampleCustomers = {
	lakeshore: 'lakeshore-deicing',
	prairie: 'prairie-canvas-mats',
} as const;

/** Routes of the example document that call plain services. */
export const exampleRoutes = {
	saltOrders: 'salt-orders',
	stockChecks: 'stock-checks',
	matBookings: 'mat-bookings',
} as const;

/** Plain service that all routes of the example call. */
export const exampleService = 'order-desk';

const adaptersPerCustomer = 150;
const minDigits = 3;

/** Returns the name of a township's adapter. Numbers start at 1. */
export function getTownshipAdapter(number: number): string {
	return `township-${padNumber(number)}-notes`;
}

/** Returns the name of a depot's adapter. Numbers start at 1. */
export function getDepotAdapter(number: number): string {
	return `depot-${padNumber(number)}-rentals`;
}

/** Returns the weights reference of an adapter version. */
export function getWeights(adapter: string, version: string): string {
	return `${adapter}/${version}`;
}

/** Creates the example document as YAML: two customers with 150 adapters each and the routes of both businesses. */
export function createExampleDocument(): string {
	const {lakeshore, prairie} = exampleCustomers;
	return stringify({
		customers: {
			[lakeshore]: {tokensPerSecond: 20_000, burstTokens: 60_000, weight: 2},
			[prairie]: {tokensPerSecond: 10_000, burstTokens: 30_000, weight: 1},
		},
		adapters: {
			...createAdapters(lakeshore, getTownshipAdapter),
			...createAdapters(prairie, getDepotAdapter),
		},
		routes: {
			[exampleRoutes.saltOrders]: {
				service: exampleService,
				customers: [lakeshore],
				isRepeatable: false,
				tokensPerCall: 100,
			},
			[exampleRoutes.stockChecks]: {
				service: exampleService,
				isRepeatable: true,
				tokensPerCall: 20,
			},
			[exampleRoutes.matBookings]: {
				service: exampleService,
				customers: [prairie],
				isRepeatable: false,
				tokensPerCall: 100,
			},
		},
	});
}

function createAdapters(
	customer: string,
	nameOf: (number: number) => string,
): Readonly<Record<string, unknown>> {
	const names = Array.from({length: adaptersPerCustomer}, (_, i) =>
		nameOf(i + 1),
	);
	return Object.fromEntries(
		names.map(name => [
			name,
			{
				baseModel: exampleBaseModel,
				customers: [customer],
				versions: {v1: getWeights(name, 'v1'), v2: getWeights(name, 'v2')},
				currentVersion: 'v2',
			},
		]),
	);
}

function padNumber(number: number): string {
	return String(number).padStart(minDigits, '0');
}
