import type {
	Adapter,
	ConfigDocument,
	Customer,
	Route,
	RouteTarget,
} from '@balsamtray/core';
import type {z} from 'zod';
import {canonicalJson, sha256Hex, isPlainObject} from './canonical.js';
import {maxEntries, maxVersions} from './constants.js';
import {checkAdapter, checkRoute, type KnownNames} from './cross-check.js';
import {
	adapterEntrySchema,
	customerEntrySchema,
	nameSchema,
	routeEntrySchema,
	type AdapterEntry,
	type CustomerEntry,
	type RouteEntry,
} from './document-schema.js';
import type {DocumentFault, DocumentResult} from './types.js';

type SectionName = 'customers' | 'adapters' | 'routes';

const sectionNames = new Set<string>(['customers', 'adapters', 'routes']);

type Section<T> = {
	/** All names, including those of invalid entries. */
	readonly names: ReadonlySet<string>;
	readonly entries: ReadonlyMap<string, T>;
	readonly faults: readonly DocumentFault[];
};

/** Checks a parsed document and reports every fault. */
export function checkDocument(value: unknown): DocumentResult {
	if (!isPlainObject(value)) {
		const message = 'must be a mapping with customers, adapters and routes';
		return {kind: 'invalid', faults: [{path: [], message}]};
	}

	const customers = readSection(value, 'customers', customerEntrySchema);
	const adapters = readSection(value, 'adapters', adapterEntrySchema);
	const routes = readSection(value, 'routes', routeEntrySchema);
	const known: KnownNames = {
		customers: customers.names,
		adapters: new Map(
			[...adapters.names].map(name => [name, adapters.entries.get(name)]),
		),
	};
	const faults = [
		...unknownSections(value),
		...customers.faults,
		...adapters.faults,
		...routes.faults,
		...[...adapters.entries].flatMap(([name, entry]) => [
			...checkAdapter(name, entry, known),
			...checkVersionCount(name, entry),
		]),
		...[...routes.entries].flatMap(([name, entry]) =>
			checkRoute(name, entry, known),
		),
	];
	return faults.length > 0
		? {kind: 'invalid', faults}
		: validResult(customers, adapters, routes);
}

/** Parses and checks a document in canonical JSON, the form in which it is sent. Any other form is a fault. */
export function parseCanonicalDocument(text: string): DocumentResult {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		return {kind: 'invalid', faults: [{path: [], message: 'is no JSON'}]};
	}

	const result = checkDocument(value);
	if (result.kind === 'valid' && result.text !== text) {
		const message = 'is not in canonical form';
		return {kind: 'invalid', faults: [{path: [], message}]};
	}

	return result;
}

function unknownSections(
	value: Readonly<Record<string, unknown>>,
): readonly DocumentFault[] {
	return Object.keys(value)
		.filter(name => !sectionNames.has(name))
		.map(name => ({path: [name], message: 'is not known'}));
}

function readSection<T>(
	value: Readonly<Record<string, unknown>>,
	name: SectionName,
	schema: z.ZodType<T>,
): Section<T> {
	const section = value[name] ?? {};
	const faults: DocumentFault[] = [];
	const entries = new Map<string, T>();
	if (!isPlainObject(section)) {
		faults.push({path: [name], message: 'must be a mapping from names'});
		return {names: new Set(), entries, faults};
	}

	const names = Object.keys(section);
	if (names.length > maxEntries) {
		faults.push({path: [name], message: `has over ${maxEntries} entries`});
		return {names: new Set(names), entries, faults};
	}

	for (const entryName of names) {
		const path = [name, entryName];
		faults.push(...faultsOf(path, nameSchema.safeParse(entryName).error));
		const result = schema.safeParse(section[entryName]);
		faults.push(...faultsOf(path, result.error));
		if (result.success) {
			entries.set(entryName, result.data);
		}
	}

	return {names: new Set(names), entries, faults};
}

function faultsOf(
	path: DocumentFault['path'],
	error: z.ZodError | undefined,
): readonly DocumentFault[] {
	return (error?.issues ?? []).flatMap(issue => {
		const issuePath = [...path, ...issue.path].map(part =>
			typeof part === 'symbol' ? String(part) : part,
		);
		return issue.code === 'unrecognized_keys'
			? issue.keys.map(key => ({
					path: [...issuePath, key],
					message: 'is not known',
				}))
			: [{path: issuePath, message: issue.message}];
	});
}

function checkVersionCount(
	name: string,
	entry: AdapterEntry,
): readonly DocumentFault[] {
	return Object.keys(entry.versions).length > maxVersions
		? [
				{
					path: ['adapters', name, 'versions'],
					message: `has over ${maxVersions} entries`,
				},
			]
		: [];
}

function validResult(
	customers: Section<CustomerEntry>,
	adapters: Section<AdapterEntry>,
	routes: Section<RouteEntry>,
): DocumentResult {
	const text = canonicalJson({
		customers: Object.fromEntries(customers.entries),
		adapters: Object.fromEntries(adapters.entries),
		routes: Object.fromEntries(routes.entries),
	});
	const document: ConfigDocument = {
		customers: sortedEntries(customers.entries).map(([name, entry]) =>
			toCustomer(name, entry),
		),
		adapters: sortedEntries(adapters.entries).map(([name, entry]) =>
			toAdapter(name, entry),
		),
		routes: sortedEntries(routes.entries).map(([name, entry]) =>
			toRoute(name, entry),
		),
	};
	return {kind: 'valid', document, text, digest: sha256Hex(text)};
}

/** Sorts entries by name, so equal documents give equal configurations. */
function sortedEntries<T>(
	entries: Iterable<readonly [string, T]>,
): ReadonlyArray<readonly [string, T]> {
	return [...entries].toSorted(([a], [b]) => (a < b ? -1 : 1));
}

function toCustomer(name: string, entry: CustomerEntry): Customer {
	return {name, ...entry};
}

function toAdapter(name: string, entry: AdapterEntry): Adapter {
	return {
		name,
		...entry,
		versions: sortedEntries(Object.entries(entry.versions)).map(
			([version, weights]) => ({
				name: version,
				weights,
			}),
		),
	};
}

function toRoute(name: string, entry: RouteEntry): Route {
	return {
		name,
		target: toTarget(entry),
		...(entry.openCustomer !== undefined && {openCustomer: entry.openCustomer}),
		customers: entry.customers,
		isRepeatable: entry.isRepeatable ?? true,
		tokensPerCall: entry.tokensPerCall ?? 0,
	};
}

function toTarget(entry: RouteEntry): RouteTarget {
	if (entry.adapter === undefined) {
		return {kind: 'service', service: entry.service ?? ''};
	}

	return {
		kind: 'adapter',
		adapter: entry.adapter,
		...(entry.version !== undefined && {version: entry.version}),
	};
}
