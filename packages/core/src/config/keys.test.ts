import assert from 'node:assert/strict';
import {randomBytes} from 'node:crypto';
import {describe, it} from 'node:test';
import {ConfigState} from './config-state.js';
import {checkKey, createKey} from './keys.js';
import type {ConfigOp} from './types.js';

const customer = {
	name: 'c',
	tokensPerSecond: 1,
	burstTokens: 1,
	weight: 1,
};

function stateAfter(...ops: readonly ConfigOp[]): ConfigState {
	const result = ConfigState.empty().applyChange({
		version: 1,
		changeId: '',
		author: '',
		writtenAt: 0,
		summary: '',
		ops,
	});
	assert.equal(result.kind, 'applied');
	return result.state;
}

describe('checkKey', () => {
	const {text, record} = createKey('c', randomBytes, 5);
	const view = stateAfter(
		{op: 'putCustomer', customer},
		{op: 'issueKey', key: record},
	);

	it('accepts an issued key', () => {
		const expected = {kind: 'key', keyId: record.id, customer: 'c'};
		assert.deepEqual(checkKey(view, text), expected);
	});

	it('rejects any other text', () => {
		const wrong = `${text.slice(0, -1)}${text.endsWith('0') ? '1' : '0'}`;
		for (const other of [wrong, `${text} `, 'bt_', record.digest, 'é']) {
			assert.deepEqual(checkKey(view, other), {kind: 'invalid'});
		}

		assert.deepEqual(checkKey(view, undefined), {kind: 'none'});
	});

	it('rejects a key whose customer no longer exists', () => {
		const other = stateAfter({op: 'issueKey', key: record});
		assert.deepEqual(checkKey(other, text), {kind: 'invalid'});
	});

	it('does not store the secret in the record', () => {
		const secret = text.split('_')[2] ?? '';
		assert.ok(!JSON.stringify(record).includes(secret));
	});
});
