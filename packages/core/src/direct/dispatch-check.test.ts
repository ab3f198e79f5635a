import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {SuspensionDetector} from '../freshness/suspension-detector.js';
import {suspensionThresholdMs} from '../freshness/constants.js';
import {checkDispatch} from './dispatch-check.js';

describe('checkDispatch', () => {
	it('allows a request until its deadline', () => {
		const limits = {deadlineAt: 100, epoch: 0};
		assert.equal(checkDispatch(limits, 99, 0), 'allowed');
		assert.equal(checkDispatch(limits, 100, 0), 'tooLate');
	});

	it('never allows a request past its deadline, whatever waits and suspensions came between', () => {
		const step = fc.record({
			waitMs: fc.integer({min: 0, max: 2000}),
			suspendedMs: fc.oneof(fc.constant(0), fc.integer({min: 0, max: 8000})),
		});
		fc.assert(
			fc.property(
				fc.integer({min: 1, max: 15_000}),
				fc.array(step, {minLength: 1, maxLength: 8}),
				(timeLimitMs, steps) => {
					const detector = SuspensionDetector.create(0, 0);
					let now = 0;
					let wallClock = 0;
					const limits = {deadlineAt: timeLimitMs, epoch: detector.epoch};
					for (const {waitMs, suspendedMs} of steps) {
						now += waitMs;
						wallClock += waitMs + suspendedMs;
						detector.check(now, wallClock);
						const isAllowed =
							checkDispatch(limits, now, detector.epoch) === 'allowed';
						// Shorter suspensions are not detected; one check can miss that much.
						const unseenMs = steps.length * suspensionThresholdMs;
						assert.ok(!isAllowed || wallClock < timeLimitMs + unseenMs);
					}
				},
			),
		);
	});
});
