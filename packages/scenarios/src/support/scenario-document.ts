import {stringify} from 'yaml';

/** Base model of the scenarios' adapters. */
export const scenarioBaseModel = 'great-lakes-8b';

/** Plain service of the scenarios' routes. */
export const scenarioService = 'order-desk';

/** Customer whose rate the scenarios exceed. */
export const ringsideRate = {tokensPerSecond: 400, burstTokens: 2000} as const;

/** Tokens charged for a stock check. */
export const stockCheckTokens = 100;

/** Versions that an adapter has as its current one, by its name. */
export type CurrentVersions = Readonly<Record<string, string>>;

const winterAdapters = 6;
const plentiful = {tokensPerSecond: 1_000_000, burstTokens: 5_000_000};

/** Weights of an adapter's version. */
export function scenarioWeights(adapter: string, version: string): string {
	return adapter === 'broken' ? 'missing' : `${adapter}/${version}`;
}

/** Writes the scenarios' document. Adapters have the current version `v1` unless another is named. */
export function scenarioDocument(current: CurrentVersions = {}): string {
	return stringify({
		customers: {
			lakeshore: plentiful,
			prairie: plentiful,
			ringside: ringsideRate,
		},
		adapters: adapters(current),
		routes,
	});
}

const routes = {
	'salt-orders': {
		service: scenarioService,
		customers: ['lakeshore'],
		isRepeatable: false,
		tokensPerCall: 100,
	},
	'stock-checks': {
		service: scenarioService,
		isRepeatable: true,
		tokensPerCall: stockCheckTokens,
	},
	'opening-hours': {
		service: scenarioService,
		openCustomer: 'prairie',
		isRepeatable: true,
		tokensPerCall: 1,
	},
	'open-notes': {
		adapter: 'shared',
		openCustomer: 'prairie',
		isRepeatable: true,
	},
};

function adapters(current: CurrentVersions): Readonly<Record<string, unknown>> {
	const winter = Array.from(
		{length: winterAdapters},
		(_, i) => `winter-${i + 1}`,
	);
	const forLakeshore = ['salt', 'broken', ...winter];
	const entries = [
		...forLakeshore.map(name => adapter(name, ['lakeshore'], current)),
		adapter('mats', ['prairie'], current),
		adapter('shared', [], current),
	];
	return Object.fromEntries(entries.flatMap(entry => Object.entries(entry)));
}

function adapter(
	name: string,
	customers: readonly string[],
	current: CurrentVersions,
): Readonly<Record<string, unknown>> {
	return {
		[name]: {
			baseModel: scenarioBaseModel,
			customers,
			versions: {
				v1: scenarioWeights(name, 'v1'),
				v2: scenarioWeights(name, 'v2'),
			},
			currentVersion: current[name] ?? 'v1',
		},
	};
}
