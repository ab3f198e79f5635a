import type {AdapterEntry, RouteEntry} from './document-schema.js';
import type {DocumentFault} from './types.js';

/** Names that a document defines, including those of invalid entries. */
export type KnownNames = {
	readonly customers: ReadonlySet<string>;
	/** The value is undefined for an invalid entry. */
	readonly adapters: ReadonlyMap<string, AdapterEntry | undefined>;
};

/** Reports customers and versions that an adapter refers to but the document does not define. */
export function checkAdapter(
	name: string,
	entry: AdapterEntry,
	known: KnownNames,
): readonly DocumentFault[] {
	const path = ['adapters', name];
	const faults = [...checkCustomers(path, entry.customers, known)];
	if (!Object.hasOwn(entry.versions, entry.currentVersion)) {
		faults.push({
			path: [...path, 'currentVersion'],
			message: `unknown version ${entry.currentVersion}`,
		});
	}

	return faults;
}

/** Reports missing or contradictory fields of a route, and names that the document does not define. */
export function checkRoute(
	name: string,
	entry: RouteEntry,
	known: KnownNames,
): readonly DocumentFault[] {
	const path = ['routes', name];
	const faults = [
		...checkCustomers(path, entry.customers, known),
		...checkOpenCustomer(path, entry, known),
		...checkTarget(path, entry, known),
	];
	if (known.adapters.has(name)) {
		faults.push({path, message: 'an adapter has the same name'});
	}

	return faults;
}

type Path = DocumentFault['path'];

function checkCustomers(
	path: Path,
	customers: readonly string[],
	known: KnownNames,
): readonly DocumentFault[] {
	return customers.flatMap((customer, i) =>
		known.customers.has(customer)
			? []
			: [
					{
						path: [...path, 'customers', i],
						message: `unknown customer ${customer}`,
					},
				],
	);
}

function checkOpenCustomer(
	path: Path,
	entry: RouteEntry,
	known: KnownNames,
): readonly DocumentFault[] {
	const {openCustomer} = entry;
	if (openCustomer === undefined) {
		return [];
	}

	const openPath = [...path, 'openCustomer'];
	const faults: DocumentFault[] = [];
	if (!known.customers.has(openCustomer)) {
		faults.push({path: openPath, message: `unknown customer ${openCustomer}`});
	}

	if (entry.customers.length > 0) {
		const message = 'a route open to all can not be kept to some customers';
		faults.push({path: [...path, 'customers'], message});
	}

	const allowed = known.adapters.get(entry.adapter ?? '')?.customers ?? [];
	if (allowed.length > 0 && !allowed.includes(openCustomer)) {
		const message = `adapter ${entry.adapter} may not be used by customer ${openCustomer}`;
		faults.push({path: openPath, message});
	}

	return faults;
}

function checkTarget(
	path: Path,
	entry: RouteEntry,
	known: KnownNames,
): readonly DocumentFault[] {
	if ((entry.adapter === undefined) === (entry.service === undefined)) {
		return [{path, message: 'needs either adapter or service'}];
	}

	return entry.adapter === undefined
		? checkServiceRoute(path, entry)
		: checkAdapterRoute(path, entry, entry.adapter, known);
}

function checkServiceRoute(
	path: Path,
	entry: RouteEntry,
): readonly DocumentFault[] {
	const faults: DocumentFault[] = [];
	if (entry.version !== undefined) {
		const message = 'a service has no version';
		faults.push({path: [...path, 'version'], message});
	}

	if (entry.isRepeatable === undefined) {
		const message = 'isRepeatable must be given for a service';
		faults.push({path, message});
	}

	if (entry.tokensPerCall === undefined) {
		const message = 'tokensPerCall must be given for a service';
		faults.push({path, message});
	}

	return faults;
}

function checkAdapterRoute(
	path: Path,
	entry: RouteEntry,
	adapter: string,
	known: KnownNames,
): readonly DocumentFault[] {
	const faults: DocumentFault[] = [];
	if (entry.tokensPerCall !== undefined) {
		const message = 'calls of an adapter are charged by their tokens';
		faults.push({path: [...path, 'tokensPerCall'], message});
	}

	if (!known.adapters.has(adapter)) {
		const message = `unknown adapter ${adapter}`;
		faults.push({path: [...path, 'adapter'], message});
		return faults;
	}

	const versions = known.adapters.get(adapter)?.versions;
	const {version} = entry;
	if (version !== undefined && versions && !Object.hasOwn(versions, version)) {
		const message = `adapter ${adapter} has no version ${version}`;
		faults.push({path: [...path, 'version'], message});
	}

	return faults;
}
