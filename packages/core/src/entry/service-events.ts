import {refuseMaybeRun, refuseNotRun} from '../refusal/refusals.js';
import type {Refusal, RefusalCode} from '../refusal/types.js';
import {type EntryContext, refuseRetryable} from './entry-context.js';
import type {RequestFlow} from './request-flow.js';
import type {RequestState} from './request-state.js';
import type {ClaimResult, EntryEvent} from './types.js';

type EventOf<T extends EntryEvent['type']> = Extract<
	EntryEvent,
	{readonly type: T}
>;

/** Handles the answers of the rate and claim services. */
export class ServiceEvents {
	static create(context: EntryContext, flow: RequestFlow): ServiceEvents {
		return new ServiceEvents(context, flow);
	}

	private constructor(
		private readonly _context: EntryContext,
		private readonly _flow: RequestFlow,
	) {}

	onTokensReserved(requestId: string, now: number): void {
		const state = this._context.requests.request(requestId);
		if (state?.phase !== 'reserving') {
			return;
		}

		this._resume(state, now);
	}

	onTokensRefused(event: EventOf<'tokensRefused'>): void {
		const state = this._context.requests.request(event.requestId);
		if (state?.phase !== 'reserving') {
			return;
		}

		state.reservedTokens = undefined;
		const {retryAfterMs} = event;
		const code: RefusalCode =
			retryAfterMs === undefined ? 'exceeds_burst' : 'rate_exceeded';
		this._flow.endWithRefusal(
			state,
			refuseNotRun(code, {
				step: 'rate',
				peer: this._context.entryId,
				retryAfterMs,
			}),
		);
	}

	onClaimSettled(event: EventOf<'claimSettled'>, now: number): void {
		const state = this._context.requests.request(event.requestId);
		if (state?.phase !== 'claiming') {
			return;
		}

		const {result} = event;
		if (result.kind === 'granted') {
			state.hasClaim = true;
			this._resume(state, now);
		} else if (result.kind === 'recorded') {
			this._flow.replay(state, result.outcome);
		} else {
			this._flow.endWithRefusal(state, this._claimRefusal(result));
		}
	}

	/** Continues the request, or settles it if its caller already has an answer or has disconnected. */
	private _resume(state: RequestState, now: number): void {
		state.phase = 'deciding';
		if (state.isAnswered) {
			this._flow.endWithRefusal(
				state,
				refuseRetryable(this._context, 'cancelled', 'accept'),
			);
		} else {
			this._flow.proceed(state, now);
		}
	}

	private _claimRefusal(
		result: Exclude<ClaimResult, {kind: 'granted' | 'recorded'}>,
	): Refusal {
		const details = {step: 'claim', peer: this._context.entryId} as const;
		switch (result.kind) {
			case 'inProgress': {
				const {retryAfterMs} = result;
				return refuseMaybeRun('in_progress', {...details, retryAfterMs});
			}

			case 'unknownOutcome': {
				return refuseMaybeRun('outcome_unknown', details);
			}

			case 'mismatch': {
				return refuseNotRun('idempotency_mismatch', details);
			}

			case 'unavailable': {
				const {retryAfterMs} = result;
				return refuseNotRun('store_unavailable', {...details, retryAfterMs});
			}
		}
	}
}
