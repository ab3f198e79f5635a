import type {ConfigView, Customer} from '../config/types.js';
import {refuseNotRun} from '../refusal/refusals.js';
import type {Refusal, RefusalCode} from '../refusal/types.js';
import {resolveTarget, type ResolvedTarget} from './resolve-target.js';
import type {Credential, EntryRequest} from './types.js';

/** An authorized request: its target and the customer it is billed to. */
export type Admission = {
	readonly resolved: ResolvedTarget;
	readonly customer: Customer;
	/** Undefined on open routes. */
	readonly keyId: string | undefined;
};

/** Result of `authorize`. */
export type Authorization =
	| {readonly kind: 'admitted'; readonly admission: Admission}
	| {readonly kind: 'refused'; readonly refusal: Refusal};

/** Checks under the given configuration whether the request may run, and finds the customer to bill. */
export function authorize(
	request: EntryRequest,
	view: ConfigView,
	entryId: string,
): Authorization {
	if (request.credential.kind === 'invalid') {
		return refused('unauthorized', entryId);
	}

	const resolution = resolveTarget(request.work, view, entryId);
	if (resolution.kind === 'refused') {
		// Without a valid key, callers can't find out which names exist.
		return isKeyValid(request.credential, view)
			? resolution
			: refused('unauthorized', entryId);
	}

	const {resolved} = resolution;
	const account = resolveAccount(request.credential, resolved, view);
	if (account === undefined) {
		return refused('unauthorized', entryId);
	}

	if (!isAllowed(account.customer.name, resolved)) {
		return refused('forbidden', entryId);
	}

	if (!resolved.isRepeatable && request.idempotencyKey === undefined) {
		return refused('idempotency_key_required', entryId);
	}

	return {kind: 'admitted', admission: {resolved, ...account}};
}

/** Returns whether the key still exists, belongs to its customer and is not withdrawn. */
export function isKeyValid(credential: Credential, view: ConfigView): boolean {
	return (
		credential.kind === 'key' &&
		!view.isKeyWithdrawn(credential.keyId) &&
		view.key(credential.keyId)?.customer === credential.customer
	);
}

type Account = Pick<Admission, 'customer' | 'keyId'>;

/** Returns the customer to bill: `openCustomer` on open routes, else the customer of the key. */
function resolveAccount(
	credential: Credential,
	{route}: ResolvedTarget,
	view: ConfigView,
): Account | undefined {
	if (route?.openCustomer !== undefined) {
		const customer = view.customer(route.openCustomer);
		return customer && {customer, keyId: undefined};
	}

	if (credential.kind !== 'key' || !isKeyValid(credential, view)) {
		return undefined;
	}

	const customer = view.customer(credential.customer);
	return customer && {customer, keyId: credential.keyId};
}

/** Empty lists of customers allow all customers. */
function isAllowed(
	customer: string,
	{route, adapter}: ResolvedTarget,
): boolean {
	return [route?.customers ?? [], adapter?.customers ?? []].every(
		allowed => allowed.length === 0 || allowed.includes(customer),
	);
}

function refused(code: RefusalCode, entryId: string): Authorization {
	return {
		kind: 'refused',
		refusal: refuseNotRun(code, {step: 'authorize', peer: entryId}),
	};
}
