import type {Refusal} from '@balsamtray/core';
import {GlobalBucket} from './global-bucket.js';
import type {RequestEnd, RequestRecord, WorkloadRequest} from './types.js';
import {workloadCustomers} from './workload.js';

/** Burst of a customer, in seconds of its rate. */
export const burstSeconds = 10;

/** Records the outcome of each request and compares admission with one global token bucket per customer. */
export class RequestRecorder {
	static create(): RequestRecorder {
		return new RequestRecorder();
	}

	private readonly _records: RequestRecord[] = [];
	private readonly _firstTokenAt = new Map<string, number>();
	private readonly _loadWaits = new Map<string, number>();
	private readonly _insideRate = new Set<string>();
	private readonly _ended = new Set<string>();
	private readonly _buckets = new Map(
		workloadCustomers.map(({name, tokensPerSecond}) => [
			name,
			GlobalBucket.create(tokensPerSecond, tokensPerSecond * burstSeconds),
		]),
	);

	private constructor() {}

	records(): readonly RequestRecord[] {
		return this._records;
	}

	onLoadWait(request: WorkloadRequest, waitMs: number): void {
		this._loadWaits.set(request.id, waitMs);
	}

	/** Charges an arriving request to the customer's global bucket. Returns whether the bucket admits it. */
	onArrived(
		{id, customer, promptTokens, maxTokens}: WorkloadRequest,
		now: number,
	): boolean {
		const isInside =
			this._buckets.get(customer)?.trySpend(promptTokens + maxTokens, now) ??
			false;
		if (isInside) {
			this._insideRate.add(id);
		}

		return isInside;
	}

	/** Returns the tokens that the answer did not use to the customer's global bucket. */
	onUnused({customer}: WorkloadRequest, tokens: number, now: number): void {
		this._buckets.get(customer)?.returnTokens(tokens, now);
	}

	onFirstToken({id}: WorkloadRequest, now: number): void {
		this._firstTokenAt.set(id, now);
	}

	onAnswered(request: WorkloadRequest, now: number): void {
		const firstTokenAt = this._firstTokenAt.get(request.id) ?? now;
		this._end(request, {
			kind: 'answered',
			firstTokenMs: firstTokenAt - request.at,
			tokens: request.answerTokens,
		});
	}

	onRefused(request: WorkloadRequest, {code, retryAfterMs}: Refusal): void {
		const hasRetryTime = retryAfterMs !== undefined;
		this._end(request, {kind: 'refused', code, hasRetryTime});
	}

	onCut(request: WorkloadRequest): void {
		this._end(request, {kind: 'cut'});
	}

	onLost(request: WorkloadRequest): void {
		this._end(request, {kind: 'lost'});
	}

	onUnreached(request: WorkloadRequest): void {
		this._end(request, {kind: 'unreached'});
	}

	private _end(request: WorkloadRequest, end: RequestEnd): void {
		if (this._ended.has(request.id)) {
			throw new Error(`request ${request.id} has more than one outcome`);
		}

		this._ended.add(request.id);
		this._records.push({
			request,
			end,
			isInsideRate: this._insideRate.has(request.id),
			loadWaitMs: this._loadWaits.get(request.id) ?? 0,
		});
	}
}
