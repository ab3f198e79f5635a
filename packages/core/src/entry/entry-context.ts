import type {ConfigView} from '../config/types.js';
import {refuseNotRun} from '../refusal/refusals.js';
import type {Refusal, RefusalCode, RequestStep} from '../refusal/types.js';
import type {Router} from '../routing/router.js';
import {defaultRetryAfterMs} from './constants.js';
import type {RequestTable} from './request-table.js';
import type {RetryBudget} from './retry-budget.js';
import type {SuspectRegistry} from './suspect-registry.js';
import type {EntryCommand} from './types.js';
import type {WakeQueue} from './wake-queue.js';

/** State that the parts of `EntryCore` share. */
export type EntryContext = {
	readonly entryId: string;
	/** Returns the current configuration. */
	readonly view: () => ConfigView;
	readonly router: Router;
	readonly requests: RequestTable;
	readonly budget: RetryBudget;
	readonly suspects: SuspectRegistry;
	readonly wakes: WakeQueue;
	readonly emit: (command: EntryCommand) => void;
};

/** Builds a refusal by the entry itself, with a retry delay of `defaultRetryAfterMs`. */
export function refuseRetryable(
	{entryId}: EntryContext,
	code: RefusalCode,
	step: RequestStep,
): Refusal {
	return refuseNotRun(code, {
		step,
		peer: entryId,
		retryAfterMs: defaultRetryAfterMs,
	});
}

/** Emits the command to read an answer to its end after its caller has got a refusal or disconnected. */
export function collectAnswer(
	{emit}: EntryContext,
	requestId: string,
	attemptId: string,
): void {
	emit({type: 'collectAnswer', requestId, attemptId});
}
