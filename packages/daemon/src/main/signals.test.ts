import assert from 'node:assert/strict';
import process from 'node:process';
import {describe, it} from 'node:test';
import {waitForStop} from './signals.js';

describe('waitForStop', () => {
	describe('on the first signal', () => {
		it('drains and does not abort', async () => {
			const calls: string[] = [];
			const stopped = waitForStop(
				{
					async drain() {
						calls.push('drain');
					},
					abort() {
						calls.push('abort');
					},
				},
				1000,
			);
			process.emit('SIGTERM');
			await stopped;
			assert.deepEqual(calls, ['drain']);
		});
	});

	describe('on the second signal', () => {
		it('aborts the drain that is still running', async () => {
			const calls: string[] = [];
			const stopped = waitForStop(
				{
					async drain() {
						calls.push('drain');
						return new Promise(() => {
							// Never settles.
						});
					},
					abort() {
						calls.push('abort');
					},
				},
				60_000,
			);
			process.emit('SIGTERM');
			process.emit('SIGINT');
			await stopped;
			assert.deepEqual(calls, ['drain', 'abort']);
		});
	});

	describe('after the grace period', () => {
		it('aborts the drain that is still running', async () => {
			const calls: string[] = [];
			const stopped = waitForStop(
				{
					async drain() {
						return new Promise(() => {
							// Never settles.
						});
					},
					abort() {
						calls.push('abort');
					},
				},
				0,
			);
			process.emit('SIGTERM');
			await stopped;
			assert.deepEqual(calls, ['abort']);
		});
	});
});
