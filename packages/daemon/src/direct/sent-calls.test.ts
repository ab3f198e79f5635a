import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {SentCalls} from './sent-calls.js';

let calls: SentCalls;
let recalled: string[];

function send(name: string, held: number | undefined) {
	return calls.add({
		model: 'm',
		adapter: 'a',
		heldVersion: () => held,
		recall() {
			recalled.push(name);
		},
	});
}

describe('SentCalls', () => {
	beforeEach(() => {
		calls = SentCalls.create();
		recalled = [];
	});

	// Guards against a request that waits at a server until its adapter version may no longer be used.
	it('takes back requests at servers with an older version or an unknown one', () => {
		send('old', 1);
		send('current', 2);
		send('unknown', undefined);
		calls.recallOutdated(() => 2);
		assert.deepEqual(recalled, ['old', 'unknown']);
	});

	it('leaves all requests alone while any version may be used', () => {
		send('old', 1);
		send('unknown', undefined);
		calls.recallOutdated(() => 0);
		assert.deepEqual(recalled, []);
	});

	it('leaves a request alone that has begun or ended', () => {
		send('old', 1).dispose();
		calls.recallOutdated(() => 2);
		assert.deepEqual(recalled, []);
	});
});
