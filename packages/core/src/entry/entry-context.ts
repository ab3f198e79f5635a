import type {ConfigView} from '../config/types.js';
import {refuseNotRun} from '../refusal/refusals.js';
import type {Refusal, RefusalCode, Step} from '../refusal/types.js';
import type {Router} from '../routing/router.js';
import {defaultRetryAfterMs} from './constants.js';
import type {RequestTable} from './request-table.js';
import type {RetryBudget} from './retry-budget.js';
import type {SuspectRegistry} from './suspect-registry.js';
import type {EntryCommand} from './types.js';
import type {WakeQueue} from './wake-queue.js';

/** What the parts of an entry's decisions share. */
export type EntryContext = {
	readonly entryId: string;
	/** The configuration at the time of the call. */
	readonly view: () => ConfigView;
	readonly router: Router;
	readonly requests: RequestTable;
	readonly budget: RetryBudget;
	readonly suspects: SuspectRegistry;
	readonly wakes: WakeQueue;
	readonly emit: (command: EntryCommand) => void;
};

/** A refusal by the entry itself of a request that may come again soon. */
export function refuseForNow(
	{entryId}: EntryContext,
	code: RefusalCode,
	step: Step,
): Refusal {
	return refuseNotRun(code, {
		step,
		peer: entryId,
		retryAfterMs: defaultRetryAfterMs,
	});
}

/** Tells the daemon to read the answer of a request without a caller to its end. */
export function collectAnswer(
	{emit}: EntryContext,
	requestId: string,
	attemptId: string,
): void {
	emit({type: 'collectAnswer', requestId, attemptId});
}
