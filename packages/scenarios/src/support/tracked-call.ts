import {
	parseCompletion,
	parseRefusal,
	type CallResult,
} from '../harness/call-result.js';
import {
	checkCompletion,
	type ExpectedCompletion,
} from '../harness/check-completion.js';

/** A call and its result. The reference identifies its runs in the backend records. */
export type TrackedCall = {
	/** Unique text in the request body. */
	readonly ref: string;
	readonly customer: string;
	readonly entryId: string;
	readonly kind: 'model' | 'order' | 'check';
	/** Label assigned by the scenario. */
	readonly label?: string;
	readonly isStreamed: boolean;
	/** Expected completion; absent for calls of plain services. */
	readonly expected?: ExpectedCompletion;
	readonly deadlineMs?: number;
	readonly idempotencyKey?: string;
	readonly result: CallResult;
};

/** Whether the status is 200 and the whole body arrived. */
export function isSuccess({result}: TrackedCall): boolean {
	return result.status === 200 && result.isEnded;
}

/** Whether the call got a complete response with a status other than 200. */
export function isRefusal({result}: TrackedCall): boolean {
	return result.status !== undefined && result.status !== 200 && result.isEnded;
}

/** Whether the refusal, or the error event at the end of a stream, states that the call did not run. */
export function isReportedNotRun(call: TrackedCall): boolean {
	const {text} = call.result;
	return isRefusal(call)
		? parseRefusal(call.result).notRun
		: text.includes('event: error') && text.includes('"not_run":true');
}

/** Returns the code of the refusal; undefined if the call was not refused. */
export function getRefusalCode(call: TrackedCall): string | undefined {
	return isRefusal(call) ? parseRefusal(call.result).code : undefined;
}

/** Checks the response to a completion request. Returns a message for each mismatch; none for other calls. */
export function checkResponse(call: TrackedCall): readonly string[] {
	return call.expected === undefined
		? []
		: checkCompletion(call.result, call.expected);
}

/** Whether the caller can detect that the response is unsuccessful or incomplete. */
export function isVisiblyIncomplete({result}: TrackedCall): boolean {
	return (
		result.status !== 200 ||
		!result.isEnded ||
		(result.text.startsWith('data:') && !parseCompletion(result).isComplete)
	);
}

/** Whether a successful completion contains text of another request. */
export function hasOtherRequestsText({
	expected,
	ref,
	result,
}: TrackedCall): boolean {
	if (expected === undefined || result.status !== 200) {
		return false;
	}

	const refs = result.text.matchAll(/ref=(?<ref>[\w\-]+)/gv);
	return [...refs].some(match => match.groups?.ref !== ref);
}
