import type {ConfigView} from '@balsamtray/core';

/** A model in the response to `GET /v1/models`, in the OpenAI format. */
export type ListedModel = {
	readonly id: string;
	readonly object: 'model';
	readonly created: number;
	readonly owned_by: string;
};

/** Lists the adapters and adapter routes that a customer may use. */
export function listModels(
	view: ConfigView,
	customer: string,
): readonly ListedModel[] {
	const models: ListedModel[] = [];
	for (const adapter of view.adapters()) {
		if (isAllowed(adapter.customers, customer)) {
			models.push(toListedModel(adapter.name));
		}
	}

	for (const route of view.routes()) {
		if (
			route.target.kind === 'adapter' &&
			isAllowed(route.customers, customer)
		) {
			models.push(toListedModel(route.name));
		}
	}

	return models;
}

function isAllowed(allowed: readonly string[], customer: string): boolean {
	return allowed.length === 0 || allowed.includes(customer);
}

function toListedModel(id: string): ListedModel {
	return {id, object: 'model', created: 0, owned_by: 'balsamtray'};
}
