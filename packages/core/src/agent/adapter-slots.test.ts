import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {AdapterSlots, type Slot} from './adapter-slots.js';

const capacity = 3;
const names = ['a', 'b', 'c', 'd', 'e'];

type Operation = {
	readonly kind:
		| 'load'
		| 'loaded'
		| 'loadFailed'
		| 'acquire'
		| 'release'
		| 'unload'
		| 'unloaded'
		| 'missing';
	readonly name: string;
};

type NaiveSlot = {state: string; operationId: string; isMissing: boolean};

/** Reference model that keeps a list of all uses and scans it for each query. */
class NaiveSlots {
	static create(): NaiveSlots {
		return new NaiveSlots();
	}

	readonly slots = new Map<string, NaiveSlot>();
	readonly uses: Array<{readonly name: string; readonly slot: Slot}> = [];

	private constructor() {}

	usersOf(name: string): number {
		return this.uses.filter(use => use.name === name).length;
	}

	idle(): readonly string[] {
		return [...this.slots]
			.filter(
				([name, {state}]) => state === 'resident' && this.usersOf(name) === 0,
			)
			.map(([name]) => name)
			.toSorted();
	}

	isUsable(name: string): boolean {
		const slot = this.slots.get(name);
		return slot?.state === 'resident' && !slot.isMissing;
	}
}

/** Applies an operation to both implementations if it is allowed. */
// One short case per operation.
// eslint-disable-next-line complexity
function apply(
	slots: AdapterSlots,
	naive: NaiveSlots,
	{kind, name}: Operation,
	step: number,
): void {
	const own = naive.slots.get(name);
	const operationId = `${name}-${step}`;
	switch (kind) {
		case 'load': {
			if (!own && naive.slots.size < capacity) {
				slots.beginLoad(name, operationId, step);
				naive.slots.set(name, {
					state: 'loading',
					operationId,
					isMissing: false,
				});
			}

			break;
		}

		case 'loaded': {
			if (own?.state === 'loading') {
				slots.completeLoad(own.operationId, step);
				own.state = 'resident';
			}

			break;
		}

		case 'loadFailed': {
			if (own?.state === 'loading') {
				slots.failLoad(own.operationId, operationId);
				naive.slots.set(name, {
					state: 'unloading',
					operationId,
					isMissing: false,
				});
			}

			break;
		}

		case 'acquire': {
			if (naive.isUsable(name)) {
				naive.uses.push({name, slot: slots.acquire(name, step)});
			} else {
				assert.throws(() => slots.acquire(name, step));
			}

			break;
		}

		case 'release': {
			const index = naive.uses.findIndex(use => use.name === name);
			const [use] = index === -1 ? [] : naive.uses.splice(index, 1);
			if (use) {
				slots.release(use.slot, step);
			}

			if (own?.isMissing && naive.usersOf(name) === 0) {
				naive.slots.delete(name);
			}

			break;
		}

		case 'unload': {
			const isIdle = naive.idle().includes(name);
			if (isIdle) {
				slots.beginUnload(name, operationId);
				naive.slots.set(name, {
					state: 'unloading',
					operationId,
					isMissing: false,
				});
			} else if (naive.usersOf(name) > 0) {
				assert.throws(() => {
					slots.beginUnload(name, operationId);
				});
			}

			break;
		}

		case 'unloaded': {
			if (own?.state === 'unloading') {
				slots.completeUnload(own.operationId);
				naive.slots.delete(name);
			}

			break;
		}

		case 'missing': {
			if (own?.state === 'resident') {
				slots.markMissing(name);
				own.isMissing = true;
				if (naive.usersOf(name) === 0) {
					naive.slots.delete(name);
				}
			}

			break;
		}
	}
}

function compare(slots: AdapterSlots, naive: NaiveSlots): void {
	const states = [...naive.slots.values()].map(({state}) => state);
	assert.equal(slots.free, capacity - naive.slots.size);
	assert.equal(slots.loading, states.filter(s => s === 'loading').length);
	assert.equal(slots.unloading, states.filter(s => s === 'unloading').length);
	assert.deepEqual(
		slots
			.idle()
			.map(({servedName}) => servedName)
			.toSorted(),
		naive.idle(),
	);
	for (const name of names) {
		assert.equal(
			slots.stateOf(name) === 'resident',
			naive.isUsable(name),
			name,
		);
		assert.equal(slots.get(name)?.activeRequests ?? 0, naive.usersOf(name));
	}
}

const operations = fc.array(
	fc.record<Operation>({
		kind: fc.constantFrom(
			'load',
			'loaded',
			'loadFailed',
			'acquire',
			'release',
			'unload',
			'unloaded',
			'missing',
		),
		name: fc.constantFrom(...names),
	}),
	{maxLength: 80, size: 'max'},
);

describe('AdapterSlots', () => {
	describe('with any sequence of operations', () => {
		it('matches the reference model', () => {
			fc.assert(
				fc.property(operations, list => {
					const slots = AdapterSlots.create(capacity);
					const naive = NaiveSlots.create();
					for (const [step, operation] of list.entries()) {
						apply(slots, naive, operation, step);
						compare(slots, naive);
					}
				}),
				{numRuns: 1000, seed: 1},
			);
		});
	});
});
