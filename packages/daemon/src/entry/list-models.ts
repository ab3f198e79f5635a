import type {ConfigView} from '@balsamtray/core';

/** One entry of the list of models, in the OpenAI format. */
export type ModelEntry = {
	readonly id: string;
	readonly object: 'model';
	readonly created: number;
	readonly owned_by: string;
};

/** Lists the adapters and adapter routes that a customer may use. */
export function listModels(
	view: ConfigView,
	customer: string,
): readonly ModelEntry[] {
	const entries: ModelEntry[] = [];
	for (const adapter of view.adapters()) {
		if (isAllowed(adapter.customers, customer)) {
			entries.push(entryOf(adapter.name));
		}
	}

	for (const route of view.routes()) {
		if (
			route.target.kind === 'adapter' &&
			isAllowed(route.customers, customer)
		) {
			entries.push(entryOf(route.name));
		}
	}

	return entries;
}

function isAllowed(allowed: readonly string[], customer: string): boolean {
	return allowed.length === 0 || allowed.includes(customer);
}

function entryOf(id: string): ModelEntry {
	return {id, object: 'model', created: 0, owned_by: 'balsamtray'};
}
