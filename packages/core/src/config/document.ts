import type {Adapter, ConfigOp, ConfigView, Customer, Route} from './types.js';

/** An operators' configuration document whose schema and names have been validated. */
export type ConfigDocument = {
	readonly customers: readonly Customer[];
	readonly adapters: readonly Adapter[];
	readonly routes: readonly Route[];
};

/**
 * Returns the operations that turn the current customers, adapters and routes into those of the document.
 * Keys, zones and servers are not part of a document.
 */
export function diffDocument(
	view: ConfigView,
	document: ConfigDocument,
	digest: string,
): readonly ConfigOp[] {
	const ops: ConfigOp[] = [];
	for (const customer of changed(document.customers, name =>
		view.customer(name),
	)) {
		ops.push({op: 'putCustomer', customer});
	}

	for (const adapter of changed(document.adapters, name =>
		view.adapter(name),
	)) {
		ops.push({op: 'putAdapter', adapter});
	}

	for (const route of changed(document.routes, name => view.route(name))) {
		ops.push({op: 'putRoute', route});
	}

	// Deletes items before those that they refer to: routes, then adapters, then customers.
	for (const name of removed(view.routes(), document.routes)) {
		ops.push({op: 'deleteRoute', name});
	}

	for (const name of removed(view.adapters(), document.adapters)) {
		ops.push({op: 'deleteAdapter', name});
	}

	for (const name of removed(view.customers(), document.customers)) {
		ops.push({op: 'deleteCustomer', name});
	}

	if (ops.length > 0 || view.documentDigest !== digest) {
		ops.push({op: 'setDocumentDigest', digest});
	}

	return ops;
}

type Named = {readonly name: string};

function changed<T extends Named>(
	desired: readonly T[],
	current: (name: string) => T | undefined,
): readonly T[] {
	return desired.filter(item => !isEqual(item, current(item.name)));
}

function removed(
	current: Iterable<Named>,
	desired: readonly Named[],
): readonly string[] {
	const names = new Set(desired.map(({name}) => name));
	return [...current]
		.map(({name}) => name)
		.filter(name => !names.has(name))
		.toSorted();
}

/** Deep equality of plain data, regardless of property order. */
function isEqual(left: unknown, right: unknown): boolean {
	if (left === right) {
		return true;
	}

	if (
		typeof left !== 'object' ||
		typeof right !== 'object' ||
		left === null ||
		right === null
	) {
		return false;
	}

	const leftEntries = Object.entries(left);
	const rightValues = new Map(Object.entries(right));
	return (
		leftEntries.length === rightValues.size &&
		leftEntries.every(([key, value]) => isEqual(value, rightValues.get(key)))
	);
}
