import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checkKey, ConfigState, type ConfigChange} from '@balsamtray/core';
import type {ChangeResult} from '@balsamtray/protocol';
import fc from 'fast-check';
import type {StoreFault} from '../store/testing.js';
import {createTestFleet, documentText} from './testing.js';

const options = {seed: 20_260_109, numRuns: 1000};

const action = fc.oneof(
	fc.record({
		kind: fc.constant('document' as const),
		name: fc.constantFrom('a', 'b', 'c'),
		/** Number of versions that the document's base version lags behind the current one. */
		age: fc.nat(3),
	}),
	fc.record({kind: fc.constant('issue' as const)}),
	fc.record({kind: fc.constant('withdraw' as const), which: fc.nat(5)}),
	fc.record({
		kind: fc.constant('zone' as const),
		zone: fc.constantFrom('zone-1', 'zone-2'),
		isOut: fc.boolean(),
	}),
);
type Action = typeof action extends fc.Arbitrary<infer T> ? T : never;

const fault = fc.constantFrom<StoreFault>(
	'none',
	'none',
	'none',
	'none',
	'down',
	'responseLost',
	'requestLost',
);

type TestFleet = ReturnType<typeof createTestFleet>;
type Entry = ReturnType<TestFleet['addEntry']>;
type Issued = {readonly id: string; readonly text: string};

/** Performs operators' actions and records the results that the operators received. */
class Operators {
	static create(): Operators {
		return new Operators();
	}

	readonly results = new Map<string, ChangeResult>();
	readonly issued: Issued[] = [];
	readonly withdrawn = new Set<string>();
	private _count = 0;

	private constructor() {
		// Use `create`.
	}

	async perform({author, config}: Entry, item: Action): Promise<void> {
		const changeId = `change-${this._count++}`;
		switch (item.kind) {
			case 'document': {
				const {version} = config.view();
				const result = await author.apply({
					author: 'ann',
					changeId,
					text: documentText(item.name),
					baseVersion: Math.max(0, version - item.age),
				});
				this.results.set(changeId, result);
				break;
			}

			case 'issue': {
				const issue = await author.issueKey('ann', changeId, 'town');
				this.results.set(changeId, issue.result);
				if (issue.key !== undefined) {
					this.issued.push({id: issue.keyId, text: issue.key});
				}

				break;
			}

			case 'withdraw': {
				const key = this.issued[item.which];
				if (key) {
					const result = await author.withdrawKey('ann', changeId, key.id);
					this.results.set(changeId, result);
					this._noteWithdrawn(key, result);
				}

				break;
			}

			case 'zone': {
				const {zone, isOut} = item;
				const result = await author.setZoneOut('ann', changeId, zone, isOut);
				this.results.set(changeId, result);
				break;
			}
		}
	}

	private _noteWithdrawn(key: Issued, result: ChangeResult): void {
		if (result.kind === 'accepted' || result.kind === 'unchanged') {
			this.withdrawn.add(key.id);
		}
	}
}

/** Checks that each result that an operator received agrees with the changes in the store. */
function assertResultsMatchLog(
	results: ReadonlyMap<string, ChangeResult>,
	log: readonly ConfigChange[],
): void {
	const versions = new Map(
		log.map(change => [change.changeId, change.version]),
	);
	assert.equal(versions.size, log.length, 'a change was accepted twice');
	for (const [changeId, result] of results) {
		if (result.kind === 'accepted') {
			assert.equal(versions.get(changeId), result.version);
		} else if (result.kind !== 'outcomeUnknown') {
			assert.equal(versions.has(changeId), false, result.kind);
		}
	}
}

function applyAll(log: readonly ConfigChange[]): ConfigState {
	let state = ConfigState.empty();
	for (const change of log) {
		const applied = state.applyChange(change);
		assert.equal(applied.kind, 'applied');
		state = applied.state;
	}

	return state;
}

async function run(
	pairs: ReadonlyArray<readonly [Action, Action]>,
	faults: readonly StoreFault[],
): Promise<void> {
	const fleet = createTestFleet();
	const entries = [fleet.addEntry('one'), fleet.addEntry('two')] as const;
	await fleet.start();
	const remainingFaults = [...faults];
	fleet.table.chooseFault = call =>
		call === 'write' ? (remainingFaults.shift() ?? 'none') : 'none';
	const operators = Operators.create();
	for (const [first, second] of pairs) {
		// eslint-disable-next-line no-await-in-loop
		await Promise.all([
			operators.perform(entries[0], first),
			operators.perform(entries[1], second),
		]);
	}

	const log = await fleet.store.changesAfter(0);
	assertResultsMatchLog(operators.results, log);
	const expected = applyAll(log);
	for (const {config} of entries) {
		config.learn('store', log);
		assert.deepEqual(config.state().toSnapshot(), expected.toSnapshot());
		for (const {id, text} of operators.issued) {
			if (operators.withdrawn.has(id)) {
				assert.equal(checkKey(config.view(), text).kind, 'invalid');
			}
		}
	}
}

describe('two operators at once with store faults', () => {
	it('get results that match the store, and withdrawn keys stay withdrawn', async () => {
		const property = fc.asyncProperty(
			fc.array(fc.tuple(action, action), {maxLength: 10}),
			fc.array(fault, {maxLength: 25}),
			run,
		);
		await fc.assert(property, options);
	});
});
