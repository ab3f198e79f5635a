import {stringify} from 'yaml';

/** Base model of the example's adapters. */
export const exampleBaseModel = 'great-lakes-8b';

/** Customers of the example document. */
export const exampleCustomers = {
	lakeshore: 'lakeshore-deicing',
	prairie: 'prairie-canvas-mats',
} as const;

/** Routes of the example document that lead to plain services. */
export const exampleRoutes = {
	saltOrders: 'salt-orders',
	stockChecks: 'stock-checks',
	matBookings: 'mat-bookings',
} as const;

/** Plain service behind all routes of the example. */
export const exampleService = 'order-desk';

const adaptersOfEach = 150;
const numberWidth = 3;

/** Name of a township's adapter, from 1. */
export function townshipAdapter(number: number): string {
	return `township-${padded(number)}-notes`;
}

/** Name of a depot's adapter, from 1. */
export function depotAdapter(number: number): string {
	return `depot-${padded(number)}-rentals`;
}

/** Weights of an adapter's version. */
export function weightsOf(adapter: string, version: string): string {
	return `${adapter}/${version}`;
}

/** Writes the example document: two customers, some hundred adapters and the routes of both businesses. */
export function exampleDocument(): string {
	const {lakeshore, prairie} = exampleCustomers;
	return stringify({
		customers: {
			[lakeshore]: {tokensPerSecond: 20_000, burstTokens: 60_000, weight: 2},
			[prairie]: {tokensPerSecond: 10_000, burstTokens: 30_000, weight: 1},
		},
		adapters: {
			...adaptersFor(lakeshore, townshipAdapter),
			...adaptersFor(prairie, depotAdapter),
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

function adaptersFor(
	customer: string,
	nameOf: (number: number) => string,
): Readonly<Record<string, unknown>> {
	const names = Array.from({length: adaptersOfEach}, (_, i) => nameOf(i + 1));
	return Object.fromEntries(
		names.map(name => [
			name,
			{
				baseModel: exampleBaseModel,
				customers: [customer],
				versions: {v1: weightsOf(name, 'v1'), v2: weightsOf(name, 'v2')},
				currentVersion: 'v2',
			},
		]),
	);
}

function padded(number: number): string {
	return String(number).padStart(numberWidth, '0');
}
