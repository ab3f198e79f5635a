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

/** Interval in which claims are collected into one transaction. */
const batchIntervalMs = 10;

/** Largest outcome that stands in the row itself, in characters of JSON. Larger ones go to the object store. */
export const longestRowOutcome = 32 * 1024;

const objectTries = 3;
const objectRetryMs = 500;
const closePollMs = 20;

/** When to ask again for an outcome that the object store did not give. */
const objectReadRetryMs = 1000;

/** What the claim task is created from. */
export type ClaimTaskOptions = {
	readonly entryId: string;
	readonly environment: string;
	readonly table: TableStore;
	readonly objects: ObjectStore;
	readonly telemetry: Telemetry;
	readonly clock: Clock;
};

/** Carries out the decisions over claims on idempotency keys on an entry. */
export class ClaimTask implements ClaimService {
	static create(options: ClaimTaskOptions): ClaimTask {
		return new ClaimTask(options);
	}

	private _timer: NodeJS.Timeout | undefined;
	private _isStarted = false;
	private readonly _core: ClaimCore;
	private readonly _claimTable: ClaimTable;
	private readonly _claims = new Map<string, (answer: ClaimAnswer) => void>();
	private readonly _ends = new Map<string, () => void>();

	private constructor(private readonly _options: ClaimTaskOptions) {
		const {entryId, table, environment} = _options;
		this._core = ClaimCore.create(entryId);
		this._claimTable = ClaimTable.create(table, environment);
	}

	/** Starts to send claims. */
	async start(): Promise<void> {
		this._isStarted = true;
		this._scheduleBatch();
		await Promise.resolve();
	}

	/** Waits until the ends of all claims are in the store, at most so long, and stops. */
	async stop(longestWaitMs: number): Promise<void> {
		const giveUpAt = this._options.clock() + longestWaitMs;
		while (this._core.size > 0 && this._options.clock() < giveUpAt) {
			// The timer sends what is left.
			// eslint-disable-next-line no-await-in-loop
			await sleep(closePollMs);
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
			this._claims.set(claimId, resolve);
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
		const record = await this._recordOf(claimId, outcome);
		return this._end({type: 'recordRequested', claimId, record});
	}

	async release(claimId: string): Promise<void> {
		return this._end({type: 'releaseRequested', claimId});
	}

	/** Resolves when the end is in the store or was given up. */
	private async _end(
		event: Extract<ClaimEvent, {readonly claimId: string}>,
	): Promise<void> {
		return new Promise(resolve => {
			this._ends.set(event.claimId, resolve);
			this._handle(event);
		});
	}

	private async _recordOf(
		claimId: string,
		outcome: RecordedOutcome,
	): Promise<ClaimRecord> {
		const text = JSON.stringify(outcome);
		if (text.length <= longestRowOutcome) {
			return {kind: 'outcome', outcome};
		}

		const name = `${this._options.environment}.outcome.${digest(claimId)}`;
		return (await this._putOutcome(name, text))
			? {kind: 'object', name}
			: {kind: 'unknown'};
	}

	private async _putOutcome(name: string, text: string): Promise<boolean> {
		for (let i = 0; i < objectTries; i++) {
			try {
				// One try after the other.
				// eslint-disable-next-line no-await-in-loop
				await this._options.objects.put(name, text);
				return true;
			} catch {
				this._count('claim_object', 'put_failed');
				// eslint-disable-next-line no-await-in-loop
				await sleep(objectRetryMs);
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
			return {kind: 'unavailable', retryAfterMs: objectReadRetryMs};
		}
	}

	private _handle(event: ClaimEvent): void {
		for (const command of this._core.handle(event, this._options.clock())) {
			this._carryOut(command);
		}

		this._scheduleBatch();
	}

	/** The timer runs only while claims are open, so that an idle entry costs nothing. */
	private _scheduleBatch(): void {
		if (!this._isStarted || this._core.size === 0) {
			return;
		}

		this._timer ??= setTimeout(() => {
			this._timer = undefined;
			this._handle({type: 'tick'});
		}, batchIntervalMs);
	}

	private _carryOut(command: ClaimCommand): void {
		switch (command.type) {
			case 'writeBatch': {
				void this._write(command);
				break;
			}

			case 'settleClaim': {
				const {claimId, answer} = command;
				this._claims.get(claimId)?.(answer);
				this._claims.delete(claimId);
				break;
			}

			case 'settleEnd': {
				const {claimId, isKept} = command;
				this._count('claim_end', isKept ? 'kept' : 'not_kept');
				this._ends.get(claimId)?.();
				this._ends.delete(claimId);
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

/** Key of a claim's row. The digest bounds its length and keeps customers apart. */
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
