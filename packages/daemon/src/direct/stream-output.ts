import {adapterKey, type OutputProgress} from '@balsamtray/core';
import type {CallContext} from './call-context.js';
import type {CallOutcome} from './call-record.js';
import type {CallMetadata} from './types.js';

/**
 * Returns what is expected of the output of a request. Undefined for a plain service, and for the rest of a stream that
 * the caller resumes, as its length says nothing of whole streams.
 */
export function startOutput(
	{fleet}: Pick<CallContext, 'fleet'>,
	metadata: CallMetadata,
	by: {readonly route: string; readonly customer: string | undefined},
): OutputProgress | undefined {
	const {model, adapter, promptTokens, tokens, lastEventId} = metadata;
	if (model === undefined || lastEventId !== undefined) {
		return undefined;
	}

	const maxTokens =
		tokens === undefined ? undefined : tokens - (promptTokens ?? 0);
	return fleet.startOutput({
		...by,
		adapter: adapter === undefined ? undefined : adapterKey(model, adapter),
		hintTokens: metadata.expectedOutputTokens,
		maxTokens: maxTokens === 0 ? undefined : maxTokens,
	});
}

/**
 * Learns from the output of a request that ends.
 *
 * @returns the events that it had and those that were expected, for its log line
 */
export function endOutput(
	output: OutputProgress | undefined,
	isComplete: boolean,
	now: number,
): Pick<CallOutcome, 'output'> {
	if (output === undefined || output.events === 0) {
		return {};
	}

	const {events} = output;
	const expectedEvents = Math.round(output.expected(now));
	output.end(isComplete, now);
	return {output: {events, expectedEvents}};
}
