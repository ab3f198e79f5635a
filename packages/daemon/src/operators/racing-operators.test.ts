import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checkKey, ConfigState, type ConfigChange} from '@balsamtray/core';
import type {ChangeResult} from '@balsamtray/protocol';
import fc from 'fast-check';
import type {StoreFault} from '../store/testing.js';
import {createOperatorSite, documentText} from './testing.js';

const options = {seed: 20_260_109, numRuns: 1000};

const action = fc.oneof(
	fc.record({
		kind: fc.constant('document' as const),
		name: fc.constantFrom('a', 'b', 'c'),
		/** How far behind the plan is. */
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
	'answerLost',
	'callLost',
);

type Site = ReturnType<typeof createOperatorSite>;
type Entry = ReturnType<Site['entry']>;
type Issued = {readonly id: string; readonly text: string};

/** What the operators were told. */
class Operators {
	static create(): Operators {
		return new Operators();
	}

	readonly results = new Map<string, ChangeResult>();
	readonly issued: Issued[] = [];
	readonly withdrawn = new Set<string>();
	private _count = 0;

	private constructor() {
		// Made by `create` only.
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
				const result = await author.setZone('ann', changeId, zone, isOut);
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

/** Each answer to an operator agrees with the changes that the store holds. */
function assertTruthful(
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

function fold(log: readonly ConfigChange[]): ConfigState {
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
	const site = createOperatorSite();
	const entries = [site.entry('one'), site.entry('two')] as const;
	await site.start();
	const left = [...faults];
	site.table.chooseFault = call =>
		call === 'write' ? (left.shift() ?? 'none') : 'none';
	const operators = Operators.create();
	for (const [first, second] of pairs) {
		// eslint-disable-next-line no-await-in-loop
		await Promise.all([
			operators.perform(entries[0], first),
			operators.perform(entries[1], second),
		]);
	}

	const log = await site.store.changesAfter(0);
	assertTruthful(operators.results, log);
	const expected = fold(log);
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

describe('two operators who race, with faults of the store', () => {
	it('get true answers, and withdrawn keys stay withdrawn', async () => {
		const property = fc.asyncProperty(
			fc.array(fc.tuple(action, action), {maxLength: 10}),
			fc.array(fault, {maxLength: 25}),
			run,
		);
		await fc.assert(property, options);
	});
});
