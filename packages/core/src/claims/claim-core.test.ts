import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createRandom, type Random} from '../common/random.js';
import type {RecordedOutcome} from '../entry/types.js';
import {ClaimCore} from './claim-core.js';
import type {
	ClaimBatchResult,
	ClaimCommand,
	ClaimEvent,
	ClaimWrite,
	VersionedClaimRow,
} from './types.js';

const seed = 20_260_114;
const runs = 1000;
const scheduleMs = 20_000;
const keys = ['order-1', 'order-2', 'order-3'];

type Scheduled = {readonly at: number; readonly run: () => void};

/** State of a key in the reference model. */
type ModelClaim = {
	readonly claimId: string;
	readonly bodyDigest: string;
	isReleased: boolean;
	outcome: RecordedOutcome | undefined;
};

/**
 * Simulates entries, a faulty store and callers in virtual time.
 * Checks each answer against a reference model: one map for all entries.
 */
class ClaimSimulation {
	static create(simulationSeed: number): ClaimSimulation {
		return new ClaimSimulation(simulationSeed);
	}

	granted = 0;
	private _now = 0;
	private _claimCount = 0;
	private _version = 0;
	private _crashes = 0;
	private _isDown = false;
	private _lostShare = 0;
	private readonly _random: Random;
	/** In descending order of time. */
	private readonly _scheduled: Scheduled[] = [];
	private readonly _rows = new Map<string, VersionedClaimRow>();
	private readonly _model = new Map<string, ModelClaim>();
	private readonly _keyOf = new Map<string, string>();
	private readonly _digestOf = new Map<string, string>();
	private readonly _entries: ClaimCore[] = [];

	private constructor(simulationSeed: number) {
		this._random = createRandom(simulationSeed);
		for (const id of ['entry-0', 'entry-1', 'entry-2']) {
			this._entries.push(ClaimCore.create(id));
		}
	}

	run(): void {
		this._scheduleFaults();
		for (let i = 0; i < 40; i++) {
			this._at(this._random() * scheduleMs, () => {
				this._claim();
			});
		}

		for (let at = 0; at < scheduleMs + 5000; at += 50) {
			this._at(at, () => {
				for (const i of this._entries.keys()) {
					this._handle(i, {type: 'tick'});
				}
			});
		}

		for (;;) {
			const next = this._scheduled.pop();
			if (next === undefined) {
				return;
			}

			this._now = next.at;
			next.run();
		}
	}

	private _scheduleFaults(): void {
		for (let i = 0; i < 5; i++) {
			const at = this._random() * scheduleMs;
			const end = at + this._random() * 4000;
			const fault = this._pick(3);
			this._at(at, () => {
				this._injectFault(fault, end);
			});
		}
	}

	private _injectFault(fault: number, end: number): void {
		if (fault === 0) {
			this._isDown = true;
			this._at(end, () => {
				this._isDown = false;
			});
		} else if (fault === 1) {
			this._lostShare = 0.6;
			this._at(end, () => {
				this._lostShare = 0;
			});
		} else {
			const i = this._pick(this._entries.length);
			this._crashes++;
			this._entries[i] = ClaimCore.create(`entry-${i}`);
		}
	}

	private _claim(): void {
		const claimId = `claim-${this._claimCount++}`;
		const key = keys[this._pick(keys.length)] ?? '';
		const bodyDigest = this._random() < 0.9 ? 'same' : 'other';
		this._keyOf.set(claimId, key);
		this._digestOf.set(claimId, bodyDigest);
		this._handle(this._pick(this._entries.length), {
			type: 'claimRequested',
			claimId,
			key,
			bodyDigest,
		});
	}

	private _handle(i: number, event: ClaimEvent): void {
		const core = this._entries[i];
		for (const command of core?.handle(event, this._now) ?? []) {
			this._execute(i, core, command);
		}
	}

	private _execute(
		i: number,
		core: ClaimCore | undefined,
		command: ClaimCommand,
	): void {
		if (command.type === 'writeBatch') {
			const {batchId, writes} = command;
			const isLost = !this._isDown && this._random() < this._lostShare;
			const result = isLost ? this._loseAnswer(writes) : this._write(writes);
			this._at(this._now + (isLost ? 300 : 3), () => {
				// An entry that crashed gets no answer.
				if (this._entries[i] === core) {
					this._handle(i, {type: 'batchSettled', batchId, result});
				}
			});
		} else if (command.type === 'settleClaim') {
			this._check(i, command);
		}
	}

	private _loseAnswer(writes: readonly ClaimWrite[]): ClaimBatchResult {
		const delayMs = this._random() < 0.5 ? 0 : this._random() * 5000;
		this._at(this._now + delayMs, () => {
			this._write(writes);
		});
		return {kind: 'lost'};
	}

	private _write(writes: readonly ClaimWrite[]): ClaimBatchResult {
		if (this._isDown) {
			return {kind: 'unavailable'};
		}

		const conflicts = [];
		for (const [index, {key, version}] of writes.entries()) {
			const current = this._rows.get(key);
			if (current?.version !== version) {
				conflicts.push(current === undefined ? {index} : {index, current});
			}
		}

		if (conflicts.length > 0) {
			return {kind: 'conflict', conflicts};
		}

		const versions = [];
		for (const {key, row} of writes) {
			const version = ++this._version;
			this._rows.set(key, {row, version});
			versions.push(version);
		}

		return {kind: 'committed', versions};
	}

	/** Checks the answer to a claim against the model. */
	private _check(
		i: number,
		command: Extract<ClaimCommand, {readonly type: 'settleClaim'}>,
	): void {
		const {claimId, answer} = command;
		const key = this._keyOf.get(claimId) ?? '';
		const bodyDigest = this._digestOf.get(claimId) ?? '';
		const model = this._model.get(key);
		switch (answer.kind) {
			case 'granted': {
				assert.ok(
					model === undefined || model.isReleased,
					`${claimId} was granted while ${model?.claimId} holds ${key}`,
				);
				this.granted++;
				const isReleased = false;
				const outcome = undefined;
				this._model.set(key, {claimId, bodyDigest, isReleased, outcome});
				this._scheduleCompletion(i, claimId, key);
				break;
			}

			case 'recorded': {
				assert.deepEqual(answer.outcome, model?.outcome);
				assert.equal(bodyDigest, model?.bodyDigest);
				break;
			}

			case 'unknownOutcome': {
				// Only the crash of an entry leaves a call with an unknown outcome.
				assert.ok(this._crashes > 0);
				break;
			}

			case 'inProgress':
			case 'unavailable': {
				assert.ok(answer.retryAfterMs > 0);
				break;
			}

			case 'mismatch':
			case 'recordedInObject': {
				break;
			}
		}
	}

	/** The granted call ends with an outcome, definitely did not run, or never completes. */
	private _scheduleCompletion(i: number, claimId: string, key: string): void {
		const core = this._entries[i];
		const kind = this._random();
		this._at(this._now + this._random() * 1500, () => {
			const model = this._model.get(key);
			if (this._entries[i] !== core || model?.claimId !== claimId) {
				return;
			}

			if (kind < 0.5) {
				const outcome = outcomeOf(claimId);
				model.outcome = outcome;
				const record = {kind: 'outcome', outcome} as const;
				this._handle(i, {type: 'recordRequested', claimId, record});
			} else if (kind < 0.8) {
				model.isReleased = true;
				this._handle(i, {type: 'releaseRequested', claimId});
			}
		});
	}

	private _at(at: number, run: () => void): void {
		let low = 0;
		let high = this._scheduled.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if ((this._scheduled[middle]?.at ?? 0) > at) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		this._scheduled.splice(low, 0, {at, run});
	}

	private _pick(count: number): number {
		return Math.floor(this._random() * count);
	}
}

function outcomeOf(claimId: string): RecordedOutcome {
	return {
		kind: 'answered',
		status: 200,
		contentType: 'text/plain',
		body: claimId,
	};
}

function claimEvent(claimId: string): ClaimEvent {
	return {type: 'claimRequested', claimId, key: 'k', bodyDigest: 'd'};
}

describe('ClaimCore', () => {
	describe('with lost answers, outages and crashed entries', () => {
		it('never grants a key again unless its call definitely did not run', () => {
			let granted = 0;
			fc.assert(
				fc.property(fc.nat(), simulationSeed => {
					const simulation = ClaimSimulation.create(simulationSeed);
					simulation.run();
					granted += simulation.granted;
				}),
				{seed, numRuns: runs},
			);
			assert.ok(granted > runs);
		});
	});

	describe('when the answer to a write is lost', () => {
		it('recognizes its own row and is granted once', () => {
			const core = ClaimCore.create('entry');
			core.handle(claimEvent('c1'), 0);
			const [first] = core.handle({type: 'tick'}, 5);
			assert.equal(first?.type, 'writeBatch');
			const lost: ClaimEvent = {
				type: 'batchSettled',
				batchId: first.batchId,
				result: {kind: 'lost'},
			};
			assert.deepEqual(core.handle(lost, 10), []);
			const [second] = core.handle({type: 'tick'}, 15);
			assert.equal(second?.type, 'writeBatch');
			const row = first.writes[0]?.row;
			assert.ok(row !== undefined);
			const current = {row, version: 7};
			const commands = core.handle(
				{
					type: 'batchSettled',
					batchId: second.batchId,
					result: {kind: 'conflict', conflicts: [{index: 0, current}]},
				},
				20,
			);
			assert.deepEqual(commands, [
				{type: 'settleClaim', claimId: 'c1', answer: {kind: 'granted'}},
			]);
		});
	});

	describe('when the store is down', () => {
		it('refuses immediately with a retry delay', () => {
			const core = ClaimCore.create('entry');
			for (const now of [0, 1000]) {
				core.handle(claimEvent(`c${now}`), now);
				const [batch] = core.handle({type: 'tick'}, now);
				assert.equal(batch?.type, 'writeBatch');
				const {batchId} = batch;
				const result = {kind: 'unavailable'} as const;
				core.handle({type: 'batchSettled', batchId, result}, now);
			}

			const [command] = core.handle(claimEvent('c2'), 1100);
			assert.equal(command?.type, 'settleClaim');
			assert.deepEqual(command.answer, {
				kind: 'unavailable',
				retryAfterMs: 1100,
			});
		});
	});
});
