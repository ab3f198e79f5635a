import type {Adapter, ConfigOp, ConfigView, Customer, Route} from './types.js';

/** One step of a planned change, as text for operators. */
export type PlanLine = {
	readonly text: string;
	/** Whether the step removes something that callers can use now. */
	readonly isDestructive: boolean;
};

/** Describes the operations of a change as text, compared with the current configuration. */
export function describeOps(
	view: ConfigView,
	ops: readonly ConfigOp[],
): readonly PlanLine[] {
	return ops.map(op => ({
		text: describeOp(view, op),
		isDestructive: isDestructiveOp(op),
	}));
}

/** Whether the operation removes something that callers can use. */
export function isDestructiveOp(op: ConfigOp): boolean {
	return (
		op.op.startsWith('delete') ||
		op.op === 'withdrawKey' ||
		op.op === 'takeZoneOut' ||
		op.op === 'drainServer'
	);
}

function describeOp(view: ConfigView, op: ConfigOp): string {
	switch (op.op) {
		case 'putCustomer': {
			return describePut(
				'customer',
				op.customer,
				view.customer(op.customer.name),
			);
		}

		case 'putAdapter': {
			return describePut('adapter', op.adapter, view.adapter(op.adapter.name));
		}

		case 'putRoute': {
			return describePut('route', op.route, view.route(op.route.name));
		}

		case 'deleteCustomer': {
			return `delete customer ${op.name}; its keys stop working`;
		}

		case 'deleteAdapter': {
			return `delete adapter ${op.name}`;
		}

		case 'deleteRoute': {
			return `delete route ${op.name}`;
		}

		case 'setDocumentDigest': {
			return `document ${shortDigest(view.documentDigest)} becomes ${shortDigest(op.digest)}`;
		}

		case 'issueKey': {
			return `issue key ${op.key.id} to customer ${op.key.customer}`;
		}

		case 'withdrawKey': {
			return `withdraw key ${op.keyId} for good`;
		}

		case 'takeZoneOut': {
			return `take zone ${op.zone} out`;
		}

		case 'bringZoneIn': {
			return `bring zone ${op.zone} back in`;
		}

		case 'drainServer': {
			return `drain backend server ${op.server}`;
		}

		case 'undrainServer': {
			return `give backend server ${op.server} work again`;
		}
	}
}

type Item = Customer | Adapter | Route;

function describePut(
	kind: string,
	desired: Item,
	current: Item | undefined,
): string {
	if (current === undefined) {
		return `add ${kind} ${desired.name}`;
	}

	const before = new Map<string, unknown>(Object.entries(current));
	const after = new Map<string, unknown>(Object.entries(desired));
	const names = new Set([...before.keys(), ...after.keys()]);
	const differences = [...names]
		.map(name => [
			name,
			JSON.stringify(before.get(name)) ?? 'none',
			JSON.stringify(after.get(name)) ?? 'none',
		])
		.filter(([, old, next]) => old !== next)
		.map(([name, old, next]) => `${name} ${old} -> ${next}`);
	return `change ${kind} ${desired.name}: ${differences.join(', ')}`;
}

function shortDigest(digest: string): string {
	return digest === '' ? 'none' : digest.slice(0, 12);
}
