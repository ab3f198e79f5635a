import {stringify} from 'yaml';

/** Base model of the scenarios' adapters. */
export const scenarioBaseModel = 'great-lakes-8b';

/** Plain service that the scenarios' service routes call. */
export const scenarioService = 'order-desk';

/** Rate limit of `ringside`, the customer that exceeds its rate in the scenarios. */
export const ringsideRate = {tokensPerSecond: 400, burstTokens: 2000} as const;

/** Tokens charged for a stock check. */
export const stockCheckTokens = 100;

/** Current version by adapter name. */
export type CurrentVersions = Readonly<Record<string, string>>;

/** Number of adapters `winter-1`, `winter-2` and so on. */
const winterAdapterCount = 6;
/** Rate limit that no scenario reaches. */
const highRate = {tokensPerSecond: 1_000_000, burstTokens: 5_000_000};

/** Returns the weights reference of an adapter version. The adapter `broken` refers to weights that do not exist. */
export function getScenarioWeights(adapter: string, version: string): string {
	return adapter === 'broken' ? 'missing' : `${adapter}/${version}`;
}

/** Creates the scenarios' document as YAML. The current version of an adapter is `v1` by default. */
export function createScenarioDocument(current: CurrentVersions = {}): string {
	return stringify({
		customers: {
			lakeshore: highRate,
			prairie: highRate,
			ringside: ringsideRate,
		},
		adapters: createAdapters(current),
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

function createAdapters(
	current: CurrentVersions,
): Readonly<Record<string, unknown>> {
	const winterNames = Array.from(
		{length: winterAdapterCount},
		(_, i) => `winter-${i + 1}`,
	);
	const lakeshoreNames = ['salt', 'broken', ...winterNames];
	const entries = [
		...lakeshoreNames.map(name => createAdapter(name, ['lakeshore'], current)),
		createAdapter('mats', ['prairie'], current),
		createAdapter('shared', [], current),
	];
	return Object.fromEntries(entries.flatMap(entry => Object.entries(entry)));
}

function createAdapter(
	name: string,
	customers: readonly string[],
	current: CurrentVersions,
): Readonly<Record<string, unknown>> {
	return {
		[name]: {
			baseModel: scenarioBaseModel,
			customers,
			versions: {
				v1: getScenarioWeights(name, 'v1'),
				v2: getScenarioWeights(name, 'v2'),
			},
			currentVersion: current[name] ?? 'v1',
		},
	};
}
