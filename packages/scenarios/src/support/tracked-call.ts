import {
	completionOf,
	refusalOf,
	type CallResult,
} from '../harness/call-result.js';
import {
	faultsOfCompletion,
	type AskedFor,
} from '../harness/check-completion.js';

/** A call whose traces at the back ends can be found by its reference. */
export type TrackedCall = {
	/** Unique text that travels in the call's body. */
	readonly ref: string;
	readonly customer: string;
	readonly entryId: string;
	readonly kind: 'model' | 'order' | 'check';
	/** Label that the scenario gave it. */
	readonly label?: string;
	readonly isStreamed: boolean;
	/** What a completion must match. */
	readonly asked?: AskedFor;
	readonly deadlineMs?: number;
	readonly idempotencyKey?: string;
	readonly result: CallResult;
};

/** Whether the call was answered with success and the connection delivered the whole body. */
export function isSuccess({result}: TrackedCall): boolean {
	return result.status === 200 && result.isEnded;
}

/** Whether the call got a refusal that its caller could read. */
export function isRefusal({result}: TrackedCall): boolean {
	return result.status !== undefined && result.status !== 200 && result.isEnded;
}

/** Whether the caller was told that the call was not run, also by the error event that ends a stream. */
export function saysNotRun(call: TrackedCall): boolean {
	const {text} = call.result;
	return isRefusal(call)
		? refusalOf(call.result).notRun
		: text.includes('event: error') && text.includes('"not_run":true');
}

/** Code of the refusal, if the call got one. */
export function codeOf(call: TrackedCall): string | undefined {
	return isRefusal(call) ? refusalOf(call.result).code : undefined;
}

/** Everything that is wrong with the answer to a completion. */
export function faultsOf(call: TrackedCall): readonly string[] {
	return call.asked === undefined
		? []
		: faultsOfCompletion(call.result, call.asked);
}

/** Whether the caller can see that it did not get its whole answer. */
export function seesNotWhole({result}: TrackedCall): boolean {
	return (
		result.status !== 200 ||
		!result.isEnded ||
		(result.text.startsWith('data:') && !completionOf(result).isWhole)
	);
}

/** Whether the caller got any text that belongs to another request. */
export function gotAnothersText({asked, ref, result}: TrackedCall): boolean {
	if (asked === undefined || result.status !== 200) {
		return false;
	}

	const refs = result.text.matchAll(/ref=(?<ref>[\w\-]+)/gv);
	return [...refs].some(match => match.groups?.ref !== ref);
}
