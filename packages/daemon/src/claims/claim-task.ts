import {createHash} from 'node:crypto';
import {
	ClaimCore,
	type ClaimAnswer,
	type ClaimCommand,
	type ClaimEvent,
	type ClaimRecord,
	type ClaimResult,
	type RecordedOutcome,
} from '@balsamtray/core';
import type {ClaimService, Clock, Telemetry} from '../common/types.js';
import type {ObjectStore, TableStore} from '../store/types.js';
import {ClaimTable, outcomeSchema} from './claim-table.js';

/** Time over which claims are batched into one transaction, in milliseconds. */
const batchIntervalMs = 10;

/** Max size of an outcome stored in the row itself, in characters of JSON. Larger ones go to the object store. */
export const maxInlineOutcomeLength = 32 * 1024;

const maxPutAttempts = 3;
const putRetryDelayMs = 500;
const stopPollIntervalMs = 20;

/** Retry delay for callers when an outcome could not be read from the object store, in milliseconds. */
const outcomeReadRetryAfterMs = 1000;

/** Settings and dependencies of the claim task. */
export type ClaimTaskOptions = {
	readonly entryId: string;
	readonly environment: string;
	readonly table: TableStore;
	readonly objects: ObjectStore;
	readonly telemetry: Telemetry;
	readonly clock: Clock;
};

/** Runs `ClaimCore` on an entry: claims on idempotency keys, stored in the table service. */
export class ClaimTask implements ClaimService {
	static create(options: ClaimTaskOptions): ClaimTask {
		return new ClaimTask(options);
	}

	private _timer: NodeJS.Timeout | undefined;
	private _isStarted = false;
	private readonly _core: ClaimCore;
	private readonly _claimTable: ClaimTable;
	private readonly _pendingClaims = new Map<
		string,
		(answer: ClaimAnswer) => void
	>();

	private readonly _pendingEnds = new Map<string, () => void>();

	private constructor(private readonly _options: ClaimTaskOptions) {
		const {entryId, table, environment} = _options;
		this._core = ClaimCore.create(entryId);
		this._claimTable = ClaimTable.create(table, environment);
	}

	/** Starts writing claims to the store. */
	async start(): Promise<void> {
		this._isStarted = true;
		this._scheduleBatch();
		await Promise.resolve();
	}

	/** Waits until all claims are settled in the store, at most `maxWaitMs`, and stops. */
	async stop(maxWaitMs: number): Promise<void> {
		const deadline = this._options.clock() + maxWaitMs;
		while (this._core.size > 0 && this._options.clock() < deadline) {
			// The batch timer writes the remaining claims.
			// eslint-disable-next-line no-await-in-loop
			await sleep(stopPollIntervalMs);
		}

		this._isStarted = false;
		clearTimeout(this._timer);
	}

	async claim(
		claimId: string,
		customer: string,
		idempotencyKey: string,
		bodyDigest: string,
	): Promise<ClaimResult> {
		const key = rowKey(customer, idempotencyKey);
		const answer = await new Promise<ClaimAnswer>(resolve => {
			this._pendingClaims.set(claimId, resolve);
			this._handle({type: 'claimRequested', claimId, key, bodyDigest});
		});
		const result =
			answer.kind === 'recordedInObject'
				? await this._readOutcome(answer.name)
				: answer;
		this._count('claim', result.kind);
		return result;
	}

	async record(
		claimId: string,
		_customer: string,
		_idempotencyKey: string,
		outcome: RecordedOutcome,
	): Promise<void> {
		const record = await this._toRecord(claimId, outcome);
		return this._endClaim({type: 'recordRequested', claimId, record});
	}

	async release(claimId: string): Promise<void> {
		return this._endClaim({type: 'releaseRequested', claimId});
	}

	/** Records or releases a claim. Resolves when the write is in the store or is no longer retried. */
	private async _endClaim(
		event: Extract<ClaimEvent, {readonly claimId: string}>,
	): Promise<void> {
		return new Promise(resolve => {
			this._pendingEnds.set(event.claimId, resolve);
			this._handle(event);
		});
	}

	private async _toRecord(
		claimId: string,
		outcome: RecordedOutcome,
	): Promise<ClaimRecord> {
		const text = JSON.stringify(outcome);
		if (text.length <= maxInlineOutcomeLength) {
			return {kind: 'outcome', outcome};
		}

		const name = `${this._options.environment}.outcome.${digest(claimId)}`;
		return (await this._putOutcome(name, text))
			? {kind: 'object', name}
			: {kind: 'unknown'};
	}

	private async _putOutcome(name: string, text: string): Promise<boolean> {
		for (let i = 0; i < maxPutAttempts; i++) {
			try {
				// Retries run one after the other.
				// eslint-disable-next-line no-await-in-loop
				await this._options.objects.put(name, text);
				return true;
			} catch {
				this._count('claim_object', 'put_failed');
				// eslint-disable-next-line no-await-in-loop
				await sleep(putRetryDelayMs);
			}
		}

		return false;
	}

	private async _readOutcome(name: string): Promise<ClaimResult> {
		try {
			const text = await this._options.objects.get(name);
			return text === undefined
				? {kind: 'unknownOutcome'}
				: {kind: 'recorded', outcome: parseOutcome(text)};
		} catch {
			this._count('claim_object', 'get_failed');
			return {kind: 'unavailable', retryAfterMs: outcomeReadRetryAfterMs};
		}
	}

	private _handle(event: ClaimEvent): void {
		for (const command of this._core.handle(event, this._options.clock())) {
			this._execute(command);
		}

		this._scheduleBatch();
	}

	/** Starts the batch timer. It runs only while claims are open, so an idle entry uses no CPU. */
	private _scheduleBatch(): void {
		if (!this._isStarted || this._core.size === 0) {
			return;
		}

		this._timer ??= setTimeout(() => {
			this._timer = undefined;
			this._handle({type: 'tick'});
		}, batchIntervalMs);
	}

	private _execute(command: ClaimCommand): void {
		switch (command.type) {
			case 'writeBatch': {
				void this._write(command);
				break;
			}

			case 'settleClaim': {
				const {claimId, answer} = command;
				this._pendingClaims.get(claimId)?.(answer);
				this._pendingClaims.delete(claimId);
				break;
			}

			case 'settleEnd': {
				const {claimId, isStored} = command;
				this._count('claim_end', isStored ? 'kept' : 'not_kept');
				this._pendingEnds.get(claimId)?.();
				this._pendingEnds.delete(claimId);
				break;
			}
		}
	}

	private async _write(
		command: Extract<ClaimCommand, {readonly type: 'writeBatch'}>,
	): Promise<void> {
		const {batchId, writes} = command;
		const result = await this._claimTable.write(writes);
		this._count('claim_batch', result.kind);
		this._handle({type: 'batchSettled', batchId, result});
	}

	private _count(name: string, outcome: string): void {
		this._options.telemetry.metrics.increment(name, {outcome});
	}
}

/** Key of a claim's row. The digest limits its length, and the customer's prefix separates customers. */
function rowKey(customer: string, idempotencyKey: string): string {
	return `${encodeURIComponent(customer)}/${digest(idempotencyKey)}`;
}

function digest(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

function parseOutcome(text: string): RecordedOutcome {
	return outcomeSchema.parse(JSON.parse(text));
}

async function sleep(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
