import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Batch, type BatchJob} from './batch.js';

function job(id: string, part: Partial<BatchJob> = {}): BatchJob {
	return {id, priority: 0, prefillSteps: 0, tokens: 2, ...part};
}

describe('Batch', () => {
	describe('step', () => {
		it('produces one token per running request and completes a request after its last token', () => {
			const batch = Batch.create({tokenMs: 10, maxRunning: 4});
			batch.add(job('a'));
			batch.add(job('b', {tokens: 1}));
			assert.deepEqual(batch.step(), {
				tokens: [
					{id: 'a', token: 1},
					{id: 'b', token: 1},
				],
				completed: ['b'],
			});
			assert.deepEqual(batch.step().completed, ['a']);
			assert.equal(batch.runningCount, 0);
		});

		it('produces no token during prefill', () => {
			const batch = Batch.create({tokenMs: 10, maxRunning: 4});
			batch.add(job('a', {prefillSteps: 1}));
			assert.deepEqual(batch.step().tokens, []);
			assert.deepEqual(batch.step().tokens, [{id: 'a', token: 1}]);
		});
	});

	describe('when it is full', () => {
		it('admits waiting requests in order of priority', () => {
			const batch = Batch.create({tokenMs: 10, maxRunning: 1});
			batch.add(job('a'));
			batch.add(job('late', {priority: 5}));
			batch.add(job('urgent', {priority: 1}));
			assert.equal(batch.waitingCount, 2);
			batch.remove('a');
			assert.deepEqual(batch.runningIds(), ['urgent']);
		});
	});

	describe('stepMs', () => {
		it('grows but less than doubles with 20 more running requests', () => {
			const batch = Batch.create({tokenMs: 10, maxRunning: 50});
			batch.add(job('a'));
			assert.equal(batch.stepMs(), 10);
			for (let i = 0; i < 20; i++) {
				batch.add(job(`more-${i}`));
			}

			assert.ok(batch.stepMs() > 10 && batch.stepMs() < 20);
		});
	});
});
