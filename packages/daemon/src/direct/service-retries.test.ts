import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import type {LogEvent} from './log-events.js';
import {ServiceRetries} from './service-retries.js';

const limit = {windowMs: 10_000, ratio: 0.2, extra: 20};

describe('ServiceRetries', () => {
	let now: number;
	let lines: LogEvent[];
	let counted: string[];
	let retries: ServiceRetries;

	beforeEach(() => {
		now = 0;
		lines = [];
		counted = [];
		retries = ServiceRetries.create({
			clock: () => now,
			limit: () => limit,
			isFirstStart: true,
			entryCount: () => 8,
			log: {
				write(event) {
					lines.push(event);
				},
			},
			metrics: {
				noteRetry(service, outcome) {
					counted.push(`${service} ${outcome}`);
				},
			},
		});
	});

	it('counts what becomes of the retries of each service', () => {
		for (let i = 0; i < 3; i++) {
			retries.tryTake('desk');
		}

		retries.tryTake('drafts');
		retries.giveBack('drafts');
		assert.deepEqual(counted, [
			'desk taken',
			'desk taken',
			'desk refused',
			'drafts taken',
			'drafts returned',
		]);
	});

	it('logs once that the retries of a service are used up, and once that one is allowed again', () => {
		retries.noteRequest('desk');
		for (let i = 0; i < 5; i++) {
			retries.tryTake('desk');
		}

		for (let i = 0; i < 2; i++) {
			retries.noteSent('desk');
		}

		now = 20_000;
		retries.tryTake('desk');
		retries.tryTake('desk');
		const line = {event: 'retryAllowance', service: 'desk', entries: 8};
		assert.deepEqual(lines, [
			{...line, isUsedUp: true, requests: 1, retries: 2},
			{...line, isUsedUp: false, requests: 0, retries: 1},
		]);
	});
});
